package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciakeel/fleet"
)

var start = time.Unix(1000, 0)

func inst(n int) fleet.Instance { return fleet.Instance{ID: fmt.Sprintf("r%d", n), Born: int64(n + 1)} }

func caseOf(name string) Case {
	return Case{Content: Content{URI: name}.Fingerprint(), Service: "lm", Customer: "c1", Request: name}
}

// crashTarget crashes a target while it runs the given contents.
func crashTarget(t *Table, target fleet.Instance, now time.Time, all ...Case) {
	for _, c := range all {
		t.RecordBrokenResponse(c, target, now, now)
	}
	t.RecordCrash(target, now)
}

func wantStatus(t *testing.T, table *Table, c Case, now time.Time, status Status) {
	t.Helper()
	if got := table.Evaluate(c.Content, now).Status; got != status {
		t.Errorf("%s is %s, want %s", c.Request, got, status)
	}
}

// Guards against suspecting contents by broken responses alone: failing targets, damaged
// responses and drained streams look the same.
func TestBrokenResponsesAloneCreateNoSuspect(t *testing.T) {
	table, c := New(nil), caseOf("x")
	for i := range 10 {
		table.RecordBrokenResponse(c, inst(i), start, start.Add(time.Duration(i)*time.Second))
	}
	wantStatus(t, table, c, start.Add(10*time.Second), Free)
	table.RecordCrash(inst(0), start.Add(10*time.Second))
	wantStatus(t, table, c, start.Add(10*time.Second), Free)
}

// Guards against a crashing request that is never refused, and against refusing the other
// fifteen that shared its first target and succeeded later.
func TestCrashingContentAmongManyIsRefused(t *testing.T) {
	table, crasher := New(nil), caseOf("guilty")
	all := []Case{crasher}
	for i := range 15 {
		all = append(all, caseOf(fmt.Sprint("other ", i)))
	}
	crashTarget(table, inst(0), start, all...)
	for _, c := range all {
		wantStatus(t, table, c, start, Suspect)
	}
	for _, c := range all[1:] {
		table.RecordSuccess(c.Content, start.Add(time.Second))
		wantStatus(t, table, c, start.Add(time.Second), Free)
	}
	crashTarget(table, inst(1), start.Add(time.Second), crasher)
	wantStatus(t, table, crasher, start.Add(time.Second), Suspect)
	crashTarget(table, inst(2), start.Add(2*time.Second), crasher)
	wantStatus(t, table, crasher, start.Add(2*time.Second), Refused)
	if n := table.RefusedCount(start.Add(2 * time.Second)); n != 1 {
		t.Errorf("%d contents count as refused", n)
	}
	if j := table.Evaluate(crasher.Content, start.Add(3*time.Second)); j.Crashes != CrashThreshold || j.Remaining != initialVerdictDuration-time.Second {
		t.Errorf("decision %+v", j)
	}
}

// Guards against refusing a popular content because a rack fails with many of its requests,
// while others with that content succeed elsewhere.
func TestSuccessClearsHotContent(t *testing.T) {
	table, hot := New(nil), caseOf("hot")
	for i := range 5 {
		crashTarget(table, inst(i), start, hot)
	}
	wantStatus(t, table, hot, start, Refused)
	table.RecordSuccess(hot.Content, start.Add(100*time.Millisecond))
	wantStatus(t, table, hot, start.Add(100*time.Millisecond), Free)
	// Late reports of the same crashes do not restore the verdict.
	other := New(nil)
	for i := range 5 {
		crashTarget(other, inst(i), start, hot)
	}
	table.ApplyReports(other.NextReports(start), start.Add(200*time.Millisecond))
	wantStatus(t, table, hot, start.Add(200*time.Millisecond), Free)
}

// Guards against several targets crashing at once because a client sends the same request
// to several processes at the same moment.
func TestSuspectsRunOneAtATime(t *testing.T) {
	table, other, c := New(nil), New(nil), caseOf("x")
	crashTarget(table, inst(0), start, c)
	first := table.Track(c.Content)
	wantStatus(t, table, c, start, Suspect)
	first.SentTo(inst(1))
	wantStatus(t, table, c, start, Waiting)
	other.ApplyReports(table.NextReports(start), start)
	wantStatus(t, other, c, start, Waiting)
	if avoid := table.Evaluate(caseOf("y").Content, start).Avoid; avoid != nil {
		t.Errorf("a free content has to avoid %v", avoid)
	}
	y := caseOf("y")
	crashTarget(other, inst(2), start, y)
	if apart := other.Evaluate(y.Content, start).Avoid; len(apart) != 1 || apart[0] != inst(1) {
		t.Errorf("another suspect has to avoid %v", apart)
	}
	// A third suspect at the same target does not affect the report of the first.
	z := caseOf("z")
	crashTarget(table, inst(0), start, z)
	third := table.Track(z.Content)
	third.SentTo(inst(1))
	other.ApplyReports(table.NextReports(start), start)
	third.Finish()
	wantStatus(t, other, c, start, Waiting)
	wantStatus(t, other, z, start, Waiting)
	first.LeftTarget()
	wantStatus(t, table, c, start, Suspect)
	first.Finish()
	wantStatus(t, other, c, start, Waiting)
	other.ApplyReports(table.NextReports(start), start)
	wantStatus(t, other, c, start, Suspect)
	if len(table.running) != 0 || len(table.localSuspects) != 0 {
		t.Errorf("%d contents count as running", len(table.running))
	}
}

// Guards against blaming a content that succeeded on retry for a later crash of the target
// that broke off the first response.
func TestCrashAfterSuccessIsNotCounted(t *testing.T) {
	table, c := New(nil), caseOf("x")
	table.RecordBrokenResponse(c, inst(0), start, start)
	table.RecordSuccess(c.Content, start.Add(time.Second))
	table.RecordCrash(inst(0), start.Add(2*time.Second))
	wantStatus(t, table, c, start.Add(2*time.Second), Free)
}

// Guards against evidence that counts in only one order, and against counting a crash that
// comes seconds after the broken response.
func TestCrashEvidenceBeforeOrAfterBrokenResponse(t *testing.T) {
	table, early, late := New(nil), caseOf("early"), caseOf("late")
	table.RecordCrash(inst(0), start)
	table.RecordBrokenResponse(early, inst(0), start, start.Add(10*time.Millisecond))
	wantStatus(t, table, early, start.Add(10*time.Millisecond), Suspect)
	table.RecordBrokenResponse(late, inst(1), start, start)
	if !table.AwaitsEvidence(inst(1)) {
		t.Error("the broken response does not wait for evidence")
	}
	table.RecordCrash(inst(1), start.Add(evidenceTimeout+time.Second))
	wantStatus(t, table, late, start.Add(evidenceTimeout+time.Second), Free)
}

// Guards against counting repeated crashes of a target as one while the store is
// unavailable and restarts are not listed, and one crash reported twice as two.
func TestUnlistedInstancesCountSeparately(t *testing.T) {
	table, c := New(nil), caseOf("x")
	for i := range 3 {
		sent := start.Add(time.Duration(i) * time.Second)
		table.RecordBrokenResponse(c, inst(0), sent, sent.Add(100*time.Millisecond))
		table.RecordCrash(inst(0), sent.Add(110*time.Millisecond))
		table.RecordBrokenResponse(c, inst(0), sent, sent.Add(120*time.Millisecond))
		if got := table.Evaluate(c.Content, sent).Crashes; got != i+1 {
			t.Errorf("%d crashes counted after %d", got, i+1)
		}
	}
	// Two requests broken off in the same unlisted instance are one crash.
	sent := start.Add(3 * time.Second)
	table.RecordBrokenResponse(c, inst(0), sent, sent.Add(100*time.Millisecond))
	table.RecordBrokenResponse(c, inst(0), sent.Add(time.Millisecond), sent.Add(100*time.Millisecond))
	table.RecordCrash(inst(0), sent.Add(110*time.Millisecond))
	if got := table.Evaluate(c.Content, sent).Crashes; got != 4 {
		t.Errorf("%d crashes counted after 4, the last with two broken responses", got)
	}
	// A listed instance is the same to all processes that see it crash.
	named1, named2 := inst(0), inst(0)
	named1.Born, named2.Born = 500, 500
	table.RecordBrokenResponse(c, named1, sent.Add(time.Second), sent.Add(1100*time.Millisecond))
	table.RecordCrash(named2, sent.Add(1110*time.Millisecond))
	if got := table.records[c.Content].crashes[4].instance; got != named1 {
		t.Errorf("the listed instance is recorded as %v", got)
	}
	// A response broken off in the next instance waits for its own evidence.
	other := caseOf("other")
	table.RecordBrokenResponse(other, inst(0), sent.Add(500*time.Millisecond), sent.Add(600*time.Millisecond))
	wantStatus(t, table, other, sent.Add(600*time.Millisecond), Free)
}

// Guards against a verdict that is not renewed for twice as long by a crash after its
// expiry, or that outlives a success.
func TestExpiredVerdictBecomesSuspicion(t *testing.T) {
	var kinds []ChangeKind
	table := New(func(c Change) { kinds = append(kinds, c.Kind) })
	c := caseOf("x")
	for i := range 3 {
		crashTarget(table, inst(i), start, c)
	}
	later := start.Add(initialVerdictDuration + time.Second)
	table.Sweep(later)
	wantStatus(t, table, c, later, Suspect)
	crashTarget(table, inst(3), later, c)
	if j := table.Evaluate(c.Content, later); j.Status != Refused || j.Remaining != 2*initialVerdictDuration {
		t.Errorf("decision %+v", j)
	}
	table.RecordSuccess(c.Content, later)
	wantStatus(t, table, c, later, Free)
	counts := map[ChangeKind]int{}
	for _, w := range kinds {
		counts[w]++
	}
	if counts[Convicted] != 2 || counts[Expired] != 1 || counts[Cleared] != 1 || counts[Suspected] != 4 {
		t.Errorf("changes %v", counts)
	}
	table.Sweep(later.Add(suspicionTTL + time.Second))
	if len(table.records) != 0 {
		t.Errorf("%d records are never removed", len(table.records))
	}
}

// Guards against a process that starts after a verdict has expired, learns of it from the
// store or a peer, and refuses the content for ten more minutes without a new crash.
func TestReportsDoNotRenewExpiredVerdict(t *testing.T) {
	table, c := New(nil), caseOf("x")
	for i := range 3 {
		crashTarget(table, inst(i), start, c)
	}
	stored := table.PendingWrites(true, start.Add(standInDelay))[0]
	later := start.Add(initialVerdictDuration + time.Second)
	table.Sweep(later)
	fromStore, fromPeer := New(nil), New(nil)
	fromStore.ApplyStored(stored, later)
	wantStatus(t, fromStore, c, later, Suspect)
	fromPeer.ApplyReports(table.BootstrapReports(later), later)
	wantStatus(t, fromPeer, c, later, Suspect)
	crashTarget(fromPeer, inst(3), later, c)
	wantStatus(t, fromPeer, c, later, Refused)
}

// Guards against unbounded memory when a hostile customer sends a new content each time,
// and against evicting verdicts or other customers' suspects for it.
func TestRecordsAreBounded(t *testing.T) {
	table, crasher, other := New(nil), caseOf("guilty"), caseOf("other")
	other.Customer = "c2"
	for i := range 3 {
		crashTarget(table, inst(i), start, crasher)
	}
	crashTarget(table, inst(3), start, other)
	for i := range 3 * maxRecords {
		c := caseOf(fmt.Sprint("flood ", i))
		table.RecordBrokenResponse(c, inst(4), start, start.Add(time.Duration(i)))
		if i%100 == 0 {
			table.RecordCrash(inst(4), start.Add(time.Duration(i)))
		}
	}
	if n := len(table.records); n > maxRecordsPerCustomer+1 {
		t.Errorf("%d records", n)
	}
	wantStatus(t, table, crasher, start, Refused)
	wantStatus(t, table, other, start, Suspect)
	for i := range maxRecords {
		c := caseOf(fmt.Sprint("customers ", i))
		c.Customer = fmt.Sprint("c", i)
		crashTarget(table, inst(5), start.Add(time.Second), c)
	}
	if n := len(table.records); n > maxRecords {
		t.Errorf("%d records", n)
	}
	wantStatus(t, table, crasher, start, Refused)
}

// Guards against verdicts lost when all processes are killed, verdicts that an operator
// can't lift, and verdicts lifted by a missing store entry.
func TestVerdictsSurviveInStore(t *testing.T) {
	table, c := New(nil), caseOf("x")
	for i := range 3 {
		crashTarget(table, inst(i), start, c)
	}
	if early := table.PendingWrites(true, start); len(early) != 0 {
		t.Errorf("%d verdicts written before the delay", len(early))
	}
	now := start.Add(time.Second)
	pending := table.PendingWrites(false, now)
	if len(pending) != 1 {
		t.Fatalf("%d verdicts pending, want 1", len(pending))
	}
	table.MarkWritten(pending[0], 7)
	if again := table.PendingWrites(true, now.Add(time.Minute)); len(again) != 0 {
		t.Error("a written verdict is pending again")
	}
	value, err := pending[0].Encode()
	if err != nil {
		t.Fatal(err)
	}
	stored, err := DecodeVerdict(c.Content, value, 7, now)
	if err != nil {
		t.Fatal(err)
	}
	fresh := New(nil)
	fresh.ApplyStored(stored, now)
	wantStatus(t, fresh, c, now, Refused)
	stored.Lifted = true
	fresh.ApplyStored(stored, now)
	wantStatus(t, fresh, c, now, Free)
	fresh.ApplyReports(table.NextReports(now), now)
	wantStatus(t, fresh, c, now, Free)
	wantStatus(t, table, c, now, Refused)
	table.ApplyStored(stored, now)
	wantStatus(t, table, c, now, Free)
}

// Guards against losing a verdict when the process that observed the last crash is killed
// before it writes.
func TestStandInWritesVerdictOfCrashedProcess(t *testing.T) {
	observer, other, c := New(nil), New(nil), caseOf("x")
	for i := range 3 {
		crashTarget(observer, inst(i), start, c)
	}
	other.ApplyReports(observer.NextReports(start), start)
	wantStatus(t, other, c, start, Refused)
	if n := len(other.PendingWrites(false, start.Add(time.Minute))); n != 0 {
		t.Errorf("%d verdicts written by a process that neither observed the crash nor stands in", n)
	}
	if n := len(other.PendingWrites(true, start.Add(standInDelay))); n != 1 {
		t.Errorf("%d verdicts written by the stand-in, want 1", n)
	}
}

// Guards against a verdict that stays missing after the store has lost it.
func TestLostVerdictIsRewritten(t *testing.T) {
	table, c := New(nil), caseOf("x")
	for i := range 3 {
		crashTarget(table, inst(i), start, c)
	}
	now := start.Add(standInDelay)
	table.MarkWritten(table.PendingWrites(false, now)[0], 7)
	table.MarkMissing(c.Content)
	wantStatus(t, table, c, now, Refused)
	if anew := table.PendingWrites(true, now); len(anew) != 1 || anew[0].Revision != 0 {
		t.Errorf("pending writes: %+v", anew)
	}
}

// Guards against a stored verdict that outlives a success that came while it was written.
func TestClearedVerdictIsLiftedInTheStore(t *testing.T) {
	table, c := New(nil), caseOf("x")
	for i := range 3 {
		crashTarget(table, inst(i), start, c)
	}
	now := start.Add(time.Second)
	table.MarkWritten(table.PendingWrites(false, now)[0], 7)
	table.RecordSuccess(c.Content, now)
	lifts := table.PendingWrites(false, now.Add(time.Second))
	if len(lifts) != 1 || !lifts[0].Lifted || lifts[0].Revision != 7 {
		t.Errorf("pending writes: %+v", lifts)
	}
}

func TestDecodeRejectsInvalidVerdicts(t *testing.T) {
	content := caseOf("x").Content
	for _, bad := range []string{"", "x", "[]", `{"until_unix_ms":1}`, `{"ended":[{"target":"a"},{"target":"b"}]}`, `{"ended":7}`} {
		if _, err := DecodeVerdict(content, []byte(bad), 1, start); err == nil {
			t.Errorf("%q was decoded as a verdict", bad)
		}
	}
	far := `{"ended":[{"target":"a"},{"target":"b"},{"target":"c"}],"until_unix_ms":99999999999999}`
	if v, err := DecodeVerdict(content, []byte(far), 1, start); err != nil || v.Until.After(start.Add(maxVerdictDuration)) {
		t.Errorf("%v, %v", v.Until, err)
	}
}

// Guards against processes that disagree because reports arrive late, repeated or out of
// order.
func TestReportsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		contents := []Case{caseOf("a"), caseOf("b")}
		tables := []*Table{New(nil), New(nil), New(nil)}
		var reports [][]Report
		now := start
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			now = now.Add(10 * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(r, "process")
			c := contents[rapid.IntRange(0, 1).Draw(r, "content")]
			if rapid.IntRange(0, 4).Draw(r, "kind") == 0 {
				tables[i].RecordSuccess(c.Content, now)
			} else {
				crashTarget(tables[i], inst(rapid.IntRange(0, 5).Draw(r, "life")), now, c)
			}
			reports = append(reports, tables[i].NextReports(now))
		}
		for _, table := range tables {
			for _, i := range rapid.Permutation(indices(len(reports))).Draw(r, "order") {
				table.ApplyReports(reports[i], now)
				table.ApplyReports(reports[i], now)
			}
		}
		for _, c := range contents {
			n := tables[0].Evaluate(c.Content, now)
			for _, table := range tables[1:] {
				if got := table.Evaluate(c.Content, now); got.Crashes != n.Crashes || got.Status != n.Status {
					r.Fatalf("%s: %+v and %+v", c.Request, n, got)
				}
			}
		}
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against reports that fill half of a small VM's link for seconds when a dozen
// targets crash at once, each with sixty requests of one entry.
func TestReportBandwidthIsBounded(t *testing.T) {
	table, crasher := New(nil), caseOf("guilty")
	for i := range 12 {
		for j := range 60 {
			table.RecordBrokenResponse(caseOf(fmt.Sprint(i, "-", j)), inst(i), start, start)
		}
		table.RecordCrash(inst(i), start)
	}
	crashTarget(table, inst(20), start, crasher)
	crashTarget(table, inst(21), start, crasher)
	sent, first := 0, table.NextReports(start)
	if len(first) == 0 || first[0].Content != crasher.Content {
		t.Error("the content with two crashes is not reported first")
	}
	for _, r := range first {
		sent += r.bytes()
	}
	const seconds, pulses = 4, 20
	for i := range seconds * pulses {
		now := start.Add(time.Duration(i+1) * time.Second / pulses)
		for _, r := range table.NextReports(now) {
			sent += r.bytes()
		}
		request := table.Track(caseOf("0-0").Content)
		request.SentTo(inst(30))
		request.Finish()
	}
	if most := reportBurst + seconds*reportRate + reportBytes + 2*crashBytes; sent > most {
		t.Errorf("%d bytes reported in %d seconds, want at most %d", sent, seconds, most)
	}
}

// Guards against a verdict that counts as a further one, and makes the next one twice as long,
// because a process whose verdict ends a little later reports the same crashes.
func TestReportAfterTheExpiryDoublesNoVerdict(t *testing.T) {
	changes := map[ChangeKind]int{}
	table, peer, c := New(func(c Change) { changes[c.Kind]++ }), New(nil), caseOf("x")
	for i := range CrashThreshold {
		crashTarget(table, inst(i), start, c)
		crashTarget(peer, inst(i), start.Add(time.Second), c)
	}
	expired := start.Add(initialVerdictDuration)
	table.Sweep(expired)
	table.ApplyReports(peer.NextReports(expired), expired)
	wantStatus(t, table, c, expired, Refused)
	if changes[Convicted] != 1 {
		t.Errorf("%d verdicts after %d crashes, want one", changes[Convicted], CrashThreshold)
	}
	later := expired.Add(2 * time.Second)
	crashTarget(table, inst(CrashThreshold), later, c)
	if d := table.Evaluate(c.Content, later); d.Remaining != 2*initialVerdictDuration {
		t.Errorf("the second verdict: %+v, want %v", d, 2*initialVerdictDuration)
	}
}
