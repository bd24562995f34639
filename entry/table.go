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

func (o *healthTable) target(name string) *targetHealth {
	if o.targets[name] == nil {
		o.targets[name] = &targetHealth{}
	}
	return o.targets[name]
}

func (o *healthTable) recordFailure(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.target(name).health.RecordFailure(time.Now())
}

func (o *healthTable) recordSuccess(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.target(name).health.RecordSuccess()
}

func (o *healthTable) allowRequest(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.target(name).health.AllowRequest(time.Now())
}

func (o *healthTable) penalty(name string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.target(name).health.Penalty(time.Now())
}

func (o *healthTable) state(name string) health.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.target(name).health.State(time.Now())
}

func (o *healthTable) beginAttempt(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.target(name).inflight++
}

func (o *healthTable) endAttempt(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.target(name).inflight--
}

// load returns the number of this entry's attempts running at a target, and the mean
// over targetCount targets.
func (o *healthTable) load(name string, targetCount int) (int, float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sum := 0
	for _, other := range o.targets {
		sum += other.inflight
	}
	return o.target(name).inflight, float64(sum) / float64(max(1, targetCount))
}

// retain removes targets that are no longer configured and run no attempts.
func (o *healthTable) retain(names map[string]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, have := range o.targets {
		if _, ok := names[name]; !ok && have.inflight == 0 {
			delete(o.targets, name)
		}
	}
}
