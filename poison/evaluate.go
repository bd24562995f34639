package poison

import (
	"slices"
	"time"

	"acaciakeel/fleet"
)

// Status is how a content may be sent.
type Status string

const (
	// Free contents have no counted crash and are routed as usual.
	Free Status = "free"
	// Suspect contents are sent one request at a time, to the target where a crash would
	// hit the fewest other requests.
	Suspect Status = "suspect"
	// Waiting contents are suspects of which another request is running.
	Waiting Status = "waiting"
	// Refused contents are not sent.
	Refused Status = "refused"
)

// Decision tells how a request may be sent.
type Decision struct {
	Status Status
	// Crashes is the number of targets that crashed while running the content, or prompts with
	// Part, the ID of the part that decides; Part is empty if the whole content does.
	Crashes int
	Part    string
	// Remaining is the time until the verdict expires.
	Remaining time.Duration
	// Avoid are the targets that run other suspects. If two suspects were running on a
	// target that crashes, both would be blamed, the harmless one wrongly.
	Avoid []fleet.Instance
}

// Evaluate returns how a request with the content may be sent now. Clients repeat a request
// at several processes at the same time; running one request of a suspect at a time limits
// the damage to one target until the crash is known to all processes.
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

// RefusedCount returns the number of contents that are refused now.
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

// isRunning reports whether any process has sent a request with the content to a target and
// still waits for its response. The caller holds mu.
func (t *Table) isRunning(content Fingerprint, now time.Time) bool {
	if slices.ContainsFunc(t.running[content], func(a *ActiveRequest) bool { return a.target != nil }) {
		return true
	}
	w, ok := t.remoteSuspects[content]
	return ok && w.valid(now)
}

// suspectTargets returns the targets that run suspects. The caller holds mu.
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

// ActiveRequest is a request of this process, from its arrival until it is finished.
type ActiveRequest struct {
	table  *Table
	parts  []Part
	target *fleet.Instance
	// registered are the content and the parts for which the request counts as running.
	registered []Fingerprint
}

// Track registers a request with its parts; the caller calls Finish when it is done.
func (t *Table) Track(content Fingerprint, parts ...Part) *ActiveRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &ActiveRequest{table: t, parts: parts}
	a.register(content)
	return a
}

// register has the request count as running for a content or a part. The caller holds mu.
func (a *ActiveRequest) register(content Fingerprint) {
	if !slices.Contains(a.registered, content) {
		a.registered = append(a.registered, content)
		a.table.running[content] = append(a.table.running[content], a)
	}
}

// SentTo records the target to which the request is sent.
func (a *ActiveRequest) SentTo(target fleet.Instance) {
	a.setTarget(&target)
}

// setTarget records the target that runs the request, nil if none does. For a suspect the
// change is scheduled to be reported to the other processes.
func (a *ActiveRequest) setTarget(target *fleet.Instance) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.target = target
	delete(a.table.localSuspects, a)
	for _, p := range a.parts {
		// Below the threshold a part, which many may share, is sent like any other.
		if r := a.table.records[p.Fingerprint]; r != nil && r.countedCrashes() >= CrashThreshold {
			a.register(p.Fingerprint)
		}
	}
	for _, content := range a.registered {
		r := a.table.records[content]
		if r == nil || r.countedCrashes() == 0 {
			continue
		}
		r.pendingSends = max(r.pendingSends, 1)
		if target != nil {
			a.table.localSuspects[a] = *target
		}
	}
}

// LeftTarget records that no target runs the request any more. For a suspect the other
// processes learn it with the next pulse, so that a waiting repetition is not delayed
// longer than needed.
func (a *ActiveRequest) LeftTarget() {
	a.setTarget(nil)
}

// Finish unregisters the request.
func (a *ActiveRequest) Finish() {
	t := a.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.localSuspects, a)
	for _, content := range a.registered {
		left := slices.DeleteFunc(t.running[content], func(other *ActiveRequest) bool { return other == a })
		if len(left) == 0 {
			delete(t.running, content)
			continue
		}
		t.running[content] = left
	}
}
