package fleet

import (
	"maps"
	"time"
)

// leftFor is for how long a life is remembered that said that it leaves: far longer than
// a target takes to end, and than the list may go on calling it ready.
const leftFor = 10 * time.Minute

// left is a life that said in an answer that it leaves, and when that was last heard.
type left struct {
	life Instance
	at   time.Time
}

// RecordShutdown takes that a target said in an answer that it leaves, and reports whether that
// is news. It gets no new work from then on: a life does not come back from leaving,
// whatever the list says, which can't be told of it while the store is away.
func (f *Fleet) RecordShutdown(l Instance, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.about(l)
	if s == nil {
		return false
	}
	s.metLeavingAt = now
	return f.leaves(s, now)
}

// leaves has a target get no new work; the caller holds mu.
func (f *Fleet) leaves(s *state, now time.Time) (news bool) {
	maps.DeleteFunc(f.left, func(_ string, l left) bool { return now.Sub(l.at) > leftFor })
	life := s.runner.Instance()
	f.left[life.ID] = left{life: life, at: now}
	if !s.leavingAt.IsZero() {
		return false
	}
	s.leavingAt = now
	s.runner.Draining = true
	s.place()
	f.scattered = true
	return true
}

// hasLeft reports whether a life said that it leaves. It is remembered apart from the
// target's state, which ends with its entry in the list and begins anew with the next.
func (f *Fleet) hasLeft(l Instance) bool {
	said, ok := f.left[l.ID]
	return ok && said.life.Matches(l)
}

// tellsLeaving reports whether the target lately said to this process that it leaves.
func (s *state) tellsLeaving(now time.Time) bool {
	return !s.metLeavingAt.IsZero() && now.Sub(s.metLeavingAt) < newsFor
}

// ShuttingDownFor returns for how long a target has said in answers that it leaves.
func (f *Fleet) ShuttingDownFor(l Instance, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.about(l); s != nil && !s.leavingAt.IsZero() {
		return now.Sub(s.leavingAt)
	}
	return 0
}

// UnlistedShutdowns returns how many targets said in answers that they leave and are not
// listed as draining.
func (f *Fleet) UnlistedShutdowns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.states {
		if !s.leavingAt.IsZero() && !s.listedDraining {
			n++
		}
	}
	return n
}
