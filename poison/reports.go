package poison

import (
	"cmp"
	"slices"
	"time"

	"acaciakeel/fleet"
)

// Limits of the reports between processes.
const (
	// crashRepeats is the number of pulses in which a crash is reported, because a datagram
	// may be lost. If both are lost, at most one more target crashes.
	crashRepeats = 2
	// reportRate is the mean rate of reports in bytes per second to each receiving process,
	// reportBurst the most at once. When a dozen targets crash together, hundreds of
	// requests become suspects; reporting all of them with every pulse would fill the links
	// of small VMs and delay requests there by seconds. Contents with the most crashes are
	// reported first, the newest of them before the others.
	reportRate  = 6 << 10
	reportBurst = 4 << 10
	// maxResendAge is the age up to which a content with a single crash is reported to a
	// process that has just started.
	maxResendAge = 10 * time.Second
	// bootstrapBytes is the approximate size of the reports to a process that is not yet a
	// member.
	bootstrapBytes = 1 << 10
	// reportBytes is the approximate size of a report without crashes, crashBytes the size
	// of each crash.
	reportBytes = 30
	crashBytes  = 28
)

// Report is what one process knows of a content. Reports may arrive in any order and
// repeatedly: crashes form a set, and a cleared crash stays cleared.
type Report struct {
	Case
	Crashes []Crash
	// Remaining is the time until the verdict expires; 0 if there is none.
	Remaining time.Duration
	// RunningOn is a target that runs a request with the content; nil if none does.
	RunningOn *fleet.Instance
}

// Crash is a target instance that crashed while running a content. A cleared crash does not
// count.
type Crash struct {
	Instance fleet.Instance
	Cleared  bool
}

// NextReports returns the reports to send with this pulse, within the send budget.
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

// selectReports returns reports of the records that include accepts, up to a budget in
// bytes, and what remains of the budget. The caller holds mu.
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

// BootstrapReports returns the most important reports, about one packet, for a process that
// receives no pulses yet.
func (t *Table) BootstrapReports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, _ := t.selectReports(bootstrapBytes, now, func(r *record) bool { return r.worthResending(now) })
	return out
}

// Version returns a number that increases with each crash added to a content.
func (t *Table) Version() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// worthResending reports whether a process that has just started needs the record.
func (r *record) worthResending(now time.Time) bool {
	n := r.countedCrashes()
	return n > 1 || n == 1 && now.Sub(r.updatedAt) < maxResendAge
}

// bytes returns the approximate encoded size.
func (r Report) bytes() int {
	n := reportBytes + crashBytes*len(r.Crashes) + len(r.Service) + len(r.Customer) + len(r.Request) + len(r.Part)
	if r.RunningOn != nil {
		n += crashBytes
	}
	return n
}

// report returns the record as a report. Service, customer and request are included only
// from the second crash on, when other processes may have to show or store them.
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

// localTarget returns a target to which this process has sent a request with the content,
// or nil. The caller holds mu.
func (t *Table) localTarget(content Fingerprint) *fleet.Instance {
	for _, a := range t.running[content] {
		if a.target != nil {
			return a.target
		}
	}
	return nil
}

// ScheduleResend schedules the relevant records to be reported once more. It is called when
// the first message of a process arrives, as a process that has just started knows no
// suspects.
func (t *Table) ScheduleResend(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.worthResending(now) {
			r.pendingSends = max(r.pendingSends, 1)
		}
	}
}

// ApplyReports merges reports of another process.
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

// applyReport merges a report into the table. The caller holds mu. A verdict of another
// process holds here as long as there, and only while enough of its crashes count.
func (t *Table) applyReport(report Report, origin Origin, now time.Time) {
	for _, e := range report.Crashes {
		if e.Cleared {
			t.clearCrash(report.Case, e.Instance, now)
		}
	}
	add, added := t.countCrash, false
	inherited := report.Remaining > 0 && t.coveredBy(report)
	if inherited || report.verdictLapsed() {
		// The crashes must not start a new verdict here: the sender's holds, or has expired, and no
		// target has crashed since.
		add = func(c Case, inst fleet.Instance, o Origin, now time.Time) {
			_, isNew := t.addCrash(c, inst, o, now)
			added = added || isNew
		}
	}
	var last fleet.Instance
	for _, e := range report.Crashes {
		switch {
		case e.Cleared:
		case t.servedLately(report.Content, now):
			t.clearCrash(report.Case, e.Instance, now)
		default:
			add(report.Case, e.Instance, origin, now)
			last = e.Instance
		}
	}
	r := t.records[report.Content]
	if r == nil || r.countedCrashes() < CrashThreshold || report.Remaining <= 0 {
		return
	}
	remaining := min(report.Remaining, maxVerdictDuration)
	switch until := now.Add(remaining); {
	case inherited && !r.convicted(now) && (added || r.until.IsZero()):
		t.startVerdict(r, report.Case, last, origin, max(r.verdictDuration(), remaining), until)
	case until.After(r.until):
		r.until, r.expiryReported = until, false
		r.duration = max(r.duration, remaining)
	}
}

// coveredBy reports whether a report has all crashes that count here. The caller holds mu.
func (t *Table) coveredBy(report Report) bool {
	r := t.records[report.Content]
	if r == nil {
		return true
	}
	for _, e := range r.crashes {
		if !e.cleared && !slices.ContainsFunc(report.Crashes, func(c Crash) bool { return !c.Cleared && c.Instance.Matches(e.instance) }) {
			return false
		}
	}
	return true
}

// verdictLapsed reports whether the report has enough counted crashes for a verdict, but
// the verdict has expired.
func (r Report) verdictLapsed() bool {
	n := 0
	for _, e := range r.Crashes {
		if !e.Cleared {
			n++
		}
	}
	return n >= CrashThreshold && r.Remaining <= 0
}

// clearCrash excludes a crash from the count. The caller holds mu. A crash that is not
// known yet is added as cleared, because its report may arrive after that of its clearing.
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
