package fleet

import (
	"slices"
	"time"
)

// proveEvery is how often a target that asked for rest is asked again once that is
// over, until it takes a request: it is then likely to turn others away as well, and
// each costs a further send.
const proveEvery = 250 * time.Millisecond

// rest is for how long a target wants nothing of this process.
type rest struct {
	// until is its end, and next when a request may prove that it is over.
	until, next time.Time
	// proving is set until the target takes a request sent after the end.
	proving bool
}

// RecordBackoff takes for how long a target wants nothing more of this process, and reports
// whether it was not resting before. A shorter rest does not end a longer one.
func (f *Fleet) RecordBackoff(l Instance, length time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.about(l)
	if s == nil || length <= 0 {
		return false
	}
	news := !s.rest.proving
	until := now.Add(length)
	if s.rest.until.After(until) {
		until = s.rest.until
	}
	s.rest = rest{until: until, next: until, proving: true}
	return news
}

// RecordAccepted notes that a target took a request that was sent at asked. One that was sent
// before the end of its rest does not end that: it may have crossed the word, and a target
// that takes some in need still wants no more.
func (f *Fleet) RecordAccepted(l Instance, asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.about(l); s != nil && !asked.Before(s.rest.until) {
		s.rest = rest{}
	}
}

// left returns for how long the target is to be left alone yet.
func (r *rest) left(now time.Time) time.Duration {
	return max(0, r.next.Sub(now))
}

// sent notes a request to the target: until its answer is there, no other one proves
// that the rest is over.
func (r *rest) sent(now time.Time) {
	if r.proving && r.left(now) == 0 {
		r.next = now.Add(proveEvery)
	}
}

// RemainingBackoff returns for how long a target still wants nothing of this process.
func (f *Fleet) RemainingBackoff(l Instance, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.about(l); s != nil {
		return s.rest.left(now)
	}
	return 0
}

// RetryDelay is when targets that are held back by their own words can take a request.
type RetryDelay struct {
	For time.Duration
	// Backoff is set where it is a rest that ends last, else a limit.
	Backoff bool
}

// RetryAfter returns when the first target can take a request that could but for the rest
// it asked for or the limit it names, and counts the request as one that was told so.
// ok is false where there is none such.
func (f *Fleet) RetryAfter(q Query, now time.Time) (least RetryDelay, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(q.Service)
	if g == nil {
		return RetryDelay{}, false
	}
	tried := f.present(q.Tried)
	var first *state
	for _, s := range g.states {
		if s.runner.Draining || slices.Contains(tried, s.runner.ID) || !f.healthy(q, s, now) {
			continue
		}
		if w := f.heldBack(s, now); w.For > 0 && (first == nil || w.For < least.For) {
			first, least = s, w
		}
	}
	if first == nil {
		return RetryDelay{}, false
	}
	if f.keepsLimit(first, now) {
		f.rates.ReserveRetry(first.runner.ID, oneRequest, now)
	}
	return least, true
}

// heldBack returns when a target's own words let it take a request.
func (f *Fleet) heldBack(s *state, now time.Time) RetryDelay {
	w := RetryDelay{For: s.rest.left(now), Backoff: true}
	if f.keepsLimit(s, now) {
		if limit := f.rates.RetryAfter(s.runner.ID, oneRequest, now); limit > w.For {
			w = RetryDelay{For: limit}
		}
	}
	return w
}
