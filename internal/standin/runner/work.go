package runner

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// IgnoreDisconnects has the target go on with a stream whose client has disconnected, until it is
// complete.
func (r *Runner) IgnoreDisconnects() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deaf = true
}

func (r *Runner) isDeaf() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deaf
}

// recordWork records when the connection of a request ends before its work does. The function that
// it returns records the end of the work.
func (r *Runner) recordWork(req *http.Request, seen int) (end func()) {
	stop := context.AfterFunc(req.Context(), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.seen[seen].Ended.IsZero() {
			r.seen[seen].Left = time.Now()
		}
	})
	return func() {
		stop()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.seen[seen].Ended = time.Now()
	}
}

// reportAge is how old the runs are that a report names.
const reportAge = 200 * time.Millisecond

// runsAt returns a row for each stream that had begun and not ended by a time, as reports name
// them; the caller holds mu.
func (r *Runner) runsAt(at time.Time) [][]any {
	rows := [][]any{}
	for _, s := range r.seen {
		if s.Ran && s.Born == r.born && !s.Began.IsZero() && !s.Began.After(at) && (s.Ended.IsZero() || s.Ended.After(at)) {
			rows = append(rows, []any{s.ID, 0, 0, 0})
		}
	}
	return rows
}

// Overlap is a request that went on at a second target while the first one still worked on it.
type Overlap struct {
	ID            string
	First, Second string
	// For is how long the first one worked on it after the second had it.
	For time.Duration
	// Closed is set if the first one's connection had ended by then.
	Closed bool
}

// String implements fmt.Stringer.
func (o Overlap) String() string {
	connection := "open"
	if o.Closed {
		connection = "closed"
	}
	return fmt.Sprintf("%s went on at %s while %s, whose connection was %s, worked on it for %v more", o.ID, o.Second, o.First, connection, o.For)
}

// Overlaps returns the requests of which some work of a target went on for longer than allowed
// after another target had received them. Work that had not ended counts until now.
func Overlaps(all []*Runner, allowed time.Duration) []Overlap {
	type work struct {
		target string
		Seen
	}
	byID := map[string][]work{}
	for _, r := range all {
		for _, s := range r.Seen() {
			if s.Ran {
				byID[s.ID] = append(byID[s.ID], work{r.ID, s})
			}
		}
	}
	var out []Overlap
	for id, works := range byID {
		for _, first := range works {
			for _, second := range works {
				ended := first.Ended
				if ended.IsZero() {
					ended = time.Now()
				}
				if over := ended.Sub(second.At); first.At.Before(second.At) && over > allowed {
					out = append(out, Overlap{id, first.target, second.target, over, !first.Left.IsZero() && first.Left.Sub(second.At) <= allowed})
				}
			}
		}
	}
	return out
}
