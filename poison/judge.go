package poison

import (
	"slices"
	"time"

	"acaciakeel/fleet"
)

// Standing is how a content stands before it is sent.
type Standing string

// The standings.
const (
	// Free contents go where they are answered best.
	Free Standing = "free"
	// Suspect ones go where they end the work of the fewest others, one at a time.
	Suspect Standing = "suspect"
	// Waiting ones are suspects of which another request is under way.
	Waiting Standing = "waiting"
	// Refused ones are not sent.
	Refused Standing = "refused"
)

// Judgement is what a request may do.
type Judgement struct {
	Standing Standing
	// Ends is how many targets ended under the content.
	Ends int
	// For is how long the verdict holds.
	For time.Duration
	// Apart are the targets at which other suspects are under way. Two suspects that end
	// a target together are both suspected of it, and the proper one of them for no
	// reason of its own.
	Apart []fleet.Life
}

// Judge says what a request with a content may do now. Clients repeat a request at
// other processes at the same moment; one at a time, a suspect ends one target before
// the end is known everywhere.
func (t *Table) Judge(content Fingerprint, now time.Time) Judgement {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[content]
	if r == nil || r.counted() == 0 {
		return Judgement{Standing: Free}
	}
	j := Judgement{Standing: Suspect, Ends: r.counted()}
	switch {
	case r.convicted(now):
		j.Standing, j.For = Refused, r.until.Sub(now)
	case t.underWay(content, now):
		j.Standing = Waiting
	default:
		j.Apart = t.apart(now)
	}
	return j
}

// Refused returns how many contents are refused now.
func (t *Table) Refused(now time.Time) int {
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
	if slices.ContainsFunc(t.running[content], func(s *Stay) bool { return s.at != nil }) {
		return true
	}
	w, ok := t.elsewhere[content]
	return ok && w.holds(now)
}

// apart returns the targets at which suspects are; the caller holds mu.
func (t *Table) apart(now time.Time) []fleet.Life {
	var out []fleet.Life
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

// Stay is one request of this process, from its arrival to its end.
type Stay struct {
	table   *Table
	content Fingerprint
	at      *fleet.Life
}

// Begin counts a request in.
func (t *Table) Begin(content Fingerprint) *Stay {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &Stay{table: t, content: content}
	t.running[content] = append(t.running[content], s)
	return s
}

// At notes the target to which the request is sent.
func (s *Stay) At(life fleet.Life) {
	s.move(&life)
}

// move notes where the request is, and has it told of a suspect.
func (s *Stay) move(to *fleet.Life) {
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

// Left notes that the request is at no target. Where it is a suspect's, the others hear
// it with the next pulse: a repeat waits no longer than the request is tried.
func (s *Stay) Left() {
	s.move(nil)
}

// End counts the request out.
func (s *Stay) End() {
	t := s.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.tried, s)
	left := slices.DeleteFunc(t.running[s.content], func(other *Stay) bool { return other == s })
	if len(left) == 0 {
		delete(t.running, s.content)
		return
	}
	t.running[s.content] = left
}
