package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciakeel/fleet"
)

var start = time.Unix(1000, 0)

func life(n int) fleet.Instance { return fleet.Instance{ID: fmt.Sprintf("r%d", n), Born: int64(n + 1)} }

func named(name string) Case {
	return Case{Content: Content{URI: name}.Fingerprint(), Service: "lm", Customer: "c1", Request: name}
}

// ends has a target end under the contents given.
func ends(t *Table, l fleet.Instance, now time.Time, all ...Case) {
	for _, c := range all {
		t.RecordBrokenResponse(c, l, now, now)
	}
	t.RecordCrash(l, now)
}

func want(t *testing.T, table *Table, c Case, now time.Time, standing Status) {
	t.Helper()
	if got := table.Evaluate(c.Content, now).Status; got != standing {
		t.Errorf("%s is %s, want %s", c.Request, got, standing)
	}
}

// A broken answer alone proves nothing: a target that fails part of its requests, an
// answer that is spoilt on its way and an order that ends streams look the same.
func TestBrokenAnswersAloneSuspectNobody(t *testing.T) {
	table, c := New(nil), named("x")
	for i := range 10 {
		table.RecordBrokenResponse(c, life(i), start, start.Add(time.Duration(i)*time.Second))
	}
	want(t, table, c, start.Add(10*time.Second), Free)
	table.RecordCrash(life(0), start.Add(10*time.Second))
	want(t, table, c, start.Add(10*time.Second), Free)
}

// Sixteen requests see a target end, and one of them ended it. It ends the next target
// alone, and a third; the others are served meanwhile, and are not refused at any time.
func TestGuiltyOneOfManyIsRefused(t *testing.T) {
	table, guilty := New(nil), named("guilty")
	all := []Case{guilty}
	for i := range 15 {
		all = append(all, named(fmt.Sprint("other ", i)))
	}
	ends(table, life(0), start, all...)
	for _, c := range all {
		want(t, table, c, start, Suspect)
	}
	for _, c := range all[1:] {
		table.RecordSuccess(c.Content, start.Add(time.Second))
		want(t, table, c, start.Add(time.Second), Free)
	}
	ends(table, life(1), start.Add(time.Second), guilty)
	want(t, table, guilty, start.Add(time.Second), Suspect)
	ends(table, life(2), start.Add(2*time.Second), guilty)
	want(t, table, guilty, start.Add(2*time.Second), Refused)
	if n := table.RefusedCount(start.Add(2 * time.Second)); n != 1 {
		t.Errorf("%d contents count as refused", n)
	}
	if j := table.Evaluate(guilty.Content, start.Add(3*time.Second)); j.Crashes != CrashThreshold || j.Remaining != firstTerm-time.Second {
		t.Errorf("judged %+v", j)
	}
}

// A rack falls away with many requests of one hot content on its targets; others with
// that content are served elsewhere. None of them may be refused for it.
func TestHotContentIsClearedByWhoIsServed(t *testing.T) {
	table, hot := New(nil), named("hot")
	for i := range 5 {
		ends(table, life(i), start, hot)
	}
	want(t, table, hot, start, Refused)
	table.RecordSuccess(hot.Content, start.Add(100*time.Millisecond))
	want(t, table, hot, start.Add(100*time.Millisecond), Free)
	// The late words of others on the same ends do not bring the verdict back.
	other := New(nil)
	for i := range 5 {
		ends(other, life(i), start, hot)
	}
	table.ApplyReports(other.NextReports(start), start.Add(200*time.Millisecond))
	want(t, table, hot, start.Add(200*time.Millisecond), Free)
}

// A client sends the same request to several processes at the same moment. While one is
// tried the others wait, here and at the process that was told.
func TestSuspectsAreTriedOneAtATime(t *testing.T) {
	table, other, c := New(nil), New(nil), named("x")
	ends(table, life(0), start, c)
	stay := table.Track(c.Content)
	want(t, table, c, start, Suspect)
	stay.SentTo(life(1))
	want(t, table, c, start, Waiting)
	other.ApplyReports(table.NextReports(start), start)
	want(t, other, c, start, Waiting)
	if apart := table.Evaluate(named("y").Content, start).Avoid; apart != nil {
		t.Errorf("a free content is kept apart from %v", apart)
	}
	y := named("y")
	ends(other, life(2), start, y)
	if apart := other.Evaluate(y.Content, start).Avoid; len(apart) != 1 || apart[0] != life(1) {
		t.Errorf("another suspect is kept apart from %v", apart)
	}
	// A third one at the same target takes nothing from the word on the first.
	z := named("z")
	ends(table, life(0), start, z)
	at := table.Track(z.Content)
	at.SentTo(life(1))
	other.ApplyReports(table.NextReports(start), start)
	at.Finish()
	want(t, other, c, start, Waiting)
	want(t, other, z, start, Waiting)
	stay.LeftTarget()
	want(t, table, c, start, Suspect)
	stay.Finish()
	want(t, other, c, start, Waiting)
	other.ApplyReports(table.NextReports(start), start)
	want(t, other, c, start, Suspect)
	if len(table.running) != 0 || len(table.tried) != 0 {
		t.Errorf("%d contents count as running", len(table.running))
	}
}

// An answer is spoilt, its client sends the request again and is served; seconds later the
// target that spoilt it ends. What was served since is not held to that.
func TestServedSinceIsNotHeldToALaterEnd(t *testing.T) {
	table, c := New(nil), named("x")
	table.RecordBrokenResponse(c, life(0), start, start)
	table.RecordSuccess(c.Content, start.Add(time.Second))
	table.RecordCrash(life(0), start.Add(2*time.Second))
	want(t, table, c, start.Add(2*time.Second), Free)
}

// The evidence of an end comes in either order with the broken answers, and not seconds
// later: what ends then is another matter.
func TestEvidenceComesBeforeOrAfter(t *testing.T) {
	table, early, late := New(nil), named("early"), named("late")
	table.RecordCrash(life(0), start)
	table.RecordBrokenResponse(early, life(0), start, start.Add(10*time.Millisecond))
	want(t, table, early, start.Add(10*time.Millisecond), Suspect)
	table.RecordBrokenResponse(late, life(1), start, start)
	if !table.AwaitsEvidence(life(1)) {
		t.Error("a broken answer waits for no evidence")
	}
	table.RecordCrash(life(1), start.Add(evidenceFor+time.Second))
	want(t, table, late, start.Add(evidenceFor+time.Second), Free)
}

// While the store is away nobody says that a target has started again under its id. Its
// next end under the same content is another one; the first, learnt of twice, is not.
func TestUnnamedLivesCountApart(t *testing.T) {
	table, c := New(nil), named("x")
	for i := range 3 {
		sent := start.Add(time.Duration(i) * time.Second)
		table.RecordBrokenResponse(c, life(0), sent, sent.Add(100*time.Millisecond))
		table.RecordCrash(life(0), sent.Add(110*time.Millisecond))
		table.RecordBrokenResponse(c, life(0), sent, sent.Add(120*time.Millisecond))
		if got := table.Evaluate(c.Content, sent).Crashes; got != i+1 {
			t.Errorf("%d ends count after %d", got, i+1)
		}
	}
	// Two copies in one such life are one end.
	sent := start.Add(3 * time.Second)
	table.RecordBrokenResponse(c, life(0), sent, sent.Add(100*time.Millisecond))
	table.RecordBrokenResponse(c, life(0), sent.Add(time.Millisecond), sent.Add(100*time.Millisecond))
	table.RecordCrash(life(0), sent.Add(110*time.Millisecond))
	if got := table.Evaluate(c.Content, sent).Crashes; got != 4 {
		t.Errorf("%d ends count after 4, the last of two copies", got)
	}
	// A later life that is named is the same to all who see it end.
	named1, named2 := life(0), life(0)
	named1.Born, named2.Born = 500, 500
	table.RecordBrokenResponse(c, named1, sent.Add(time.Second), sent.Add(1100*time.Millisecond))
	table.RecordCrash(named2, sent.Add(1110*time.Millisecond))
	if got := table.records[c.Content].ends[4].life; got != named1 {
		t.Errorf("the named life counts as %v", got)
	}
	// What breaks off in the next life waits for evidence of its own.
	other := named("other")
	table.RecordBrokenResponse(other, life(0), sent.Add(500*time.Millisecond), sent.Add(600*time.Millisecond))
	want(t, table, other, sent.Add(600*time.Millisecond), Free)
}

// A verdict lapses; the content is then tried alone, and one more end renews it for
// twice as long. Served, it is free for good.
func TestVerdictLapsesIntoATrial(t *testing.T) {
	var told []ChangeKind
	table := New(func(c Change) { told = append(told, c.Kind) })
	c := named("x")
	for i := range 3 {
		ends(table, life(i), start, c)
	}
	later := start.Add(firstTerm + time.Second)
	table.Sweep(later)
	want(t, table, c, later, Suspect)
	ends(table, life(3), later, c)
	if j := table.Evaluate(c.Content, later); j.Status != Refused || j.Remaining != 2*firstTerm {
		t.Errorf("judged %+v", j)
	}
	table.RecordSuccess(c.Content, later)
	want(t, table, c, later, Free)
	counts := map[ChangeKind]int{}
	for _, w := range told {
		counts[w]++
	}
	if counts[Convicted] != 2 || counts[Expired] != 1 || counts[Cleared] != 1 || counts[Suspected] != 4 {
		t.Errorf("told %v", counts)
	}
	table.Sweep(later.Add(suspectFor + time.Second))
	if len(table.records) != 0 {
		t.Errorf("%d records are kept for ever", len(table.records))
	}
}

// An entry starts just after a verdict has lapsed, and finds it in the store, or hears of
// it from another. The content is to be tried, as everywhere; taken for three ends that
// have just been seen, it was refused there for ten minutes more, with no new end.
func TestLapsedVerdictIsNotRenewedByWord(t *testing.T) {
	table, c := New(nil), named("x")
	for i := range 3 {
		ends(table, life(i), start, c)
	}
	kept := table.PendingWrites(true, start.Add(othersAfter))[0]
	later := start.Add(firstTerm + time.Second)
	table.Sweep(later)
	reader, hearer := New(nil), New(nil)
	reader.ApplyStored(kept, later)
	want(t, reader, c, later, Suspect)
	hearer.ApplyReports(table.BootstrapReports(later), later)
	want(t, hearer, c, later, Suspect)
	ends(hearer, life(3), later, c)
	want(t, hearer, c, later, Refused)
}

// A hostile customer sends another content each time. What is kept of it is bounded,
// and neither a verdict nor other customers' suspects go for it.
func TestFloodOfSuspectsIsBounded(t *testing.T) {
	table, guilty, other := New(nil), named("guilty"), named("other")
	other.Customer = "c2"
	for i := range 3 {
		ends(table, life(i), start, guilty)
	}
	ends(table, life(3), start, other)
	for i := range 3 * recordsMost {
		c := named(fmt.Sprint("flood ", i))
		table.RecordBrokenResponse(c, life(4), start, start.Add(time.Duration(i)))
		if i%100 == 0 {
			table.RecordCrash(life(4), start.Add(time.Duration(i)))
		}
	}
	if n := len(table.records); n > customerMost+1 {
		t.Errorf("%d contents are kept", n)
	}
	want(t, table, guilty, start, Refused)
	want(t, table, other, start, Suspect)
	for i := range recordsMost {
		c := named(fmt.Sprint("customers ", i))
		c.Customer = fmt.Sprint("c", i)
		ends(table, life(5), start.Add(time.Second), c)
	}
	if n := len(table.records); n > recordsMost {
		t.Errorf("%d contents are kept", n)
	}
	want(t, table, guilty, start, Refused)
}

// An entry is killed with all others and starts from what the store has; an operator
// lifts the verdict there; one that is missing in the store lifts nothing.
func TestStoreKeepsVerdicts(t *testing.T) {
	table, c := New(nil), named("x")
	for i := range 3 {
		ends(table, life(i), start, c)
	}
	if early := table.PendingWrites(true, start); len(early) != 0 {
		t.Errorf("%d verdicts are written before they settle", len(early))
	}
	now := start.Add(time.Second)
	unkept := table.PendingWrites(false, now)
	if len(unkept) != 1 {
		t.Fatalf("%d verdicts are to be written", len(unkept))
	}
	table.MarkWritten(unkept[0], 7)
	if again := table.PendingWrites(true, now.Add(time.Minute)); len(again) != 0 {
		t.Error("a verdict that was written is written again")
	}
	value, err := unkept[0].Encode()
	if err != nil {
		t.Fatal(err)
	}
	kept, err := DecodeVerdict(c.Content, value, 7, now)
	if err != nil {
		t.Fatal(err)
	}
	fresh := New(nil)
	fresh.ApplyStored(kept, now)
	want(t, fresh, c, now, Refused)
	kept.Lifted = true
	fresh.ApplyStored(kept, now)
	want(t, fresh, c, now, Free)
	fresh.ApplyReports(table.NextReports(now), now)
	want(t, fresh, c, now, Free)
	want(t, table, c, now, Refused)
	table.ApplyStored(kept, now)
	want(t, table, c, now, Free)
}

// The process that saw the last end is killed before it writes: whoever stands in for
// all writes what it was told.
func TestOthersWriteWhatTheWitnessCouldNot(t *testing.T) {
	witness, other, c := New(nil), New(nil), named("x")
	for i := range 3 {
		ends(witness, life(i), start, c)
	}
	other.ApplyReports(witness.NextReports(start), start)
	want(t, other, c, start, Refused)
	if n := len(other.PendingWrites(false, start.Add(time.Minute))); n != 0 {
		t.Errorf("%d verdicts are written by one who neither saw the end nor stands in", n)
	}
	if n := len(other.PendingWrites(true, start.Add(othersAfter))); n != 1 {
		t.Errorf("%d verdicts are written by one who stands in", n)
	}
}

// The store loses a verdict that holds: it is written anew, as one that the store never had.
func TestLostVerdictIsWrittenAnew(t *testing.T) {
	table, c := New(nil), named("x")
	for i := range 3 {
		ends(table, life(i), start, c)
	}
	now := start.Add(othersAfter)
	table.MarkWritten(table.PendingWrites(false, now)[0], 7)
	table.MarkMissing(c.Content)
	want(t, table, c, now, Refused)
	if anew := table.PendingWrites(true, now); len(anew) != 1 || anew[0].Revision != 0 {
		t.Errorf("to be written: %+v", anew)
	}
}

// What clears a content while its verdict is being kept has to be kept too.
func TestClearedVerdictIsLiftedInTheStore(t *testing.T) {
	table, c := New(nil), named("x")
	for i := range 3 {
		ends(table, life(i), start, c)
	}
	now := start.Add(time.Second)
	table.MarkWritten(table.PendingWrites(false, now)[0], 7)
	table.RecordSuccess(c.Content, now)
	lifts := table.PendingWrites(false, now.Add(time.Second))
	if len(lifts) != 1 || !lifts[0].Lifted || lifts[0].Revision != 7 {
		t.Errorf("to be written: %+v", lifts)
	}
}

func TestDecodeLeavesOutWhatIsNoVerdict(t *testing.T) {
	content := named("x").Content
	for _, bad := range []string{"", "x", "[]", `{"until_unix_ms":1}`, `{"ended":[{"target":"a"},{"target":"b"}]}`, `{"ended":7}`} {
		if _, err := DecodeVerdict(content, []byte(bad), 1, start); err == nil {
			t.Errorf("%q was taken for a verdict", bad)
		}
	}
	far := `{"ended":[{"target":"a"},{"target":"b"},{"target":"c"}],"until_unix_ms":99999999999999}`
	if v, err := DecodeVerdict(content, []byte(far), 1, start); err != nil || v.Until.After(start.Add(mostTerm)) {
		t.Errorf("%v, %v", v.Until, err)
	}
}

// However late, doubled and mixed their words come, processes that heard all of them
// hold the same ends against each content.
func TestProcessesAgreeHoweverTheirWordsCome(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		contents := []Case{named("a"), named("b")}
		tables := []*Table{New(nil), New(nil), New(nil)}
		var words [][]Report
		now := start
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			now = now.Add(10 * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(r, "process")
			c := contents[rapid.IntRange(0, 1).Draw(r, "content")]
			if rapid.IntRange(0, 4).Draw(r, "kind") == 0 {
				tables[i].RecordSuccess(c.Content, now)
			} else {
				ends(tables[i], life(rapid.IntRange(0, 5).Draw(r, "life")), now, c)
			}
			words = append(words, tables[i].NextReports(now))
		}
		for _, table := range tables {
			for _, i := range rapid.Permutation(indices(len(words))).Draw(r, "order") {
				table.ApplyReports(words[i], now)
				table.ApplyReports(words[i], now)
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
func TestWordsOnManySuspectsAreBounded(t *testing.T) {
	table, guilty := New(nil), named("guilty")
	for i := range 12 {
		for j := range 60 {
			table.RecordBrokenResponse(named(fmt.Sprint(i, "-", j)), life(i), start, start)
		}
		table.RecordCrash(life(i), start)
	}
	ends(table, life(20), start, guilty)
	ends(table, life(21), start, guilty)
	told, first := 0, table.NextReports(start)
	if len(first) == 0 || first[0].Content != guilty.Content {
		t.Error("the one that ended two targets is not told first")
	}
	for _, r := range first {
		told += r.bytes()
	}
	const seconds, pulses = 4, 20
	for i := range seconds * pulses {
		now := start.Add(time.Duration(i+1) * time.Second / pulses)
		for _, r := range table.NextReports(now) {
			told += r.bytes()
		}
		stay := table.Track(named("0-0").Content)
		stay.SentTo(life(30))
		stay.Finish()
	}
	if most := newsBurst + seconds*newsRate + reportBytes + 2*endBytes; told > most {
		t.Errorf("%d bytes are told in %d seconds, over %d", told, seconds, most)
	}
}
