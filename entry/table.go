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

// table is what routing needs of one State, worked out once when it changes.
// It is immutable.
type table struct {
	state    *configsync.State
	models   map[string]*runnerSet
	agentURL map[string]string
}

// runnerSet is the runners of one model.
type runnerSet struct {
	runners []placement.Runner
}

func newTable(state *configsync.State) *table {
	t := &table{state: state, models: map[string]*runnerSet{}, agentURL: map[string]string{}}
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
		leaving := isLeaving(state, name)
		set.runners = append(set.runners, placement.NewRunner(name, spec.DataCentre, spec.Region, leaving))
	}
	return set
}

// isLeaving reports whether the operator or the platform's list takes a
// target out of new work.
func isLeaving(state *configsync.State, target string) bool {
	spec := state.Snapshot.Targets[target]
	return spec.Leaving || state.Leaving(cmp.Or(spec.VM, target))
}

func (t *table) snapshot() *resource.Snapshot {
	return t.state.Snapshot
}

// opinions holds the entry's opinion of each target.
type opinions struct {
	mu      sync.Mutex
	targets map[string]*opinion
}

type opinion struct {
	health   health.Tracker
	inflight int
}

func newOpinions() *opinions {
	return &opinions{targets: map[string]*opinion{}}
}

func (o *opinions) of(name string) *opinion {
	if o.targets[name] == nil {
		o.targets[name] = &opinion{}
	}
	return o.targets[name]
}

func (o *opinions) failed(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.of(name).health.RecordFailure(time.Now())
}

func (o *opinions) succeeded(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.of(name).health.RecordSuccess()
}

func (o *opinions) usable(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.of(name).health.AllowRequest(time.Now())
}

func (o *opinions) penalty(name string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.of(name).health.Penalty(time.Now())
}

func (o *opinions) state(name string) health.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.of(name).health.State(time.Now())
}

func (o *opinions) begin(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.of(name).inflight++
}

func (o *opinions) end(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.of(name).inflight--
}

// load returns the requests of this entry that run at a target, and their mean.
func (o *opinions) load(name string, all int) (int, float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sum := 0
	for _, other := range o.targets {
		sum += other.inflight
	}
	return o.of(name).inflight, float64(sum) / float64(max(1, all))
}

// keep forgets targets that are no longer configured.
func (o *opinions) keep(names map[string]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, have := range o.targets {
		if _, ok := names[name]; !ok && have.inflight == 0 {
			delete(o.targets, name)
		}
	}
}
