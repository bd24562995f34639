package fleet

import (
	"time"

	"acaciakeel/prefix"
)

// Ticket is one request's stay at a target.
type Ticket struct {
	fleet   *Fleet
	state   *state
	prefill int
	long    bool
	// resumable is set while another target could go on with the request.
	resumable bool
	done      bool
}

// Stay is what a request brings to its target.
type Stay struct {
	// Missing is how many prompt tokens must be read.
	Missing int
	Chain   prefix.Chain
	// Capacity is the target's memory for cached parts, in tokens.
	Capacity int
	// Long requests hold a slot for seconds.
	Long bool
	// Resumable requests may go on at another target if this one ends them.
	Resumable bool
}

// Begin counts a request in. The parts of its chain are taken for cached from
// now on.
func (f *Fleet) Begin(id string, stay Stay, now time.Time) *Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[id]
	if s == nil {
		return &Ticket{fleet: f}
	}
	s.inflight++
	s.prefill += stay.Missing
	if stay.Long {
		s.long++
	}
	if stay.Resumable {
		s.resumable++
	}
	s.capacity = stay.Capacity
	s.untold = append(s.untold, s.useAll(stay.Chain, now)...)
	return &Ticket{fleet: f, state: s, prefill: stay.Missing, long: stay.Long, resumable: stay.Resumable}
}

// First notes the first event: the prompt has been read.
func (t *Ticket) First() {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.read()
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
	if t.long {
		t.state.long--
	}
	if t.resumable {
		t.state.resumable--
	}
}
