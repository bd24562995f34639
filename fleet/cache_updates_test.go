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

// Guards against 21 processes that all read 43 caches: on links of 10 Mbit/s the answers
// come in bursts of a quarter of a second, and streams behind them are late.
func TestCacheReadsAreSharded(t *testing.T) {
	names := memberNames(21)
	readers := map[string]int{}
	for _, self := range names {
		f := New("z")
		f.SetMembers(self, names)
		for i := range 43 {
			f.Put(target(fmt.Sprintf("r-%d", i), 1))
		}
		due := f.dueReads()
		if len(due) > 13 {
			t.Errorf("%s reads %d caches", self, len(due))
		}
		for _, d := range due {
			readers[d.request.Address]++
		}
	}
	for address, n := range readers {
		if n != readersPerCache {
			t.Errorf("%s is read by %d", address, n)
		}
	}
	if len(readers) != 43 {
		t.Errorf("%d caches are read", len(readers))
	}
}

// Guards against few processes that rely on each other's reads, so that the loss of one
// leaves a gap.
func TestFewProcessesReadAllCaches(t *testing.T) {
	f := withTargets(New("z"), target("a", 1), target("b", 1))
	f.SetMembers("m-0", memberNames(3))
	if n := len(f.dueReads()); n != 2 {
		t.Errorf("%d reads, want both", n)
	}
	f.finishRead(&f.states["a"].cache, CacheEvents{Boot: 1, Next: 2}, true, start)
	if news := f.CacheUpdates(start); len(news) != 0 {
		t.Errorf("updates %+v though all processes read the caches", news)
	}
}

// pair returns two processes of a larger fleet, the first of which reads the cache of
// target a and the second does not.
func pair(t *testing.T) (reader, other *Fleet) {
	t.Helper()
	names := memberNames(9)
	for _, name := range names {
		f := withTargets(New("z"), target("a", 1), target("b", 1))
		f.SetMembers(name, names)
		switch {
		case f.members.readsCache("a:1") && reader == nil:
			reader = f
		case !f.members.readsCache("a:1") && other == nil:
			other = f
		}
	}
	if reader == nil || other == nil {
		t.Fatal("no reader, or all read")
	}
	return reader, other
}

// Guards against cache contents that the other processes don't learn of, and against a
// part that was stored and evicted between two updates and counts as stored.
func TestCacheUpdatesAreShared(t *testing.T) {
	reader, other := pair(t)
	stored := func(part string, on bool) CacheEvent {
		return CacheEvent{Stored: on, Salt: "s", Part: part, Tokens: 100}
	}
	events := CacheEvents{Boot: 7, Next: 4, Events: []CacheEvent{stored("x", true), stored("y", true), stored("x", false)}}
	reader.finishRead(&reader.states["a"].cache, events, true, start)
	news := reader.CacheUpdates(start)
	other.MergeCacheUpdates("reader", news, start)
	hash := func(part string) uint64 { return changesOf([]CacheEvent{stored(part, true)})[0].part.Hash }
	c := &other.states["a"].cache
	if c.cached.Has(hash("x")) || !c.cached.Has(hash("y")) {
		t.Errorf("x cached %v, y cached %v", c.cached.Has(hash("x")), c.cached.Has(hash("y")))
	}
	if c.bootID != 7 || c.nextEvent != 4 {
		t.Errorf("at event %d of boot %d", c.nextEvent, c.bootID)
	}
	// A repeated update that arrives after y was evicted changes nothing.
	other.MergeCacheUpdates("second", []CacheUpdate{{Address: "a:1", Boot: 7, Next: 6, Evicted: []uint64{hash("y")}}}, start)
	other.MergeCacheUpdates("reader", news, start)
	if c.cached.Has(hash("y")) {
		t.Error("a late update undid a newer one")
	}
}

// Guards against processes that send to an unresponsive target as they don't read its
// cache, and against a reader that is cut off itself and takes a target from all.
func TestUnresponsiveIsShared(t *testing.T) {
	reader, other := pair(t)
	reader.finishRead(&reader.states["a"].cache, CacheEvents{}, false, start)
	other.MergeCacheUpdates("one", reader.CacheUpdates(start), start)
	if !other.Unresponsive("a") {
		t.Fatal("the other process did not learn that a is unresponsive")
	}
	other.MergeCacheUpdates("two", []CacheUpdate{{Address: "a:1", Boot: 1, Next: 1}}, start)
	if other.Unresponsive("a") {
		t.Error("a is left out though a second process reaches it")
	}
}

// Guards against a target that other groups leave out for half of the time, as one of its
// two readers is cut off and their reports alternate.
func TestGroupReportsCombinedLiveness(t *testing.T) {
	teller, far := withTargets(New("z"), target("a", 1)), withTargets(New("z"), target("a", 1))
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
			t.Fatalf("after report %d, of a process that is cut off, the target counts as unresponsive in another group", i)
		}
		now = now.Add(100 * time.Millisecond)
	}
}
