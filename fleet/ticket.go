package fleet

import (
	"time"

	"acaciakeel/forecast"
	"acaciakeel/policy"
	"acaciakeel/prefix"
	"acaciakeel/quota"
)

// Ticket is one request's stay at one life of a target. It counts on that life
// alone, also once another one has begun.
type Ticket struct {
	fleet   *Fleet
	state   *state
	stay    Stay
	prefill int
	// ahead is how many tokens were to be read there before.
	ahead   int
	began   time.Time
	firstAt time.Time
	done    bool
	// charge is what the request counts against its target's limit.
	charge *quota.Charge
}

// Stay is what a request brings to its target.
type Stay struct {
	// Missing is how many prompt tokens must be read, Prompt how many there are.
	Missing int
	Prompt  int
	// Moved is what a source is to send there first.
	Moved forecast.KVTransfer
	// Output is the most tokens that may be generated.
	Output int
	Chain  prefix.Chain
	// Capacity is the target's memory for cached parts, in tokens.
	Capacity int
	// Long requests hold a slot for seconds.
	Long bool
	// Held is the tokens of memory that the run holds there.
	Held int
	// Resumable requests may go on at another target if this one ends them.
	Resumable bool
}

// Begin counts a request in. The parts of its chain are taken for cached from
// now on.
func (f *Fleet) Begin(l Instance, stay Stay, now time.Time) *Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.about(l)
	if s == nil {
		return &Ticket{fleet: f}
	}
	t := &Ticket{fleet: f, state: s, stay: stay, prefill: stay.Missing, ahead: s.sum(now).Prefill, began: now}
	s.inflight++
	t.charge = f.takeLimit(s, now)
	s.rest.sent(now)
	s.prefill += stay.Missing
	if stay.Long {
		s.long++
	}
	if stay.Resumable {
		s.resumable++
	}
	s.held += stay.Held
	s.capacity = stay.Capacity
	s.untold = append(s.untold, s.useAll(stay.Chain)...)
	return t
}

// First notes the first event: the prompt has been read.
func (t *Ticket) First(now time.Time) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.state == nil || !t.firstAt.IsZero() {
		return
	}
	t.firstAt = now
	t.read()
	if t.stay.Prompt > 0 && !t.fleet.off[policy.Learning] {
		reading := forecast.PrefillSample{UncachedTokens: t.stay.Missing, PromptTokens: t.stay.Prompt, QueuedTokens: t.ahead, Transferred: t.stay.Moved, TimeToFirstToken: now.Sub(t.began)}
		t.fleet.engine(t.state.runner.Service).ObservePrefill(reading, now)
	}
}

// Unsent notes that nothing of the request reached its target.
func (t *Ticket) Unsent() { t.charge.SetExecutions(0) }

// Complete notes that the answer ended whole.
func (t *Ticket) Complete(now time.Time) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.state != nil && !t.firstAt.IsZero() {
		e := t.fleet.engine(t.state.runner.Service)
		e.ObserveRun(t.stay.Output, now.Sub(t.firstAt), now)
		e.ObserveMemoryHold(t.stay.Held, now.Sub(t.began), now)
	}
}

func (t *Ticket) read() {
	if t.state != nil {
		t.state.prefill -= t.prefill
	}
	t.prefill = 0
}

// End counts the request out.
func (t *Ticket) End() {
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
	t.state.held -= t.stay.Held
}
