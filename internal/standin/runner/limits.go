package runner

import (
	"fmt"
	"net/http"
	"time"
)

// limiting is the limit that the target names in its answers.
type limiting struct {
	// value is what it names; empty is none.
	value string
	// rate is what that means, in requests a second, and since when.
	rate  float64
	since time.Time
}

// The bound on what a target gets that has named a limit: in any window one and a half
// times the limit, and some requests more.
const (
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
	// toldAfter is how long after an answer its receiver is bound by it.
	toldAfter = 500 * time.Millisecond
)

// NameLimit has the target name a limit in its answers, as it stands there; value may be
// anything, and rate is what it means. An empty value ends it.
func (r *Runner) NameLimit(value string, rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiting = limiting{value: value, rate: rate, since: time.Now()}
}

// nameLimit puts the limit into an answer, and notes that its receiver was told.
func (r *Runner) nameLimit(h http.Header, seen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limiting.value != "" {
		h.Set("Server-Limit", r.limiting.value)
		r.seen[seen].Limited = time.Now()
	}
}

// Sender names who sent a request that arrived at a time. One that is excused by a
// restart, a freeze or a cut has another name from then on.
type Sender func(id string, at time.Time) string

// OverLimit judges the requests since the limit was named, a time to settle left out:
// those that came from senders that had been told. It returns what broke the bound.
func (r *Runner) OverLimit(sender Sender, settle time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	told := map[string]time.Time{}
	for _, s := range r.seen {
		if from := sender(s.ID, s.Limited); !s.Limited.IsZero() && s.Limited.After(r.limiting.since) && told[from].IsZero() {
			told[from] = s.Limited
		}
	}
	var bound []time.Time
	for _, s := range r.seen {
		if at := told[sender(s.ID, s.At)]; !at.IsZero() && s.At.Sub(at) >= toldAfter {
			bound = append(bound, s.At)
		}
	}
	allowed := limitOverrun*r.limiting.rate*limitWindow.Seconds() + limitSlack
	var broken []string
	first := 0
	for i, at := range bound {
		for at.Sub(bound[first]) > limitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed && at.Sub(r.limiting.since) >= settle {
			broken = append(broken, fmt.Sprintf("%s named a limit of %v a second and got %d requests in %v, %.0f allowed, %v after it named it",
				r.ID, r.limiting.rate, n, limitWindow, allowed, at.Sub(r.limiting.since).Round(time.Millisecond)))
		}
	}
	return broken
}
