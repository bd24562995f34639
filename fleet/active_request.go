package fleet

import (
	"time"

	"acaciakeel/forecast"
	"acaciakeel/policy"
	"acaciakeel/prefix"
	"acaciakeel/quota"
)

// ActiveRequest is one request at one instance of a target. It counts on that instance's
// state alone, also once a later one has started.
type ActiveRequest struct {
	fleet          *Fleet
	state          *targetState
	load           RequestLoad
	pendingPrefill int
	// backlog is how many tokens were to be prefilled there before it.
	backlog int
	began   time.Time
	firstAt time.Time
	// pace is the target's pace at began; crowded is set if the request had to wait there for
	// a slot or for memory, so that its first token says nothing of the target's speed.
	pace    Pace
	crowded bool
	pauses  streamPauses
	done    bool
	// charge is the request's charge against its target's limit.
	charge   *quota.Charge
	progress progress
}

// RequestLoad is the load that a request brings to its target.
type RequestLoad struct {
	// UncachedTokens is how many prompt tokens must be prefilled, PromptTokens how many
	// there are.
	UncachedTokens int
	PromptTokens   int
	// Transfer is what a source has to send to the target first.
	Transfer forecast.KVTransfer
	// MaxOutputTokens is the most tokens that may be generated.
	MaxOutputTokens int
	Chain           prefix.Chain
	// Capacity is the target's memory for cached parts, in tokens.
	Capacity int
	// Long requests hold a slot for seconds.
	Long bool
	// HeldTokens is the memory that the run holds there, in tokens.
	HeldTokens int
	// ExpectedFirst is the expected time to the first event; 0 if unknown.
	ExpectedFirst time.Duration
	// Resumable requests can go on at another target if this one ends them.
	Resumable bool
	// Class is the priority class.
	Class int
}

// Begin counts a request in. The parts of its chain are taken as cached from now on.
func (f *Fleet) Begin(l Instance, load RequestLoad, now time.Time) *ActiveRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.lookup(l)
	if s == nil {
		return &ActiveRequest{fleet: f}
	}
	t := &ActiveRequest{fleet: f, state: s, load: load, pendingPrefill: load.UncachedTokens, backlog: s.totalOccupancy(now).PrefillTokens, began: now, pace: f.pace(s, now)}
	t.crowded = f.crowded(s, load, now)
	s.inflight++
	s.active[t] = struct{}{}
	t.charge = f.chargeLimit(s, now)
	s.backoff.noteSent(now)
	s.prefillTokens += load.UncachedTokens
	if load.Long {
		s.long++
	}
	if load.Resumable {
		s.resumable++
	}
	s.heldTokens += load.HeldTokens
	s.classes[t.class()].add(ClassLoad{Inflight: 1, PrefillTokens: load.UncachedTokens, HeldTokens: load.HeldTokens}, 1)
	if load.PromptTokens > 0 {
		f.profile(s.target.Service).add(load, now)
	}
	s.capacity = load.Capacity
	s.unsharedParts = append(s.unsharedParts, s.recordChain(load.Chain)...)
	return t
}

func (t *ActiveRequest) class() int { return min(max(t.load.Class, 0), PriorityClasses-1) }

// FirstEvent records the first event of the response: the prompt has been prefilled.
func (t *ActiveRequest) FirstEvent(now time.Time) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.state == nil || !t.firstAt.IsZero() {
		return
	}
	t.firstAt = now
	t.prefillDone()
	if t.load.PromptTokens > 0 && !t.fleet.disabled[policy.Learning] {
		sample := forecast.PrefillSample{UncachedTokens: t.load.UncachedTokens, PromptTokens: t.load.PromptTokens, QueuedTokens: t.backlog, Transferred: t.load.Transfer, TimeToFirstToken: now.Sub(t.began)}
		t.fleet.engine(t.state.target.Service).ObservePrefill(t.fleet.observeSpeed(t, sample, now), now)
	}
}

// NotSent records that nothing of the request reached its target, and takes back its
// charge.
func (t *ActiveRequest) NotSent() { t.charge.SetExecutions(0) }

// Complete records that the response is complete.
func (t *ActiveRequest) Complete(now time.Time) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.state != nil && !t.firstAt.IsZero() {
		e := t.fleet.engine(t.state.target.Service)
		e.ObserveRun(t.load.MaxOutputTokens, t.pace.usual(now.Sub(t.firstAt)), now)
		e.ObserveClassRun(t.class(), t.load.MaxOutputTokens, t.pace.usual(now.Sub(t.firstAt)), now)
		e.ObserveMemoryHold(t.load.HeldTokens, t.pace.usual(now.Sub(t.began)), now)
	}
}

func (t *ActiveRequest) prefillDone() {
	if t.state != nil {
		t.state.prefillTokens -= t.pendingPrefill
		t.state.classes[t.class()].PrefillTokens -= t.pendingPrefill
	}
	t.pendingPrefill = 0
}

// End counts the request out.
func (t *ActiveRequest) End() {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.done || t.state == nil {
		return
	}
	t.done = true
	t.prefillDone()
	t.state.inflight--
	delete(t.state.active, t)
	if t.load.Long {
		t.state.long--
	}
	if t.load.Resumable {
		t.state.resumable--
	}
	t.state.heldTokens -= t.load.HeldTokens
	t.state.classes[t.class()].add(ClassLoad{Inflight: 1, HeldTokens: t.load.HeldTokens}, -1)
}
