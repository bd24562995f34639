package fleet

import (
	"maps"
	"sync"
	"time"

	"acaciakeel/forecast"
	"acaciakeel/health"
	"acaciakeel/lru"
	"acaciakeel/placement"
	"acaciakeel/policy"
	"acaciakeel/quota"
)

// state is everything known of one target.
type state struct {
	runner Target
	placed placement.Runner
	health health.Tracker
	// weights are the versions that it said to have, or that somebody saw there;
	// guessed are higher ones that it is likely to have, until something is known.
	weights map[string]int64
	guessed map[string]int64
	// inflight counts this process's requests there, prefill the prompt tokens
	// of those without a first event yet.
	inflight int
	prefill  int
	// long counts those of them that hold a slot for seconds.
	long int
	// resumable counts those that another target could go on with.
	resumable int
	// held is the tokens of memory that they hold.
	held int
	// others is what each other process of the group said of its own part, groups
	// what each other group has there together.
	others map[string]told
	groups map[int]told
	load   Load
	loadAt time.Time
	// ownAtLoad is inflight as of load, to tell others' requests from one's own.
	ownAtLoad int
	cache
	// untold are the parts sent there for the first time that the other
	// processes were not told of yet.
	untold []Part
	// learnt is when this process itself last saw that the weights had changed.
	learnt time.Time
	// busyUntil is until when an order is thought to keep new requests out,
	// metBusyUntil until when by what this process itself met.
	busyUntil    time.Time
	metBusyUntil time.Time
	limit        limitWord
	rest         rest
	// leavingAt is when the target first said in an answer that it leaves, and
	// metLeavingAt when it last said so to this process.
	leavingAt    time.Time
	metLeavingAt time.Time
	// listedDraining is set where the list calls it draining.
	listedDraining bool
	// unread is set once a word of the target on itself could not be read.
	unread bool
	// fresh is set while nobody was told yet that this life follows another,
	// and lifeTold is when that was told first.
	fresh    bool
	lifeTold time.Time
}

func newState() *state {
	return &state{weights: map[string]int64{}, guessed: map[string]int64{}, cache: newCache()}
}

// Fleet is the view. It is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	states   map[string]*state
	services map[string]*group
	// scattered is set while services and addressed are not those of states.
	scattered bool
	stores    map[string]*keptStore
	// addressed are the targets by address.
	addressed map[string]*state
	named     map[string]*history
	// engines are what was learnt of each service's.
	engines map[string]*forecast.Estimator
	members members
	zone    string
	off     policy.Disabled
	// tellers are the processes of the group that told their load lately.
	tellers map[string]*teller
	// news is about how old the word of the others of the group on their load gets,
	// groupNews that of the other groups.
	news      newsAge
	groupNews newsAge
	// reborn is told of each later life of a target.
	reborn func(now, former Instance)
	// ended is told of each life that was seen to have ended.
	ended func(Instance)
	// rates keeps the limits that targets name, of which relimit says that they changed;
	// nil keeps none.
	rates   *quota.Limiter
	relimit bool
	// left are lives that said that they leave, by their targets' ids.
	left map[string]left
	// kept are the words of targets without an entry, by their ids.
	kept map[string]keptWords
}

// group is one service's targets in the order in which placement sees them.
type group struct {
	states []*state
	placed []placement.Runner
}

// New returns an empty view of a process in zone.
func New(zone string) *Fleet {
	return &Fleet{
		states:    map[string]*state{},
		services:  map[string]*group{},
		stores:    map[string]*keptStore{},
		addressed: map[string]*state{},
		named:     map[string]*history{},
		engines:   map[string]*forecast.Estimator{},
		tellers:   map[string]*teller{},
		left:      map[string]left{},
		kept:      map[string]keptWords{},
		zone:      zone,
	}
}

// Disable switches mechanisms off, before the view is used.
func (f *Fleet) Disable(off policy.Disabled) {
	f.off = off
}

// Disabled reports whether a mechanism is switched off.
func (f *Fleet) Disabled(m policy.Mechanism) bool {
	return f.off[m]
}

// Put takes a target's entry of the list, and reports whether it is of the life
// that holds.
func (f *Fleet) Put(r Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.states[r.ID] == nil {
		f.states[r.ID] = f.returned(r.Instance())
	}
	s := f.about(r.Instance())
	if s == nil {
		return false
	}
	r.Born = s.runner.Born
	s.listedDraining = r.Draining
	if r.Draining = r.Draining || f.hasLeft(r.Instance()); r.Draining && !s.listedDraining && s.leavingAt.IsZero() {
		s.leavingAt = f.left[r.ID].at
	}
	moved := s.runner.Service != r.Service || s.runner.Address != r.Address || s.runner.Draining != r.Draining
	s.runner = r
	for model, version := range r.Weights {
		s.learn(model, version)
	}
	s.place()
	if moved {
		f.scattered = true
	}
	return true
}

// place has choices go by what is known of where the target is and whether it drains.
func (s *state) place() {
	s.placed = placement.NewRunner(s.runner.ID, s.runner.Zone, "", s.runner.Draining)
}

// learn notes the version that a target has. Versions only grow within one
// start of a target, so the list's older word never undoes newer knowledge.
func (s *state) learn(model string, version int64) bool {
	if version <= s.weights[model] {
		return false
	}
	s.weights[model] = version
	delete(s.guessed, model)
	s.changed()
	return true
}

// hasWeights reports whether the target runs a model.
func (s *state) hasWeights() bool {
	return len(s.weights)+len(s.guessed) > 0
}

// version returns the version that a target is taken to have.
func (s *state) version(model string) int64 {
	return max(s.weights[model], s.guessed[model])
}

// changed forgets what held under older weights.
func (s *state) changed() {
	// New weights make what was cached under older ones worthless.
	s.cached = lru.New()
	s.untold = nil
	s.busyUntil, s.metBusyUntil = time.Time{}, time.Time{}
}

// GuessWeights notes the newest version named of a model for a target that refused
// because its weights are others, without a word which: most likely it has just
// loaded those. A guess steers this process's own requests only. Were it told, or
// taken by the holder of the orders, a wrong one would keep the order away that
// makes it true.
func (f *Fleet) GuessWeights(l Instance, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, newest := f.about(l), f.named[model].newest()
	if s == nil || newest <= s.version(model) {
		return
	}
	s.guessed[model] = newest
	s.changed()
}

// Remove takes a target out whose entry has gone, and returns what was listed last.
func (f *Fleet) Remove(id string) (last Target, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[id]
	if !ok {
		return Target{}, false
	}
	f.keep(s)
	delete(f.states, id)
	f.scattered, f.relimit = true, true
	return s.runner, true
}

// RecordEnd takes a life out that was seen to have ended, whatever the list says. A
// later one stays.
func (f *Fleet) RecordEnd(l Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holds(l) {
		f.end(f.states[l.ID])
	}
}

// end takes a target out whose life has ended; the caller holds mu.
func (f *Fleet) end(s *state) {
	life := s.runner.Instance()
	delete(f.states, life.ID)
	f.scattered, f.relimit = true, true
	if f.ended != nil {
		f.ended(life)
	}
}

// group returns a service's targets, or nil.
func (f *Fleet) group(service string) *group {
	f.regroup()
	return f.services[service]
}

// regroup sorts targets under their services, where they changed since: a listing
// brings thousands at once, and sorted after each they would take minutes of a small
// machine's time.
func (f *Fleet) regroup() {
	if !f.scattered {
		return
	}
	f.scattered = false
	services := map[string]*group{}
	f.addressed = make(map[string]*state, len(f.states))
	for _, s := range f.states {
		f.addressed[s.runner.Address] = s
		g := services[s.runner.Service]
		if g == nil {
			g = &group{}
			services[s.runner.Service] = g
		}
		g.states = append(g.states, s)
		g.placed = append(g.placed, s.placed)
	}
	f.services = services
}

// Targets returns the targets of a service and the weights known of each.
func (f *Fleet) Targets(service string) []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(service)
	if g == nil {
		return nil
	}
	out := make([]Target, 0, len(g.states))
	for _, s := range g.states {
		r := s.runner
		r.Weights = maps.Clone(s.weights)
		out = append(out, r)
	}
	return out
}

// Available reports whether a life holds, is still listed and takes new work.
func (f *Fleet) Available(l Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holds(l) && !f.states[l.ID].runner.Draining
}

// Occupancy returns a target's load over all processes, as far as they told.
func (f *Fleet) Occupancy(l Instance) Occupancy {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.about(l); s != nil {
		return s.sum(time.Now())
	}
	return Occupancy{}
}

// RecordWeights notes a version that a target was seen to have.
func (f *Fleet) RecordWeights(l Instance, model string, version int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.about(l); s != nil && s.learn(model, version) {
		s.learnt = now
	}
}

// RecordBusy notes that an order keeps new requests out of a target until a time.
func (f *Fleet) RecordBusy(l Instance, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.about(l); s != nil {
		s.busyUntil, s.metBusyUntil = until, until
	}
}

// RecordFailure notes that a target failed a request. One that carries an order out may
// end its streams for that, which says nothing of its health.
func (f *Fleet) RecordFailure(l Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.about(l); s != nil && !now.Before(s.busyUntil) {
		s.health.RecordFailure(now)
	}
}

// RecordUnreachable notes that no connection to a target could be made.
func (f *Fleet) RecordUnreachable(l Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.about(l); s != nil {
		s.health.RecordConnectFailure(now)
	}
}

// Unresponsive reports whether a target no longer answers anything.
func (f *Fleet) Unresponsive(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[id]
	return s == nil || s.silent
}

// RecordSuccess notes a good answer.
func (f *Fleet) RecordSuccess(l Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.about(l); s != nil {
		s.health.RecordSuccess()
	}
}

// RecordLoad notes what a target said of its load.
func (f *Fleet) RecordLoad(l Instance, load Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.about(l); s != nil {
		s.load, s.loadAt, s.ownAtLoad = load, now, s.inflight
	}
}

// IDs returns the targets known.
func (f *Fleet) IDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]string, 0, len(f.states))
	for id := range f.states {
		ids = append(ids, id)
	}
	return ids
}
