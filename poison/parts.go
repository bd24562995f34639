package poison

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strings"
	"time"

	"acaciakeel/fleet"
)

// Part is a part of a prompt. One part may crash every target that begins to answer a prompt
// with it, whatever else the prompt holds, so that no two contents that crash are alike.
type Part struct {
	Fingerprint Fingerprint
	// ID is the part's ID as the clients state it.
	ID string
}

// NewPart returns a part of the prompts of a model. IDs are hexadecimal, in either case.
func NewPart(model, id string) Part {
	h := sha256.New()
	for _, field := range []string{"part", model, strings.ToLower(id)} {
		writeField(h, []byte(field))
	}
	return Part{Fingerprint: Fingerprint(h.Sum(nil)[:16]), ID: id[:min(len(id), maxIDBytes)]}
}

// maxIDBytes bounds the ID that is logged, stored and told to other processes; clients choose it.
const maxIDBytes = 64

const (
	// SurvivalTime is how long a target must live on after it has begun to answer a prompt, or
	// has completed the answer, to show that the parts of the prompt do not crash it. Targets
	// crash within some token steps (tens of milliseconds).
	SurvivalTime = 300 * time.Millisecond
	// soundTime is for how long crashes are not counted against a part that was served: a part
	// that many prompts share is in flight at every target that crashes for another reason. A
	// part that begins to crash targets is blamed after this time.
	soundTime = 3 * time.Second
	// maxServedParts bounds the parts that are remembered as served, about 60 bytes each.
	// Beyond it parts only lose that protection.
	maxServedParts = 16384
	// maxServedRuns bounds the runs whose targets have yet to live on.
	maxServedRuns = 4096
)

// Durations of the verdicts on a part. While its crashes are below trialCrashes the verdict
// ends soon and one request is tried, which frees a sound part that was blamed by chance; from
// then on it lasts as long as that on a content.
const (
	trialCrashes        = 5
	firstPartVerdict    = 10 * time.Second
	repeatedPartVerdict = 30 * time.Second
)

// servedRun is a run whose parts are sound if its target lives on.
type servedRun struct {
	parts    []Part
	instance fleet.Instance
	at       time.Time
}

// partHistory is what this process has seen of parts that were served.
type partHistory struct {
	servedAt map[Fingerprint]time.Time
	// runs are in the order of their times.
	runs []servedRun
}

// RecordPartsServed records that a target has answered a prompt with the parts completely. It
// counts once the target has lived on.
func (t *Table) RecordPartsServed(parts []Part, instance fleet.Instance, now time.Time) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.unlockAndNotify()
	t.settleRuns(now)
	if len(t.history.runs) < maxServedRuns {
		t.history.runs = append(t.history.runs, servedRun{parts: parts, instance: instance, at: now})
	}
}

// RecordPartsSurvived records that a target goes on with a run of the parts SurvivalTime after
// it began to answer.
func (t *Table) RecordPartsSurvived(parts []Part, now time.Time) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.unlockAndNotify()
	t.clearParts(parts, now)
}

// settleRuns clears the parts of the runs whose targets have lived on. The caller holds mu.
func (t *Table) settleRuns(now time.Time) {
	n := 0
	for n < len(t.history.runs) && now.Sub(t.history.runs[n].at) >= SurvivalTime {
		t.clearParts(t.history.runs[n].parts, now)
		n++
	}
	t.history.runs = t.history.runs[n:]
}

// dropRuns removes the runs that a target has completed shortly before it broke off a response.
// The caller holds mu.
func (t *Table) dropRuns(instance fleet.Instance) {
	t.history.runs = slices.DeleteFunc(t.history.runs, func(r servedRun) bool { return r.instance.Matches(instance) })
}

func (t *Table) clearParts(parts []Part, now time.Time) {
	for _, p := range parts {
		if _, known := t.history.servedAt[p.Fingerprint]; known || len(t.history.servedAt) < maxServedParts {
			t.history.servedAt[p.Fingerprint] = now
		}
		t.clearContent(p.Fingerprint, now)
	}
	if len(t.brokenResponses) == 0 {
		return
	}
	for i := range t.brokenResponses {
		b := &t.brokenResponses[i]
		b.parts = slices.DeleteFunc(b.parts, func(c Case) bool {
			return slices.ContainsFunc(parts, func(p Part) bool { return p.Fingerprint == c.Content })
		})
	}
}

// servedLately reports whether a crash at a time does not count against a part, as the part was
// served shortly before or since. It is false for whole contents. The caller holds mu.
func (t *Table) servedLately(content Fingerprint, crashedAt time.Time) bool {
	at, ok := t.history.servedAt[content]
	return ok && crashedAt.Sub(at) < soundTime
}

// dropServed forgets parts that were served too long ago. The caller holds mu.
func (t *Table) dropServed(now time.Time) {
	maps.DeleteFunc(t.history.servedAt, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > soundTime+evidenceTimeout })
}

// EvaluateParts returns how a request with the parts may be sent now. If all crashed prompts had
// several parts in common, a request with all of them is refused, and one that lacks some of them
// is sent: its result shows which part is to blame.
func (t *Table) EvaluateParts(parts []Part, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Decision{Status: Free}
	for _, p := range parts {
		r := t.records[p.Fingerprint]
		if r == nil || r.countedCrashes() < CrashThreshold {
			continue
		}
		unexplained := t.unexplainedWithout(r, parts)
		if unexplained == 0 {
			continue
		}
		d := Decision{Status: Suspect, Crashes: r.countedCrashes(), Part: p.ID}
		switch {
		case r.convicted(now) && unexplained >= CrashThreshold:
			d.Status, d.Remaining = Refused, r.until.Sub(now)
		case t.isRunning(p.Fingerprint, now):
			d.Status = Waiting
		default:
			d.Avoid = t.suspectTargets(now)
		}
		if d.Outranks(out) {
			out = d
		}
	}
	return out
}

// Outranks reports whether a decision restricts the request more than another one.
func (d Decision) Outranks(other Decision) bool {
	return statusRank[d.Status] > statusRank[other.Status] || d.Status == other.Status && d.Remaining > other.Remaining
}

// statusRank orders the statuses.
var statusRank = map[Status]int{Free: 0, Suspect: 1, Waiting: 2, Refused: 3}

// unexplainedWithout returns how many crashes that count against a part are not explained by
// another part, or a whole content, that a request with the given parts does not have. Another part
// explains all of them or none: prompts share parts, so that a sound one has many crashes in common
// with a bad one. A content that crashed targets by itself explains those that it has. The caller
// holds mu.
func (t *Table) unexplainedWithout(r *record, parts []Part) int {
	all := r.countedCrashes()
	least := all
	for content, other := range t.records {
		if len(other.crashes) < CrashThreshold || slices.ContainsFunc(parts, func(p Part) bool { return p.Fingerprint == content }) {
			continue
		}
		atMost := 0
		if other.Part == "" {
			atMost = min(all-CrashThreshold, least-1)
		}
		if n := other.missing(r, atMost); n <= atMost {
			least = n
		}
	}
	return least
}

// missing returns how many of the crashes that count against another record do not count against
// this one, or atMost+1 if there are more.
func (r *record) missing(other *record, atMost int) int {
	n := 0
	for _, e := range other.crashes {
		if !e.cleared && !slices.ContainsFunc(r.crashes, func(own crashEntry) bool { return !own.cleared && own.instance.Matches(e.instance) }) {
			if n++; n > atMost {
				break
			}
		}
	}
	return n
}

// verdictTooShort reports whether a verdict on a part was made before as many crashes were known
// as now.
func (r *record) verdictTooShort() bool {
	return r.Part != "" && r.countedCrashes() >= trialCrashes && r.duration < initialVerdictDuration
}

// verdictDuration returns the duration of the next verdict.
func (r *record) verdictDuration() time.Duration {
	switch {
	case r.Part == "" || r.countedCrashes() >= trialCrashes:
		return min(max(2*r.duration, initialVerdictDuration), maxVerdictDuration)
	case r.countedCrashes() > CrashThreshold:
		return repeatedPartVerdict
	}
	return firstPartVerdict
}
