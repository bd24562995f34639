package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciakeel/fleet"
)

var start = time.Unix(1000, 0)

func life(n int) fleet.Life { return fleet.Life{ID: fmt.Sprintf("r%d", n), Born: int64(n + 1)} }

func named(name string) Case {
	return Case{Content: Content{URI: name}.Fingerprint(), Service: "lm", Customer: "c1", Request: name}
}

// ends has a target end under the contents given.
func ends(t *Table, l fleet.Life, now time.Time, all ...Case) {
	for _, c := range all {
		t.Broke(c, l, now, now)
	}
	t.Ended(l, now)
}

func want(t *testing.T, table *Table, c Case, now time.Time, standing Standing) {
	t.Helper()
	if got := table.Judge(c.Content, now).Standing; got != standing {
		t.Errorf("%s is %s, want %s", c.Request, got, standing)
	}
}

// A broken answer alone proves nothing: a target that fails part of its requests, an
// answer that is spoilt on its way and an order that ends streams look the same.
func TestBrokenAnswersAloneSuspectNobody(t *testing.T) {
	table, c := New(nil), named("x")
	for i := range 10 {
		table.Broke(c, life(i), start, start.Add(time.Duration(i)*time.Second))
	}
	want(t, table, c, start.Add(10*time.Second), Free)
	table.Ended(life(0), start.Add(10*time.Second))
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
		table.Served(c.Content, start.Add(time.Second))
		want(t, table, c, start.Add(time.Second), Free)
	}
	ends(table, life(1), start.Add(time.Second), guilty)
	want(t, table, guilty, start.Add(time.Second), Suspect)
	ends(table, life(2), start.Add(2*time.Second), guilty)
	want(t, table, guilty, start.Add(2*time.Second), Refused)
	if n := table.Refused(start.Add(2 * time.Second)); n != 1 {
		t.Errorf("%d contents count as refused", n)
	}
	if j := table.Judge(guilty.Content, start.Add(3*time.Second)); j.Ends != EndsMost || j.For != firstTerm-time.Second {
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
	table.Served(hot.Content, start.Add(100*time.Millisecond))
	want(t, table, hot, start.Add(100*time.Millisecond), Free)
	// The late words of others on the same ends do not bring the verdict back.
	other := New(nil)
	for i := range 5 {
		ends(other, life(i), start, hot)
	}
	table.Heard(other.News(start), start.Add(200*time.Millisecond))
	want(t, table, hot, start.Add(200*time.Millisecond), Free)
}

// A client sends the same request to several processes at the same moment. While one is
// tried the others wait, here and at the process that was told.
func TestSuspectsAreTriedOneAtATime(t *testing.T) {
	table, other, c := New(nil), New(nil), named("x")
	ends(table, life(0), start, c)
	stay := table.Begin(c.Content)
	want(t, table, c, start, Suspect)
	stay.At(life(1))
	want(t, table, c, start, Waiting)
	other.Heard(table.News(start), start)
	want(t, other, c, start, Waiting)
	if apart := table.Judge(named("y").Content, start).Apart; apart != nil {
		t.Errorf("a free content is kept apart from %v", apart)
	}
	y := named("y")
	ends(other, life(2), start, y)
	if apart := other.Judge(y.Content, start).Apart; len(apart) != 1 || apart[0] != life(1) {
		t.Errorf("another suspect is kept apart from %v", apart)
	}
	// A third one at the same target takes nothing from the word on the first.
	z := named("z")
	ends(table, life(0), start, z)
	at := table.Begin(z.Content)
	at.At(life(1))
	other.Heard(table.News(start), start)
	at.End()
	want(t, other, c, start, Waiting)
	want(t, other, z, start, Waiting)
	stay.Left()
	want(t, table, c, start, Suspect)
	stay.End()
	want(t, other, c, start, Waiting)
	other.Heard(table.News(start), start)
	want(t, other, c, start, Suspect)
	if len(table.running) != 0 || len(table.tried) != 0 {
		t.Errorf("%d contents count as running", len(table.running))
	}
}

// An answer is spoilt, its client sends the request again and is served; seconds later the
// target that spoilt it ends. What was served since is not held to that.
func TestServedSinceIsNotHeldToALaterEnd(t *testing.T) {
	table, c := New(nil), named("x")
	table.Broke(c, life(0), start, start)
	table.Served(c.Content, start.Add(time.Second))
	table.Ended(life(0), start.Add(2*time.Second))
	want(t, table, c, start.Add(2*time.Second), Free)
}

// The evidence of an end comes in either order with the broken answers, and not seconds
// later: what ends then is another matter.
func TestEvidenceComesBeforeOrAfter(t *testing.T) {
	table, early, late := New(nil), named("early"), named("late")
	table.Ended(life(0), start)
	table.Broke(early, life(0), start, start.Add(10*time.Millisecond))
	want(t, table, early, start.Add(10*time.Millisecond), Suspect)
	table.Broke(late, life(1), start, start)
	if !table.Waits(life(1)) {
		t.Error("a broken answer waits for no evidence")
	}
	table.Ended(life(1), start.Add(evidenceFor+time.Second))
	want(t, table, late, start.Add(evidenceFor+time.Second), Free)
}

// While the store is away nobody says that a target has started again under its id. Its
// next end under the same content is another one; the first, learnt of twice, is not.
func TestUnnamedLivesCountApart(t *testing.T) {
	table, c := New(nil), named("x")
	for i := range 3 {
		sent := start.Add(time.Duration(i) * time.Second)
		table.Broke(c, life(0), sent, sent.Add(100*time.Millisecond))
		table.Ended(life(0), sent.Add(110*time.Millisecond))
		table.Broke(c, life(0), sent, sent.Add(120*time.Millisecond))
		if got := table.Judge(c.Content, sent).Ends; got != i+1 {
			t.Errorf("%d ends count after %d", got, i+1)
		}
	}
	// Two copies in one such life are one end.
	sent := start.Add(3 * time.Second)
	table.Broke(c, life(0), sent, sent.Add(100*time.Millisecond))
	table.Broke(c, life(0), sent.Add(time.Millisecond), sent.Add(100*time.Millisecond))
	table.Ended(life(0), sent.Add(110*time.Millisecond))
	if got := table.Judge(c.Content, sent).Ends; got != 4 {
		t.Errorf("%d ends count after 4, the last of two copies", got)
	}
	// A later life that is named is the same to all who see it end.
	named1, named2 := life(0), life(0)
	named1.Born, named2.Born = 500, 500
	table.Broke(c, named1, sent.Add(time.Second), sent.Add(1100*time.Millisecond))
	table.Ended(named2, sent.Add(1110*time.Millisecond))
	if got := table.records[c.Content].ends[4].life; got != named1 {
		t.Errorf("the named life counts as %v", got)
	}
	// What breaks off in the next life waits for evidence of its own.
	other := named("other")
	table.Broke(other, life(0), sent.Add(500*time.Millisecond), sent.Add(600*time.Millisecond))
	want(t, table, other, sent.Add(600*time.Millisecond), Free)
}

// A verdict lapses; the content is then tried alone, and one more end renews it for
// twice as long. Served, it is free for good.
func TestVerdictLapsesIntoATrial(t *testing.T) {
	var told []What
	table := New(func(c Change) { told = append(told, c.What) })
	c := named("x")
	for i := range 3 {
		ends(table, life(i), start, c)
	}
	later := start.Add(firstTerm + time.Second)
	table.Sweep(later)
	want(t, table, c, later, Suspect)
	ends(table, life(3), later, c)
	if j := table.Judge(c.Content, later); j.Standing != Refused || j.For != 2*firstTerm {
		t.Errorf("judged %+v", j)
	}
	table.Served(c.Content, later)
	want(t, table, c, later, Free)
	counts := map[What]int{}
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
	kept := table.Unkept(true, start.Add(othersAfter))[0]
	later := start.Add(firstTerm + time.Second)
	table.Sweep(later)
	reader, hearer := New(nil), New(nil)
	reader.Read(kept, later)
	want(t, reader, c, later, Suspect)
	hearer.Heard(table.Held(later), later)
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
		table.Broke(c, life(4), start, start.Add(time.Duration(i)))
		if i%100 == 0 {
			table.Ended(life(4), start.Add(time.Duration(i)))
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
	if early := table.Unkept(true, start); len(early) != 0 {
		t.Errorf("%d verdicts are written before they settle", len(early))
	}
	now := start.Add(time.Second)
	unkept := table.Unkept(false, now)
	if len(unkept) != 1 {
		t.Fatalf("%d verdicts are to be written", len(unkept))
	}
	table.Written(unkept[0], 7)
	if again := table.Unkept(true, now.Add(time.Minute)); len(again) != 0 {
		t.Error("a verdict that was written is written again")
	}
	value, err := unkept[0].Encode()
	if err != nil {
		t.Fatal(err)
	}
	kept, err := Decode(c.Content, value, 7, now)
	if err != nil {
		t.Fatal(err)
	}
	fresh := New(nil)
	fresh.Read(kept, now)
	want(t, fresh, c, now, Refused)
	kept.Lifted = true
	fresh.Read(kept, now)
	want(t, fresh, c, now, Free)
	fresh.Heard(table.News(now), now)
	want(t, fresh, c, now, Free)
	want(t, table, c, now, Refused)
	table.Read(kept, now)
	want(t, table, c, now, Free)
}

// The process that saw the last end is killed before it writes: whoever stands in for
// all writes what it was told.
func TestOthersWriteWhatTheWitnessCouldNot(t *testing.T) {
	witness, other, c := New(nil), New(nil), named("x")
	for i := range 3 {
		ends(witness, life(i), start, c)
	}
	other.Heard(witness.News(start), start)
	want(t, other, c, start, Refused)
	if n := len(other.Unkept(false, start.Add(time.Minute))); n != 0 {
		t.Errorf("%d verdicts are written by one who neither saw the end nor stands in", n)
	}
	if n := len(other.Unkept(true, start.Add(othersAfter))); n != 1 {
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
	table.Written(table.Unkept(false, now)[0], 7)
	table.Missing(c.Content)
	want(t, table, c, now, Refused)
	if anew := table.Unkept(true, now); len(anew) != 1 || anew[0].Revision != 0 {
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
	table.Written(table.Unkept(false, now)[0], 7)
	table.Served(c.Content, now)
	lifts := table.Unkept(false, now.Add(time.Second))
	if len(lifts) != 1 || !lifts[0].Lifted || lifts[0].Revision != 7 {
		t.Errorf("to be written: %+v", lifts)
	}
}

func TestDecodeLeavesOutWhatIsNoVerdict(t *testing.T) {
	content := named("x").Content
	for _, bad := range []string{"", "x", "[]", `{"until_unix_ms":1}`, `{"ended":[{"target":"a"},{"target":"b"}]}`, `{"ended":7}`} {
		if _, err := Decode(content, []byte(bad), 1, start); err == nil {
			t.Errorf("%q was taken for a verdict", bad)
		}
	}
	far := `{"ended":[{"target":"a"},{"target":"b"},{"target":"c"}],"until_unix_ms":99999999999999}`
	if v, err := Decode(content, []byte(far), 1, start); err != nil || v.Until.After(start.Add(mostTerm)) {
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
				tables[i].Served(c.Content, now)
			} else {
				ends(tables[i], life(rapid.IntRange(0, 5).Draw(r, "life")), now, c)
			}
			words = append(words, tables[i].News(now))
		}
		for _, table := range tables {
			for _, i := range rapid.Permutation(indices(len(words))).Draw(r, "order") {
				table.Heard(words[i], now)
				table.Heard(words[i], now)
			}
		}
		for _, c := range contents {
			n := tables[0].Judge(c.Content, now)
			for _, table := range tables[1:] {
				if got := table.Judge(c.Content, now); got.Ends != n.Ends || got.Standing != n.Standing {
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
			table.Broke(named(fmt.Sprint(i, "-", j)), life(i), start, start)
		}
		table.Ended(life(i), start)
	}
	ends(table, life(20), start, guilty)
	ends(table, life(21), start, guilty)
	told, first := 0, table.News(start)
	if len(first) == 0 || first[0].Content != guilty.Content {
		t.Error("the one that ended two targets is not told first")
	}
	for _, r := range first {
		told += r.bytes()
	}
	const seconds, pulses = 4, 20
	for i := range seconds * pulses {
		now := start.Add(time.Duration(i+1) * time.Second / pulses)
		for _, r := range table.News(now) {
			told += r.bytes()
		}
		stay := table.Begin(named("0-0").Content)
		stay.At(life(30))
		stay.End()
	}
	if most := newsBurst + seconds*newsRate + reportBytes + 2*endBytes; told > most {
		t.Errorf("%d bytes are told in %d seconds, over %d", told, seconds, most)
	}
}
