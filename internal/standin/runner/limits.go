package runner

import (
	"fmt"
	"net/http"
	"time"
)

// limiting is the rate limit that the target announces in its responses.
type limiting struct {
	// value is the Server-Limit header; empty announces no limit.
	value string
	// rate is the limit in requests per second, in effect from since.
	rate  float64
	since time.Time
}

// The requests allowed to a target that announces a limit: in any window of limitWindow,
// limitOverrun times the limit plus limitSlack requests.
const (
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
	// limitGrace is the time from a response until its receiver must respect the limit.
	limitGrace = 500 * time.Millisecond
)

// NameLimit makes the target send value unchanged as Server-Limit; value need not be
// well-formed. rate is the limit it stands for. An empty value stops the announcement.
func (r *Runner) NameLimit(value string, rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiting = limiting{value: value, rate: rate, since: time.Now()}
}

// setLimitHeader sets Server-Limit on a response and records the time.
func (r *Runner) setLimitHeader(h http.Header, seen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limiting.value != "" {
		h.Set("Server-Limit", r.limiting.value)
		r.seen[seen].Limited = time.Now()
	}
}

// Sender returns the name of the sender of the request id at the given time. A sender
// excused by a restart, a freeze or a network cut has a different name from then on.
type Sender func(id string, at time.Time) string

// OverLimit returns the violations of the announced limit. It counts requests from
// senders that have received the limit, and ignores excesses within settle of its start.
func (r *Runner) OverLimit(sender Sender, settle time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	announced := map[string]time.Time{}
	for _, s := range r.seen {
		if from := sender(s.ID, s.Limited); !s.Limited.IsZero() && s.Limited.After(r.limiting.since) && announced[from].IsZero() {
			announced[from] = s.Limited
		}
	}
	var bound []time.Time
	for _, s := range r.seen {
		if at := announced[sender(s.ID, s.At)]; !at.IsZero() && s.At.Sub(at) >= limitGrace {
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
			broken = append(broken, fmt.Sprintf("%s announced a limit of %v requests/s and received %d requests in %v, allowed %.0f, %v after the announcement",
				r.ID, r.limiting.rate, n, limitWindow, allowed, at.Sub(r.limiting.since).Round(time.Millisecond)))
		}
	}
	return broken
}
