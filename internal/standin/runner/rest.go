package runner

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// A sender may send at most restAllowed requests to a target between restGrace after
// a 503 with Retry-After and the end of that period.
const (
	restGrace   = 500 * time.Millisecond
	restAllowed = 2
)

// ShedFor makes the target refuse all requests with 503 and Retry-After set to rest;
// 0 ends it.
func (r *Runner) ShedFor(rest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rest = rest
}

// setRetryAfter sets Retry-After on a 503 response and records its value and time.
func (r *Runner) setRetryAfter(h http.Header, seen, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rest > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(r.rest.Seconds(), 'f', -1, 64))
		r.seen[seen].Rest = r.rest
		r.seen[seen].Answered = time.Now()
	}
}

// WithinRest returns one violation for each 503 with Retry-After after which the same
// sender sent more than restAllowed requests within the period.
func (r *Runner) WithinRest(sender Sender) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	for i, asked := range r.seen {
		if asked.Rest == 0 {
			continue
		}
		n, from := 0, sender(asked.ID, asked.Answered)
		for _, s := range r.seen[i+1:] {
			since := s.At.Sub(asked.Answered)
			if s.Born == asked.Born && sender(s.ID, s.At) == from && since > restGrace && since < asked.Rest {
				n++
			}
		}
		if n > restAllowed {
			broken = append(broken, fmt.Sprintf("%s sent %s a 503 with Retry-After %v and received %d requests from it in that time, allowed %d", r.ID, from, asked.Rest, n, restAllowed))
		}
	}
	return broken
}
