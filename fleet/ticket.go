package fleet

import (
	"time"

	"acaciakeel/forecast"
	"acaciakeel/policy"
	"acaciakeel/prefix"
	"acaciakeel/quota"
)

// ActiveRequest is one request's stay at one life of a target. It counts on that life
// alone, also once another one has begun.
type ActiveRequest struct {
	fleet   *Fleet
	state   *state
	stay    RequestLoad
	prefill int
	// ahead is how many tokens were to be read there before.
	ahead   int
	began   time.Time
	firstAt time.Time
	done    bool
	// charge is what the request counts against its target's limit.
	charge *quota.Charge
}

// RequestLoad is what a request brings to its target.
type RequestLoad struct {
	// UncachedTokens is how many prompt tokens must be read, Prompt how many there are.
	UncachedTokens int
	PromptTokens   int
	// Transfer is what a source is to send there first.
	Transfer forecast.KVTransfer
	// MaxOutputTokens is the most tokens that may be generated.
	MaxOutputTokens int
	Chain           prefix.Chain
	// Capacity is the target's memory for cached parts, in tokens.
	Capacity int
	// Long requests hold a slot for seconds.
	Long bool
	// HeldTokens is the tokens of memory that the run holds there.
	HeldTokens int
	// Resumable requests may go on at another target if this one ends them.
	Resumable bool
}

// Begin counts a request in. The parts of its chain are taken for cached from
// now on.
func (f *Fleet) Begin(l Instance, stay RequestLoad, now time.Time) *ActiveRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.about(l)
	if s == nil {
		return &ActiveRequest{fleet: f}
	}
	t := &ActiveRequest{fleet: f, state: s, stay: stay, prefill: stay.UncachedTokens, ahead: s.sum(now).PrefillTokens, began: now}
	s.inflight++
	t.charge = f.takeLimit(s, now)
	s.rest.sent(now)
	s.prefill += stay.UncachedTokens
	if stay.Long {
		s.long++
	}
	if stay.Resumable {
		s.resumable++
	}
	s.held += stay.HeldTokens
	s.capacity = stay.Capacity
	s.untold = append(s.untold, s.useAll(stay.Chain)...)
	return t
}

// FirstEvent notes the first event: the prompt has been read.
func (t *ActiveRequest) FirstEvent(now time.Time) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.state == nil || !t.firstAt.IsZero() {
		return
	}
	t.firstAt = now
	t.read()
	if t.stay.PromptTokens > 0 && !t.fleet.off[policy.Learning] {
		reading := forecast.PrefillSample{UncachedTokens: t.stay.UncachedTokens, PromptTokens: t.stay.PromptTokens, QueuedTokens: t.ahead, Transferred: t.stay.Transfer, TimeToFirstToken: now.Sub(t.began)}
		t.fleet.engine(t.state.runner.Service).ObservePrefill(reading, now)
	}
}

// NotSent notes that nothing of the request reached its target.
func (t *ActiveRequest) NotSent() { t.charge.SetExecutions(0) }

// Complete notes that the answer ended whole.
func (t *ActiveRequest) Complete(now time.Time) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.state != nil && !t.firstAt.IsZero() {
		e := t.fleet.engine(t.state.runner.Service)
		e.ObserveRun(t.stay.MaxOutputTokens, now.Sub(t.firstAt), now)
		e.ObserveMemoryHold(t.stay.HeldTokens, now.Sub(t.began), now)
	}
}

func (t *ActiveRequest) read() {
	if t.state != nil {
		t.state.prefill -= t.prefill
	}
	t.prefill = 0
}

// End counts the request out.
func (t *ActiveRequest) End() {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.done || t.state == nil {
		return
	}
	t.done = true
	t.read()
	t.state.inflight--
	if t.stay.Long {
		t.state.long--
	}
	if t.stay.Resumable {
		t.state.resumable--
	}
	t.state.held -= t.stay.HeldTokens
}
