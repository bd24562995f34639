package poison

import (
	"slices"
	"time"

	"acaciakeel/fleet"
)

// Status is how a content stands before it is sent.
type Status string

// The standings.
const (
	// Free contents go where they are answered best.
	Free Status = "free"
	// Suspect ones go where they end the work of the fewest others, one at a time.
	Suspect Status = "suspect"
	// Waiting ones are suspects of which another request is under way.
	Waiting Status = "waiting"
	// Refused ones are not sent.
	Refused Status = "refused"
)

// Decision is what a request may do.
type Decision struct {
	Status Status
	// Crashes is how many targets ended under the content.
	Crashes int
	// Remaining is how long the verdict holds.
	Remaining time.Duration
	// Avoid are the targets at which other suspects are under way. Two suspects that end
	// a target together are both suspected of it, and the proper one of them for no
	// reason of its own.
	Avoid []fleet.Instance
}

// Evaluate says what a request with a content may do now. Clients repeat a request at
// other processes at the same moment; one at a time, a suspect ends one target before
// the end is known everywhere.
func (t *Table) Evaluate(content Fingerprint, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[content]
	if r == nil || r.counted() == 0 {
		return Decision{Status: Free}
	}
	j := Decision{Status: Suspect, Crashes: r.counted()}
	switch {
	case r.convicted(now):
		j.Status, j.Remaining = Refused, r.until.Sub(now)
	case t.underWay(content, now):
		j.Status = Waiting
	default:
		j.Avoid = t.apart(now)
	}
	return j
}

// RefusedCount returns how many contents are refused now.
func (t *Table) RefusedCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if r.convicted(now) {
			n++
		}
	}
	return n
}

// underWay reports whether a request with a content is at a target; the caller holds mu.
func (t *Table) underWay(content Fingerprint, now time.Time) bool {
	if slices.ContainsFunc(t.running[content], func(s *ActiveRequest) bool { return s.at != nil }) {
		return true
	}
	w, ok := t.elsewhere[content]
	return ok && w.holds(now)
}

// apart returns the targets at which suspects are; the caller holds mu.
func (t *Table) apart(now time.Time) []fleet.Instance {
	var out []fleet.Instance
	for _, w := range t.elsewhere {
		if w.holds(now) {
			out = append(out, w.at)
		}
	}
	for _, life := range t.tried {
		out = append(out, life)
	}
	return out
}

// ActiveRequest is one request of this process, from its arrival to its end.
type ActiveRequest struct {
	table   *Table
	content Fingerprint
	at      *fleet.Instance
}

// Track counts a request in.
func (t *Table) Track(content Fingerprint) *ActiveRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &ActiveRequest{table: t, content: content}
	t.running[content] = append(t.running[content], s)
	return s
}

// SentTo notes the target to which the request is sent.
func (s *ActiveRequest) SentTo(life fleet.Instance) {
	s.move(&life)
}

// move notes where the request is, and has it told of a suspect.
func (s *ActiveRequest) move(to *fleet.Instance) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.at = to
	delete(s.table.tried, s)
	r := s.table.records[s.content]
	if r == nil || r.counted() == 0 {
		return
	}
	r.untold = max(r.untold, 1)
	if to != nil {
		s.table.tried[s] = *to
	}
}

// LeftTarget notes that the request is at no target. Where it is a suspect's, the others hear
// it with the next pulse: a repeat waits no longer than the request is tried.
func (s *ActiveRequest) LeftTarget() {
	s.move(nil)
}

// Finish counts the request out.
func (s *ActiveRequest) Finish() {
	t := s.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.tried, s)
	left := slices.DeleteFunc(t.running[s.content], func(other *ActiveRequest) bool { return other == s })
	if len(left) == 0 {
		delete(t.running, s.content)
		return
	}
	t.running[s.content] = left
}
