package poison

import (
	"cmp"
	"slices"
	"time"

	"acaciakeel/fleet"
)

// Figures of what processes tell each other.
const (
	// toldTimes is in how many pulses an end is told: a datagram may be lost, and a
	// second loss in a row costs one more target at most.
	toldTimes = 2
	// newsRate is how much is told on the average, in bytes a second to each process
	// that listens, and newsBurst at once. Where a dozen targets end together, hundreds
	// of requests are suspect; told in full and with each pulse, they fill the links of
	// small machines, and requests wait seconds on those. Those that ended the most targets go first, the newest of them.
	newsRate  = 6 << 10
	newsBurst = 4 << 10
	// retellMost is how old a first end may be that a process which starts is told of.
	retellMost = 10 * time.Second
	// heldBytes is about how much a process is told that is not among the members yet.
	heldBytes = 1 << 10
	// reportBytes is about what a report takes, and endBytes what each end adds.
	reportBytes = 30
	endBytes    = 28
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
	room := min(newsBurst, t.room+int(newsRate*now.Sub(t.toldAt).Seconds()))
	if t.toldAt.IsZero() {
		room = newsBurst
	}
	t.toldAt = now
	out, left := t.tell(room, now, func(r *record) bool { return r.untold > 0 })
	for _, told := range out {
		t.records[told.Content].untold--
	}
	t.room = left
	return out
}

// tell returns reports of those records that are wanted, as many as there is room for,
// and the room that is left; the caller holds mu.
func (t *Table) tell(room int, now time.Time, wanted func(*record) bool) ([]Report, int) {
	var all []*record
	for _, r := range t.records {
		if wanted(r) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.counted(), a.counted()), b.at.Compare(a.at), slices.Compare(a.Content[:], b.Content[:]))
	})
	var out []Report
	for _, r := range all {
		if room <= 0 {
			break
		}
		report := r.report(t.ownTarget(r.Content), now)
		room -= report.bytes()
		out = append(out, report)
	}
	return out, room
}

// BootstrapReports returns what matters most of what is held, for a process that the others do not
// tell anything yet: about a packet.
func (t *Table) BootstrapReports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, _ := t.tell(heldBytes, now, func(r *record) bool { return r.matters(now) })
	return out
}

// Version changes whenever an end is held against a content.
func (t *Table) Version() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// matters reports whether a process that starts should know of a content.
func (r *record) matters(now time.Time) bool {
	n := r.counted()
	return n > 1 || n == 1 && now.Sub(r.at) < retellMost
}

// bytes is about how much a report takes.
func (r Report) bytes() int {
	n := reportBytes + endBytes*len(r.Crashes) + len(r.Service) + len(r.Customer) + len(r.Request)
	if r.RunningOn != nil {
		n += endBytes
	}
	return n
}

// report returns what is told of a content. Whose it is matters to the others once more
// than one target has ended.
func (r *record) report(at *fleet.Instance, now time.Time) Report {
	out := Report{Case: r.Case, RunningOn: at, Remaining: max(0, r.until.Sub(now))}
	if len(r.ends) < 2 {
		out.Case = Case{Content: r.Content}
	}
	for _, e := range r.ends {
		out.Crashes = append(out.Crashes, Crash{Instance: e.life, Cleared: e.discharged})
	}
	return out
}

// ownTarget returns a target at which this process has a request with a content, or
// nil; the caller holds mu.
func (t *Table) ownTarget(content Fingerprint) *fleet.Instance {
	for _, s := range t.running[content] {
		if s.at != nil {
			return s.at
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
		if r.matters(now) {
			r.untold = max(r.untold, 1)
		}
	}
}

// ApplyReports takes what other processes told.
func (t *Table) ApplyReports(all []Report, now time.Time) {
	t.mu.Lock()
	defer t.unlock()
	for _, report := range all {
		t.heard(report, OriginPeer, now)
		if report.RunningOn != nil {
			t.elsewhere[report.Content] = underWay{at: *report.RunningOn, heard: now}
		} else {
			delete(t.elsewhere, report.Content)
		}
	}
}

// heard merges a report into what is held; the caller holds mu. A verdict that others
// reached holds here as long as there, and no longer than the ends that it rests on.
func (t *Table) heard(report Report, from Origin, now time.Time) {
	for _, e := range report.Crashes {
		if e.Cleared {
			t.discharge(report.Case, e.Instance, now)
		}
	}
	take := t.count
	if report.lapsed() {
		// It is on trial there. Taken for ends that have just been seen, they would begin
		// a verdict anew at whoever starts, with no end since the last one.
		take = func(c Case, life fleet.Instance, from Origin, now time.Time) { t.hold(c, life, from, now) }
	}
	for _, e := range report.Crashes {
		if !e.Cleared {
			take(report.Case, e.Instance, from, now)
		}
	}
	r := t.records[report.Content]
	if r == nil || r.counted() < CrashThreshold || report.Remaining <= 0 {
		return
	}
	if until := now.Add(min(report.Remaining, mostTerm)); until.After(r.until) {
		r.until, r.expired = until, false
		r.term = max(r.term, min(report.Remaining, mostTerm))
	}
}

// lapsed reports whether the ends are enough for a verdict that holds no more.
func (r Report) lapsed() bool {
	n := 0
	for _, e := range r.Crashes {
		if !e.Cleared {
			n++
		}
	}
	return n >= CrashThreshold && r.Remaining <= 0
}

// discharge takes that an end counts no more; the caller holds mu. It is kept also
// where the end is not known: its news may come later than that of its discharge.
func (t *Table) discharge(c Case, life fleet.Instance, now time.Time) {
	r := t.record(c, now)
	for i, e := range r.ends {
		if e.life.Matches(life) {
			r.ends[i].discharged = true
			return
		}
	}
	r.add(end{life: life, discharged: true, known: now})
}
