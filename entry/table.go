package entry

import (
	"cmp"
	"sync"
	"time"

	"acaciakeel/configsync"
	"acaciakeel/health"
	"acaciakeel/placement"
	"acaciakeel/resource"
)

// routingTable holds the routing data derived from one configuration State. It is immutable.
type routingTable struct {
	state    *configsync.State
	models   map[string]*runnerSet
	agentURL map[string]string
}

// runnerSet is the runners of one model.
type runnerSet struct {
	runners []placement.Runner
}

func newRoutingTable(state *configsync.State) *routingTable {
	t := &routingTable{state: state, models: map[string]*runnerSet{}, agentURL: map[string]string{}}
	for name, spec := range state.Snapshot.Targets {
		t.agentURL[name] = spec.AgentURL
	}
	for model := range state.Snapshot.Models {
		t.models[model] = newRunnerSet(state, state.Snapshot.TargetsOfModel(model))
	}
	return t
}

func newRunnerSet(state *configsync.State, names []string) *runnerSet {
	set := &runnerSet{}
	for _, name := range names {
		spec := state.Snapshot.Targets[name]
		draining := isDraining(state, name)
		set.runners = append(set.runners, placement.NewRunner(name, spec.DataCentre, spec.Region, draining))
	}
	return set
}

// isDraining reports whether a target must not get new requests, because the operator
// or the platform's VM list marks it as leaving.
func isDraining(state *configsync.State, target string) bool {
	spec := state.Snapshot.Targets[target]
	return spec.Leaving || state.Leaving(cmp.Or(spec.VM, target))
}

func (t *routingTable) snapshot() *resource.Snapshot {
	return t.state.Snapshot
}

// healthTable tracks the health and the running attempts of each target.
type healthTable struct {
	mu      sync.Mutex
	targets map[string]*targetHealth
}

type targetHealth struct {
	health   health.Tracker
	inflight int
}

func newHealthTable() *healthTable {
	return &healthTable{targets: map[string]*targetHealth{}}
}

func (t *healthTable) target(name string) *targetHealth {
	if t.targets[name] == nil {
		t.targets[name] = &targetHealth{}
	}
	return t.targets[name]
}

func (t *healthTable) recordFailure(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.target(name).health.RecordFailure(time.Now())
}

func (t *healthTable) recordSuccess(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.target(name).health.RecordSuccess()
}

func (t *healthTable) allowRequest(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(name).health.AllowRequest(time.Now())
}

// allowWaiting is allowRequest for a stream that waits for a runner.
func (t *healthTable) allowWaiting(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(name).health.AllowRequestWithin(waitingProbeInterval, time.Now())
}

func (t *healthTable) penalty(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(name).health.Penalty(time.Now())
}

func (t *healthTable) state(name string) health.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(name).health.State(time.Now())
}

func (t *healthTable) beginAttempt(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.target(name).inflight++
}

func (t *healthTable) endAttempt(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.target(name).inflight--
}

// load returns the number of this entry's attempts running at a target, and the mean
// over targetCount targets.
func (t *healthTable) load(name string, targetCount int) (int, float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0
	for _, other := range t.targets {
		sum += other.inflight
	}
	return t.target(name).inflight, float64(sum) / float64(max(1, targetCount))
}

// retain removes targets that are no longer configured and run no attempts.
func (t *healthTable) retain(names map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, target := range t.targets {
		if _, ok := names[name]; !ok && target.inflight == 0 {
			delete(t.targets, name)
		}
	}
}
