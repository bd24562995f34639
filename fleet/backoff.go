package fleet

import (
	"slices"
	"time"
)

// backoffProbeInterval is how often a target whose back-off is over is asked until it
// takes a request: it likely turns others away as well, and each costs a further attempt.
const backoffProbeInterval = 250 * time.Millisecond

// backoffState is the back-off that a target requested of this process.
type backoffState struct {
	// until is its end, nextProbe when a request may show that it is over.
	until, nextProbe time.Time
	// probing is set until the target takes a request that was sent after the end.
	probing bool
}

// RecordBackoff records for how long a target wants no more requests from this process,
// and reports whether it was not backing off before. A shorter back-off does not end a
// longer one.
func (f *Fleet) RecordBackoff(l Instance, duration time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.lookup(l)
	if s == nil || duration <= 0 {
		return false
	}
	first := !s.backoff.probing
	until := now.Add(duration)
	if s.backoff.until.After(until) {
		until = s.backoff.until
	}
	s.backoff = backoffState{until: until, nextProbe: until, probing: true}
	return first
}

// RecordAccepted records that a target took a request that was sent at sentAt. A request
// sent before the end of the target's back-off does not end that: it may have crossed the
// notice, and a target that takes some requests under overload still wants no more.
func (f *Fleet) RecordAccepted(l Instance, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil && !sentAt.Before(s.backoff.until) {
		s.backoff = backoffState{}
	}
}

// remaining returns for how long the target must not get requests.
func (r *backoffState) remaining(now time.Time) time.Duration {
	return max(0, r.nextProbe.Sub(now))
}

// noteSent records a request to the target. Once the back-off is over it is a probe, and
// no other follows within backoffProbeInterval.
func (r *backoffState) noteSent(now time.Time) {
	if r.probing && r.remaining(now) == 0 {
		r.nextProbe = now.Add(backoffProbeInterval)
	}
}

// RemainingBackoff returns for how long a target still wants no requests from this
// process.
func (f *Fleet) RemainingBackoff(l Instance, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil {
		return s.backoff.remaining(now)
	}
	return 0
}

// RetryDelay is how long targets that are held back by their limit or back-off take no
// request.
type RetryDelay struct {
	For time.Duration
	// Backoff is set if a back-off ends last, otherwise it is a limit.
	Backoff bool
}

// RetryAfter returns when the first target can take a request that only its back-off or
// limit holds back, and counts the request as one that will come back then. ok is false
// if there is no such target.
func (f *Fleet) RetryAfter(q Query, now time.Time) (least RetryDelay, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(q.Service)
	if g == nil {
		return RetryDelay{}, false
	}
	tried := f.currentIDs(q.Tried)
	var first *targetState
	for _, s := range g.states {
		if s.target.Draining || slices.Contains(tried, s.target.ID) || !f.healthy(q, s, now) {
			continue
		}
		if w := f.retryDelay(s, now); w.For > 0 && (first == nil || w.For < least.For) {
			first, least = s, w
		}
	}
	if first == nil {
		return RetryDelay{}, false
	}
	if f.enforcesLimit(first, now) {
		f.limiter.ReserveRetry(first.target.ID, oneRequest, now)
	}
	return least, true
}

// retryDelay returns for how long a target's back-off and limit hold a request back.
func (f *Fleet) retryDelay(s *targetState, now time.Time) RetryDelay {
	w := RetryDelay{For: s.backoff.remaining(now), Backoff: true}
	if f.enforcesLimit(s, now) {
		if limit := f.limiter.RetryAfter(s.target.ID, oneRequest, now); limit > w.For {
			w = RetryDelay{For: limit}
		}
	}
	return w
}
