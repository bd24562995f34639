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
	if r == nil || r.countedCrashes() == 0 {
		return Decision{Status: Free}
	}
	d := Decision{Status: Suspect, Crashes: r.countedCrashes()}
	switch {
	case r.convicted(now):
		d.Status, d.Remaining = Refused, r.until.Sub(now)
	case t.isRunning(content, now):
		d.Status = Waiting
	default:
		d.Avoid = t.suspectTargets(now)
	}
	return d
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

// isRunning reports whether a request with a content is at a target; the caller holds mu.
func (t *Table) isRunning(content Fingerprint, now time.Time) bool {
	if slices.ContainsFunc(t.running[content], func(a *ActiveRequest) bool { return a.target != nil }) {
		return true
	}
	w, ok := t.remoteSuspects[content]
	return ok && w.valid(now)
}

// suspectTargets returns the targets at which suspects are; the caller holds mu.
func (t *Table) suspectTargets(now time.Time) []fleet.Instance {
	var out []fleet.Instance
	for _, r := range t.remoteSuspects {
		if r.valid(now) {
			out = append(out, r.target)
		}
	}
	for _, instance := range t.localSuspects {
		out = append(out, instance)
	}
	return out
}

// ActiveRequest is one request of this process, from its arrival to its end.
type ActiveRequest struct {
	table   *Table
	content Fingerprint
	target  *fleet.Instance
}

// Track counts a request in.
func (t *Table) Track(content Fingerprint) *ActiveRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &ActiveRequest{table: t, content: content}
	t.running[content] = append(t.running[content], a)
	return a
}

// SentTo notes the target to which the request is sent.
func (a *ActiveRequest) SentTo(target fleet.Instance) {
	a.setTarget(&target)
}

// setTarget notes where the request is, and has it told of a suspect.
func (a *ActiveRequest) setTarget(target *fleet.Instance) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.target = target
	delete(a.table.localSuspects, a)
	r := a.table.records[a.content]
	if r == nil || r.countedCrashes() == 0 {
		return
	}
	r.pendingSends = max(r.pendingSends, 1)
	if target != nil {
		a.table.localSuspects[a] = *target
	}
}

// LeftTarget notes that the request is at no target. Where it is a suspect's, the others hear
// it with the next pulse: a repeat waits no longer than the request is tried.
func (a *ActiveRequest) LeftTarget() {
	a.setTarget(nil)
}

// Finish counts the request out.
func (a *ActiveRequest) Finish() {
	t := a.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.localSuspects, a)
	left := slices.DeleteFunc(t.running[a.content], func(other *ActiveRequest) bool { return other == a })
	if len(left) == 0 {
		delete(t.running, a.content)
		return
	}
	t.running[a.content] = left
}
