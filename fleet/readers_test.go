package fleet

import (
	"fmt"
	"testing"
	"time"
)

func memberNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("m-%d", i)
	}
	return out
}

// A fleet of 21 entries, some on links of 10 Mbit/s, before 43 caches. Were each
// to read all of them, the answers would come in bursts of a quarter of a
// second, behind which streams stand still and count as late. Each cache is read
// by two of them, a few by each.
func TestReadingsAreSharedOut(t *testing.T) {
	names := memberNames(21)
	readers := map[string]int{}
	for _, self := range names {
		f := New("z")
		f.SetMembers(self, names)
		for i := range 43 {
			f.Put(runner(fmt.Sprintf("r-%d", i), 1))
		}
		due := f.dueForEvents()
		if len(due) > 13 {
			t.Errorf("%s reads %d caches", self, len(due))
		}
		for _, d := range due {
			readers[d.reading.Address]++
		}
	}
	for address, n := range readers {
		if n != readersEach {
			t.Errorf("%s is read by %d", address, n)
		}
	}
	if len(readers) != 43 {
		t.Errorf("%d caches are read", len(readers))
	}
}

// Few entries read everything themselves: then no news is second-hand, and any
// of them may be lost without a gap.
func TestFewReadEverything(t *testing.T) {
	f := named(New("z"), runner("a", 1), runner("b", 1))
	f.SetMembers("m-0", memberNames(3))
	if n := len(f.dueForEvents()); n != 2 {
		t.Errorf("%d readings, want both", n)
	}
	f.took(&f.states["a"].cache, CacheEvents{Boot: 1, Next: 2}, true, start)
	if news := f.CacheUpdates(start); len(news) != 0 {
		t.Errorf("news %+v though all read", news)
	}
}

// pair returns two processes of a larger fleet, the first of which reads the
// cache of runner a and the second does not.
func pair(t *testing.T) (reader, other *Fleet) {
	t.Helper()
	names := memberNames(9)
	for _, name := range names {
		f := named(New("z"), runner("a", 1), runner("b", 1))
		f.SetMembers(name, names)
		switch {
		case f.members.reads("a:1") && reader == nil:
			reader = f
		case !f.members.reads("a:1") && other == nil:
			other = f
		}
	}
	if reader == nil || other == nil {
		t.Fatal("no reader, or all read")
	}
	return reader, other
}

// What one entry read of a cache steers the others too, once: a part that was
// stored and dropped again between two tellings is not held.
func TestNewsOfCachesIsTold(t *testing.T) {
	reader, other := pair(t)
	stored := func(part string, on bool) CacheEvent {
		return CacheEvent{Stored: on, Salt: "s", Part: part, Tokens: 100}
	}
	events := CacheEvents{Boot: 7, Next: 4, Events: []CacheEvent{stored("x", true), stored("y", true), stored("x", false)}}
	reader.took(&reader.states["a"].cache, events, true, start)
	news := reader.CacheUpdates(start)
	other.MergeCacheUpdates("reader", news, start)
	hash := func(part string) uint64 { return changes([]CacheEvent{stored(part, true)})[0].part.Hash }
	c := &other.states["a"].cache
	if c.cached.Has(hash("x")) || !c.cached.Has(hash("y")) {
		t.Errorf("x held %v, y held %v", c.cached.Has(hash("x")), c.cached.Has(hash("y")))
	}
	if c.boot != 7 || c.next != 4 {
		t.Errorf("stands at %d of start %d", c.next, c.boot)
	}
	// The same again, late, after y has gone, changes nothing.
	other.MergeCacheUpdates("second", []CacheUpdate{{Address: "a:1", Boot: 7, Next: 6, Evicted: []uint64{hash("y")}}}, start)
	other.MergeCacheUpdates("reader", news, start)
	if c.cached.Has(hash("y")) {
		t.Error("late news undid newer news")
	}
}

// A runner goes dark. Only two of many entries ask it anything; the others must
// hear of it, or each of them sends to it until its own connections hang. One
// reader that is itself cut off does not take a runner away that another reaches.
func TestSilenceIsTold(t *testing.T) {
	reader, other := pair(t)
	reader.took(&reader.states["a"].cache, CacheEvents{}, false, start)
	other.MergeCacheUpdates("one", reader.CacheUpdates(start), start)
	if !other.Unresponsive("a") {
		t.Fatal("the others did not hear that a is silent")
	}
	other.MergeCacheUpdates("two", []CacheUpdate{{Address: "a:1", Boot: 1, Next: 1}}, start)
	if other.Unresponsive("a") {
		t.Error("a is left out though a second entry reaches it")
	}
}

// Two entries read a runner's cache; one of them is cut off from the runner and says
// that it is silent, the other gets answers. In the other groups one entry's word
// followed the other's, and each second the runner was left out for half of it. The
// group's word is that it answers, as long as one of its readers says so.
func TestAGroupsWordOnSilenceIsThatOfAll(t *testing.T) {
	teller, far := named(New("z"), runner("a", 1)), named(New("z"), runner("a", 1))
	teller.SetMembers("stranger", memberNames(60))
	far.SetMembers("stranger", memberNames(60))
	now := start
	for i := range 20 {
		from, silent := "cut off", true
		if i%2 == 1 {
			from, silent = "reader", false
		}
		word := []CacheUpdate{{Address: "a:1", Target: Instance{ID: "a"}, Boot: 1, Next: int64(i + 1), Unresponsive: silent}}
		fresh := teller.MergeCacheUpdates(from, word, now)
		far.MergeGroupCacheUpdates(0, fresh, now)
		if i > 1 && far.Unresponsive("a") {
			t.Fatalf("after word %d, of one who is cut off, the runner counts as silent in another group", i)
		}
		now = now.Add(100 * time.Millisecond)
	}
}
