package poison

import (
	"cmp"
	"slices"
	"time"

	"acaciakeel/fleet"
)

// Figures of what processes tell each other.
const (
	// crashRepeats is in how many pulses an end is told: a datagram may be lost, and a
	// second loss in a row costs one more target at most.
	crashRepeats = 2
	// reportRate is how much is told on the average, in bytes a second to each process
	// that listens, and newsBurst at once. Where a dozen targets end together, hundreds
	// of requests are suspect; told in full and with each pulse, they fill the links of
	// small machines, and requests wait seconds on those. Those that ended the most targets go first, the newest of them.
	reportRate  = 6 << 10
	reportBurst = 4 << 10
	// maxResendAge is how old a first end may be that a process which starts is told of.
	maxResendAge = 10 * time.Second
	// bootstrapBytes is about how much a process is told that is not among the members yet.
	bootstrapBytes = 1 << 10
	// reportBytes is about what a report takes, and endBytes what each end adds.
	reportBytes = 30
	crashBytes  = 28
)

// Report is what one process tells of a content. Reports can be heard in any order and
// as often as may be: ends are a set, and one that was discharged stays so.
type Report struct {
	Case
	Crashes []Crash
	// Remaining is how much longer a verdict holds; 0 is none.
	Remaining time.Duration
	// RunningOn is the target at which a request with the content is under way; nil where none is.
	RunningOn *fleet.Instance
}

// Crash is a life that ended under a content.
type Crash struct {
	Instance fleet.Instance
	Cleared  bool
}

// NextReports returns what there is to tell now.
func (t *Table) NextReports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	budget := min(reportBurst, t.sendBudget+int(reportRate*now.Sub(t.sendBudgetAt).Seconds()))
	if t.sendBudgetAt.IsZero() {
		budget = reportBurst
	}
	t.sendBudgetAt = now
	out, left := t.selectReports(budget, now, func(r *record) bool { return r.pendingSends > 0 })
	for _, report := range out {
		t.records[report.Content].pendingSends--
	}
	t.sendBudget = left
	return out
}

// selectReports returns reports of those records that are wanted, as many as there is room for,
// and the room that is left; the caller holds mu.
func (t *Table) selectReports(budget int, now time.Time, include func(*record) bool) ([]Report, int) {
	var all []*record
	for _, r := range t.records {
		if include(r) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.countedCrashes(), a.countedCrashes()), b.updatedAt.Compare(a.updatedAt), slices.Compare(a.Content[:], b.Content[:]))
	})
	var out []Report
	for _, r := range all {
		if budget <= 0 {
			break
		}
		report := r.report(t.localTarget(r.Content), now)
		budget -= report.bytes()
		out = append(out, report)
	}
	return out, budget
}

// BootstrapReports returns what matters most of what is held, for a process that the others do not
// tell anything yet: about a packet.
func (t *Table) BootstrapReports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, _ := t.selectReports(bootstrapBytes, now, func(r *record) bool { return r.worthResending(now) })
	return out
}

// Version changes whenever an end is held against a content.
func (t *Table) Version() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// worthResending reports whether a process that starts should know of a content.
func (r *record) worthResending(now time.Time) bool {
	n := r.countedCrashes()
	return n > 1 || n == 1 && now.Sub(r.updatedAt) < maxResendAge
}

// bytes is about how much a report takes.
func (r Report) bytes() int {
	n := reportBytes + crashBytes*len(r.Crashes) + len(r.Service) + len(r.Customer) + len(r.Request)
	if r.RunningOn != nil {
		n += crashBytes
	}
	return n
}

// report returns what is told of a content. Whose it is matters to the others once more
// than one target has ended.
func (r *record) report(runningOn *fleet.Instance, now time.Time) Report {
	out := Report{Case: r.Case, RunningOn: runningOn, Remaining: max(0, r.until.Sub(now))}
	if len(r.crashes) < 2 {
		out.Case = Case{Content: r.Content}
	}
	for _, e := range r.crashes {
		out.Crashes = append(out.Crashes, Crash{Instance: e.instance, Cleared: e.cleared})
	}
	return out
}

// localTarget returns a target at which this process has a request with a content, or
// nil; the caller holds mu.
func (t *Table) localTarget(content Fingerprint) *fleet.Instance {
	for _, a := range t.running[content] {
		if a.target != nil {
			return a.target
		}
	}
	return nil
}

// ScheduleResend has what is held told once more, for a process that has just been heard for the
// first time: one that starts knows of no suspects.
func (t *Table) ScheduleResend(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.worthResending(now) {
			r.pendingSends = max(r.pendingSends, 1)
		}
	}
}

// ApplyReports takes what other processes told.
func (t *Table) ApplyReports(all []Report, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	for _, report := range all {
		t.applyReport(report, OriginPeer, now)
		if report.RunningOn != nil {
			t.remoteSuspects[report.Content] = remoteRun{target: *report.RunningOn, reportedAt: now}
		} else {
			delete(t.remoteSuspects, report.Content)
		}
	}
}

// applyReport merges a report into what is held; the caller holds mu. A verdict that others
// reached holds here as long as there, and no longer than the ends that it rests on.
func (t *Table) applyReport(report Report, origin Origin, now time.Time) {
	for _, e := range report.Crashes {
		if e.Cleared {
			t.clearCrash(report.Case, e.Instance, now)
		}
	}
	addCrash := t.countCrash
	if report.verdictLapsed() {
		// It is on trial there. Taken for ends that have just been seen, they would begin
		// a verdict anew at whoever starts, with no end since the last one.
		addCrash = func(c Case, instance fleet.Instance, origin Origin, now time.Time) {
			t.addCrash(c, instance, origin, now)
		}
	}
	for _, e := range report.Crashes {
		if !e.Cleared {
			addCrash(report.Case, e.Instance, origin, now)
		}
	}
	r := t.records[report.Content]
	if r == nil || r.countedCrashes() < CrashThreshold || report.Remaining <= 0 {
		return
	}
	if until := now.Add(min(report.Remaining, maxVerdictDuration)); until.After(r.until) {
		r.until, r.expiryReported = until, false
		r.duration = max(r.duration, min(report.Remaining, maxVerdictDuration))
	}
}

// verdictLapsed reports whether the ends are enough for a verdict that holds no more.
func (r Report) verdictLapsed() bool {
	n := 0
	for _, e := range r.Crashes {
		if !e.Cleared {
			n++
		}
	}
	return n >= CrashThreshold && r.Remaining <= 0
}

// clearCrash takes that an end counts no more; the caller holds mu. It is kept also
// where the end is not known: its news may come later than that of its clearCrash.
func (t *Table) clearCrash(c Case, instance fleet.Instance, now time.Time) {
	r := t.record(c, now)
	for i, e := range r.crashes {
		if e.instance.Matches(instance) {
			r.crashes[i].cleared = true
			return
		}
	}
	r.appendCrash(crashEntry{instance: instance, cleared: true, learnedAt: now})
}
