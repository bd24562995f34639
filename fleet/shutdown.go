package fleet

import (
	"maps"
	"time"
)

// shutdownTTL is for how long an announced shutdown is remembered: far longer than a
// target takes to end, and than the list may go on calling it ready.
const shutdownTTL = 10 * time.Minute

// shutdown is an instance that announced its shutdown, and when that was last reported.
type shutdown struct {
	instance Instance
	at       time.Time
}

// RecordShutdown records that a target announced its shutdown in a response, and reports
// whether that is new. The target gets no new requests from then on: an instance does not
// return from its shutdown, whatever the list says, which can't be updated while the
// store is unavailable.
func (f *Fleet) RecordShutdown(l Instance, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.lookup(l)
	if s == nil {
		return false
	}
	s.shutdownObservedAt = now
	return f.markShutdown(s, now)
}

// markShutdown stops new requests to a target and reports whether its shutdown is new;
// the caller holds mu.
func (f *Fleet) markShutdown(s *targetState, now time.Time) (first bool) {
	maps.DeleteFunc(f.shutdowns, func(_ string, l shutdown) bool { return now.Sub(l.at) > shutdownTTL })
	instance := s.target.Instance()
	f.shutdowns[instance.ID] = shutdown{instance: instance, at: now}
	if !s.shutdownAt.IsZero() {
		return false
	}
	s.shutdownAt = now
	s.target.Draining = true
	s.updateCandidate()
	f.regroupNeeded = true
	return true
}

// isShuttingDown reports whether an instance announced its shutdown. That is kept apart
// from the target's state, which ends with its list entry.
func (f *Fleet) isShuttingDown(l Instance) bool {
	announced, ok := f.shutdowns[l.ID]
	return ok && announced.instance.Matches(l)
}

// sharesShutdown reports whether the target recently announced its shutdown to this
// process, which is then included in updates.
func (s *targetState) sharesShutdown(now time.Time) bool {
	return !s.shutdownObservedAt.IsZero() && now.Sub(s.shutdownObservedAt) < updateRepeatFor
}

// ShuttingDownFor returns for how long a target has been known to shut down.
func (f *Fleet) ShuttingDownFor(l Instance, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil && !s.shutdownAt.IsZero() {
		return now.Sub(s.shutdownAt)
	}
	return 0
}

// UnlistedShutdowns returns how many targets announced their shutdown and are not listed
// as draining.
func (f *Fleet) UnlistedShutdowns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.states {
		if !s.shutdownAt.IsZero() && !s.listedDraining {
			n++
		}
	}
	return n
}
