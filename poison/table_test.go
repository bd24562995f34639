package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciakeel/fleet"
)

var start = time.Unix(1000, 0)

func instance(n int) fleet.Instance {
	return fleet.Instance{ID: fmt.Sprintf("r%d", n), Born: int64(n + 1)}
}

func caseOf(name string) Case {
	return Case{Content: Content{URI: name}.Fingerprint(), Service: "lm", Customer: "c1", Request: name}
}

// crashTarget has a target end under the contents given.
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

// A broken answer alone proves nothing: a target that fails part of its requests, an
// answer that is spoilt on its way and an order that ends streams look the same.
func TestBrokenResponsesAloneCreateNoSuspect(t *testing.T) {
	table, c := New(nil), caseOf("x")
	for i := range 10 {
		table.RecordBrokenResponse(c, instance(i), start, start.Add(time.Duration(i)*time.Second))
	}
	wantStatus(t, table, c, start.Add(10*time.Second), Free)
	table.RecordCrash(instance(0), start.Add(10*time.Second))
	wantStatus(t, table, c, start.Add(10*time.Second), Free)
}

// Sixteen requests see a target end, and one of them ended it. It ends the next target
// alone, and a third; the others are served meanwhile, and are not refused at any time.
func TestCrashingContentAmongManyIsRefused(t *testing.T) {
	table, crasher := New(nil), caseOf("guilty")
	all := []Case{crasher}
	for i := range 15 {
		all = append(all, caseOf(fmt.Sprint("other ", i)))
	}
	crashTarget(table, instance(0), start, all...)
	for _, c := range all {
		wantStatus(t, table, c, start, Suspect)
	}
	for _, c := range all[1:] {
		table.RecordSuccess(c.Content, start.Add(time.Second))
		wantStatus(t, table, c, start.Add(time.Second), Free)
	}
	crashTarget(table, instance(1), start.Add(time.Second), crasher)
	wantStatus(t, table, crasher, start.Add(time.Second), Suspect)
	crashTarget(table, instance(2), start.Add(2*time.Second), crasher)
	wantStatus(t, table, crasher, start.Add(2*time.Second), Refused)
	if n := table.RefusedCount(start.Add(2 * time.Second)); n != 1 {
		t.Errorf("%d contents count as refused", n)
	}
	if j := table.Evaluate(crasher.Content, start.Add(3*time.Second)); j.Crashes != CrashThreshold || j.Remaining != initialVerdictDuration-time.Second {
		t.Errorf("judged %+v", j)
	}
}

// A rack falls away with many requests of one hot content on its targets; others with
// that content are served elsewhere. None of them may be refused for it.
func TestSuccessClearsHotContent(t *testing.T) {
	table, hot := New(nil), caseOf("hot")
	for i := range 5 {
		crashTarget(table, instance(i), start, hot)
	}
	wantStatus(t, table, hot, start, Refused)
	table.RecordSuccess(hot.Content, start.Add(100*time.Millisecond))
	wantStatus(t, table, hot, start.Add(100*time.Millisecond), Free)
	// The late words of others on the same ends do not bring the verdict back.
	other := New(nil)
	for i := range 5 {
		crashTarget(other, instance(i), start, hot)
	}
	table.ApplyReports(other.NextReports(start), start.Add(200*time.Millisecond))
	wantStatus(t, table, hot, start.Add(200*time.Millisecond), Free)
}

// A client sends the same request to several processes at the same moment. While one is
// tried the others wait, here and at the process that was told.
func TestSuspectsRunOneAtATime(t *testing.T) {
	table, other, c := New(nil), New(nil), caseOf("x")
	crashTarget(table, instance(0), start, c)
	first := table.Track(c.Content)
	wantStatus(t, table, c, start, Suspect)
	first.SentTo(instance(1))
	wantStatus(t, table, c, start, Waiting)
	other.ApplyReports(table.NextReports(start), start)
	wantStatus(t, other, c, start, Waiting)
	if avoid := table.Evaluate(caseOf("y").Content, start).Avoid; avoid != nil {
		t.Errorf("a free content is kept apart from %v", avoid)
	}
	y := caseOf("y")
	crashTarget(other, instance(2), start, y)
	if apart := other.Evaluate(y.Content, start).Avoid; len(apart) != 1 || apart[0] != instance(1) {
		t.Errorf("another suspect is kept apart from %v", apart)
	}
	// A third one at the same target takes nothing from the word on the first.
	z := caseOf("z")
	crashTarget(table, instance(0), start, z)
	third := table.Track(z.Content)
	third.SentTo(instance(1))
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

// An answer is spoilt, its client sends the request again and is served; seconds later the
// target that spoilt it ends. What was served since is not held to that.
func TestCrashAfterSuccessIsNotCounted(t *testing.T) {
	table, c := New(nil), caseOf("x")
	table.RecordBrokenResponse(c, instance(0), start, start)
	table.RecordSuccess(c.Content, start.Add(time.Second))
	table.RecordCrash(instance(0), start.Add(2*time.Second))
	wantStatus(t, table, c, start.Add(2*time.Second), Free)
}

// The evidence of an end comes in either order with the broken answers, and not seconds
// later: what ends then is another matter.
func TestCrashEvidenceBeforeOrAfterBrokenResponse(t *testing.T) {
	table, early, late := New(nil), caseOf("early"), caseOf("late")
	table.RecordCrash(instance(0), start)
	table.RecordBrokenResponse(early, instance(0), start, start.Add(10*time.Millisecond))
	wantStatus(t, table, early, start.Add(10*time.Millisecond), Suspect)
	table.RecordBrokenResponse(late, instance(1), start, start)
	if !table.AwaitsEvidence(instance(1)) {
		t.Error("a broken answer waits for no evidence")
	}
	table.RecordCrash(instance(1), start.Add(evidenceTimeout+time.Second))
	wantStatus(t, table, late, start.Add(evidenceTimeout+time.Second), Free)
}

// While the store is away nobody says that a target has started again under its id. Its
// next end under the same content is another one; the first, learnt of twice, is not.
func TestUnlistedInstancesCountSeparately(t *testing.T) {
	table, c := New(nil), caseOf("x")
	for i := range 3 {
		sent := start.Add(time.Duration(i) * time.Second)
		table.RecordBrokenResponse(c, instance(0), sent, sent.Add(100*time.Millisecond))
		table.RecordCrash(instance(0), sent.Add(110*time.Millisecond))
		table.RecordBrokenResponse(c, instance(0), sent, sent.Add(120*time.Millisecond))
		if got := table.Evaluate(c.Content, sent).Crashes; got != i+1 {
			t.Errorf("%d ends count after %d", got, i+1)
		}
	}
	// Two copies in one such life are one end.
	sent := start.Add(3 * time.Second)
	table.RecordBrokenResponse(c, instance(0), sent, sent.Add(100*time.Millisecond))
	table.RecordBrokenResponse(c, instance(0), sent.Add(time.Millisecond), sent.Add(100*time.Millisecond))
	table.RecordCrash(instance(0), sent.Add(110*time.Millisecond))
	if got := table.Evaluate(c.Content, sent).Crashes; got != 4 {
		t.Errorf("%d ends count after 4, the last of two copies", got)
	}
	// A later life that is named is the same to all who see it end.
	named1, named2 := instance(0), instance(0)
	named1.Born, named2.Born = 500, 500
	table.RecordBrokenResponse(c, named1, sent.Add(time.Second), sent.Add(1100*time.Millisecond))
	table.RecordCrash(named2, sent.Add(1110*time.Millisecond))
	if got := table.records[c.Content].crashes[4].instance; got != named1 {
		t.Errorf("the named life counts as %v", got)
	}
	// What breaks off in the next life waits for evidence of its own.
	other := caseOf("other")
	table.RecordBrokenResponse(other, instance(0), sent.Add(500*time.Millisecond), sent.Add(600*time.Millisecond))
	wantStatus(t, table, other, sent.Add(600*time.Millisecond), Free)
}

// A verdict lapses; the content is then tried alone, and one more end renews it for
// twice as long. Served, it is free for good.
func TestExpiredVerdictBecomesSuspicion(t *testing.T) {
	var kinds []ChangeKind
	table := New(func(c Change) { kinds = append(kinds, c.Kind) })
	c := caseOf("x")
	for i := range 3 {
		crashTarget(table, instance(i), start, c)
	}
	later := start.Add(initialVerdictDuration + time.Second)
	table.Sweep(later)
	wantStatus(t, table, c, later, Suspect)
	crashTarget(table, instance(3), later, c)
	if j := table.Evaluate(c.Content, later); j.Status != Refused || j.Remaining != 2*initialVerdictDuration {
		t.Errorf("judged %+v", j)
	}
	table.RecordSuccess(c.Content, later)
	wantStatus(t, table, c, later, Free)
	counts := map[ChangeKind]int{}
	for _, w := range kinds {
		counts[w]++
	}
	if counts[Convicted] != 2 || counts[Expired] != 1 || counts[Cleared] != 1 || counts[Suspected] != 4 {
		t.Errorf("told %v", counts)
	}
	table.Sweep(later.Add(suspicionTTL + time.Second))
	if len(table.records) != 0 {
		t.Errorf("%d records are kept for ever", len(table.records))
	}
}

// An entry starts just after a verdict has lapsed, and finds it in the store, or hears of
// it from another. The content is to be tried, as everywhere; taken for three ends that
// have just been seen, it was refused there for ten minutes more, with no new end.
func TestReportsDoNotRenewExpiredVerdict(t *testing.T) {
	table, c := New(nil), caseOf("x")
	for i := range 3 {
		crashTarget(table, instance(i), start, c)
	}
	stored := table.PendingWrites(true, start.Add(standInDelay))[0]
	later := start.Add(initialVerdictDuration + time.Second)
	table.Sweep(later)
	fromStore, fromPeer := New(nil), New(nil)
	fromStore.ApplyStored(stored, later)
	wantStatus(t, fromStore, c, later, Suspect)
	fromPeer.ApplyReports(table.BootstrapReports(later), later)
	wantStatus(t, fromPeer, c, later, Suspect)
	crashTarget(fromPeer, instance(3), later, c)
	wantStatus(t, fromPeer, c, later, Refused)
}

// A hostile customer sends another content each time. What is kept of it is bounded,
// and neither a verdict nor other customers' suspects go for it.
func TestRecordsAreBounded(t *testing.T) {
	table, crasher, other := New(nil), caseOf("guilty"), caseOf("other")
	other.Customer = "c2"
	for i := range 3 {
		crashTarget(table, instance(i), start, crasher)
	}
	crashTarget(table, instance(3), start, other)
	for i := range 3 * maxRecords {
		c := caseOf(fmt.Sprint("flood ", i))
		table.RecordBrokenResponse(c, instance(4), start, start.Add(time.Duration(i)))
		if i%100 == 0 {
			table.RecordCrash(instance(4), start.Add(time.Duration(i)))
		}
	}
	if n := len(table.records); n > maxRecordsPerCustomer+1 {
		t.Errorf("%d contents are kept", n)
	}
	wantStatus(t, table, crasher, start, Refused)
	wantStatus(t, table, other, start, Suspect)
	for i := range maxRecords {
		c := caseOf(fmt.Sprint("customers ", i))
		c.Customer = fmt.Sprint("c", i)
		crashTarget(table, instance(5), start.Add(time.Second), c)
	}
	if n := len(table.records); n > maxRecords {
		t.Errorf("%d contents are kept", n)
	}
	wantStatus(t, table, crasher, start, Refused)
}

// An entry is killed with all others and starts from what the store has; an operator
// lifts the verdict there; one that is missing in the store lifts nothing.
func TestVerdictsSurviveInStore(t *testing.T) {
	table, c := New(nil), caseOf("x")
	for i := range 3 {
		crashTarget(table, instance(i), start, c)
	}
	if early := table.PendingWrites(true, start); len(early) != 0 {
		t.Errorf("%d verdicts are written before they settle", len(early))
	}
	now := start.Add(time.Second)
	pending := table.PendingWrites(false, now)
	if len(pending) != 1 {
		t.Fatalf("%d verdicts are to be written", len(pending))
	}
	table.MarkWritten(pending[0], 7)
	if again := table.PendingWrites(true, now.Add(time.Minute)); len(again) != 0 {
		t.Error("a verdict that was written is written again")
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

// The process that saw the last end is killed before it writes: whoever stands in for
// all writes what it was told.
func TestStandInWritesVerdictOfCrashedProcess(t *testing.T) {
	observer, other, c := New(nil), New(nil), caseOf("x")
	for i := range 3 {
		crashTarget(observer, instance(i), start, c)
	}
	other.ApplyReports(observer.NextReports(start), start)
	wantStatus(t, other, c, start, Refused)
	if n := len(other.PendingWrites(false, start.Add(time.Minute))); n != 0 {
		t.Errorf("%d verdicts are written by one who neither saw the end nor stands in", n)
	}
	if n := len(other.PendingWrites(true, start.Add(standInDelay))); n != 1 {
		t.Errorf("%d verdicts are written by one who stands in", n)
	}
}

// The store loses a verdict that holds: it is written anew, as one that the store never had.
func TestLostVerdictIsRewritten(t *testing.T) {
	table, c := New(nil), caseOf("x")
	for i := range 3 {
		crashTarget(table, instance(i), start, c)
	}
	now := start.Add(standInDelay)
	table.MarkWritten(table.PendingWrites(false, now)[0], 7)
	table.MarkMissing(c.Content)
	wantStatus(t, table, c, now, Refused)
	if anew := table.PendingWrites(true, now); len(anew) != 1 || anew[0].Revision != 0 {
		t.Errorf("to be written: %+v", anew)
	}
}

// What clears a content while its verdict is being kept has to be kept too.
func TestClearedVerdictIsLiftedInTheStore(t *testing.T) {
	table, c := New(nil), caseOf("x")
	for i := range 3 {
		crashTarget(table, instance(i), start, c)
	}
	now := start.Add(time.Second)
	table.MarkWritten(table.PendingWrites(false, now)[0], 7)
	table.RecordSuccess(c.Content, now)
	lifts := table.PendingWrites(false, now.Add(time.Second))
	if len(lifts) != 1 || !lifts[0].Lifted || lifts[0].Revision != 7 {
		t.Errorf("to be written: %+v", lifts)
	}
}

func TestDecodeRejectsInvalidVerdicts(t *testing.T) {
	content := caseOf("x").Content
	for _, bad := range []string{"", "x", "[]", `{"until_unix_ms":1}`, `{"ended":[{"target":"a"},{"target":"b"}]}`, `{"ended":7}`} {
		if _, err := DecodeVerdict(content, []byte(bad), 1, start); err == nil {
			t.Errorf("%q was taken for a verdict", bad)
		}
	}
	far := `{"ended":[{"target":"a"},{"target":"b"},{"target":"c"}],"until_unix_ms":99999999999999}`
	if v, err := DecodeVerdict(content, []byte(far), 1, start); err != nil || v.Until.After(start.Add(maxVerdictDuration)) {
		t.Errorf("%v, %v", v.Until, err)
	}
}

// However late, doubled and mixed their words come, processes that heard all of them
// hold the same ends against each content.
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
				crashTarget(tables[i], instance(rapid.IntRange(0, 5).Draw(r, "life")), now, c)
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

// A dozen targets end at the same moment, each with sixty requests of one entry. Its word
// on them, told in full and again while they were repeated, filled half of a small
// machine's link for seconds, and requests waited on it. What it tells is bounded; a
// content that ended more than one target goes before the others.
func TestReportBandwidthIsBounded(t *testing.T) {
	table, crasher := New(nil), caseOf("guilty")
	for i := range 12 {
		for j := range 60 {
			table.RecordBrokenResponse(caseOf(fmt.Sprint(i, "-", j)), instance(i), start, start)
		}
		table.RecordCrash(instance(i), start)
	}
	crashTarget(table, instance(20), start, crasher)
	crashTarget(table, instance(21), start, crasher)
	sent, first := 0, table.NextReports(start)
	if len(first) == 0 || first[0].Content != crasher.Content {
		t.Error("the one that ended two targets is not told first")
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
		request.SentTo(instance(30))
		request.Finish()
	}
	if most := reportBurst + seconds*reportRate + reportBytes + 2*crashBytes; sent > most {
		t.Errorf("%d bytes are told in %d seconds, over %d", sent, seconds, most)
	}
}
