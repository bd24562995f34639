package runner

import (
	"fmt"
	"net/http"
	"time"
)

// Leave makes the target set Server-Leaving in its responses, independently of the
// state in its list entry.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaves = true
}

// setLeavingHeader sets Server-Leaving on a response and records the time.
func (r *Runner) setLeavingHeader(h http.Header, seen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaves {
		h.Set("Server-Leaving", "1")
		r.seen[seen].ToldLeaving = time.Now()
	}
}

// AfterLeaving returns one violation for each request that arrived more than bound after
// the first response with Server-Leaving to the same sender in the same target lifetime.
func (r *Runner) AfterLeaving(sender Sender, bound time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	announced := map[string]time.Time{}
	var broken []string
	for _, s := range r.seen {
		from := fmt.Sprintf("%s (target started at %d)", sender(s.ID, s.At), s.Born)
		if at := announced[from]; !at.IsZero() && s.At.Sub(at) > bound {
			broken = append(broken, fmt.Sprintf("%s received a request from %s %v after announcing to it that it is leaving, allowed %v", r.ID, from, s.At.Sub(at).Round(time.Millisecond), bound))
		}
		if announced[from].IsZero() {
			announced[from] = s.ToldLeaving
		}
	}
	return broken
}
