package runner

import (
	"fmt"
	"net/http"
	"time"
)

// Leave has the target say in its answers that it leaves, whatever the list says.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaves = true
}

// sayLeaving puts it into an answer, and notes that its receiver was told.
func (r *Runner) sayLeaving(h http.Header, seen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaves {
		h.Set("Server-Leaving", "1")
		r.seen[seen].ToldLeaving = time.Now()
	}
}

// AfterLeaving judges the requests since the target began to say that it leaves: those
// that arrived later than bound after an answer to the same sender that said so. It
// returns what broke the bound.
func (r *Runner) AfterLeaving(sender Sender, bound time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	told := map[string]time.Time{}
	var broken []string
	for _, s := range r.seen {
		from := fmt.Sprintf("%s in its life of %d", sender(s.ID, s.At), s.Born)
		if at := told[from]; !at.IsZero() && s.At.Sub(at) > bound {
			broken = append(broken, fmt.Sprintf("%s got a request from %s %v after it had told it that it leaves, bound %v", r.ID, from, s.At.Sub(at).Round(time.Millisecond), bound))
		}
		if told[from].IsZero() {
			told[from] = s.ToldLeaving
		}
	}
	return broken
}
