package fleet

import (
	"context"
	"testing"
	"time"
)

func bornAt(r Target, born int64) Target {
	r.Born = born
	return r
}

// held returns how many tokens of the query's prompt are believed cached at a.
func heldAt(f *Fleet, id string) int {
	return f.states[id].cache.tokens(query().Chain(f.states[id].version("m")))
}

// A runner is cut off, falls silent, dies behind the cut with requests and parts of
// prompts, and starts again under its id. The requests end one by one at the entry, long after the new life's own have
// begun; counted out of that one they made it look idle while it was full.
func TestNothingOfAFormerLifeStays(t *testing.T) {
	f := named(New("z"), bornAt(runner("a", 1), 10))
	former := Instance{ID: "a", Born: 10}
	old := f.Begin(former, RequestLoad{UncachedTokens: 9000, PromptTokens: 9000, Chain: query().Chain(1), Capacity: 1e6, Long: true}, start)
	f.RecordLoad(former, Load{Running: 8, Waiting: 4, Slots: 8}, start)
	f.RecordUnreachable(former, start)
	f.took(&f.states["a"].cache, CacheEvents{}, false, start)
	f.MergeOccupancy("other", []Occupancy{{Target: former, Inflight: 5}}, start)
	if !f.Put(bornAt(runner("a", 1), 20)) {
		t.Fatal("the later life was left out")
	}
	if n, held := f.Occupancy(Instance{ID: "a", Born: 20}), heldAt(f, "a"); n.Inflight+n.PrefillTokens+n.Long != 0 || held != 0 {
		t.Errorf("the new life began with load %+v and %d tokens", n, held)
	}
	if s := f.states["a"]; s.health.Penalty(start) != 0 || s.load != (Load{}) || s.silent {
		t.Errorf("the new life pays for the former: penalty %v, load %+v, silent %v", s.health.Penalty(start), s.load, s.silent)
	}
	f.Begin(Instance{ID: "a", Born: 20}, RequestLoad{UncachedTokens: 100}, start)
	old.End()
	if n := f.Occupancy(Instance{ID: "a", Born: 20}); n.Inflight != 1 || n.PrefillTokens != 100 {
		t.Errorf("the end of a former life's request left %+v of the new one's", n)
	}
}

// A runner is cut off, dies behind the cut and starts again. As the cut heals,
// everything that was on its way from the former life arrives after all, by all
// ways at once, and must not undo what is known of the new one.
func TestLateNewsOfAFormerLifeChangesNothing(t *testing.T) {
	f := named(New("z"), bornAt(runner("a", 1), 20))
	former, chain := Instance{ID: "a", Born: 10}, query().Chain(1)
	shared := Part{Hash: chain.Boundaries[0].Hash, Tokens: 6000}
	f.states["a"].capacity = 1e6
	entry := bornAt(runner("a", 7), 10)
	entry.Draining, entry.Address = true, "a:9"
	if f.Put(entry) {
		t.Error("the former life's entry was taken")
	}
	f.MergeOccupancy("other", []Occupancy{{Target: former, Inflight: 5}}, start)
	f.MergeTargetUpdates([]TargetUpdate{{Target: former, Weights: map[string]int64{"m": 7}, BusyFor: time.Second, Parts: []Part{shared}}}, start)
	f.MergeCacheUpdates("other", []CacheUpdate{{Address: "a:1", Target: former, Boot: 1, Next: 9, Stored: []Part{shared}}}, start)
	f.RecordWeights(former, "m", 7, start)
	f.GuessWeights(former, "m")
	f.RecordBusy(former, start.Add(time.Second))
	f.RecordUnreachable(former, start)
	f.RecordEnd(former)
	f.Begin(former, RequestLoad{UncachedTokens: 9000, Chain: chain}, start)
	s := f.states["a"]
	if s == nil || s.runner.Born != 20 || s.runner.Draining || s.runner.Address != "a:1" {
		t.Fatalf("the new life became %+v", s)
	}
	if n := s.sum(start); n.Inflight != 0 || heldAt(f, "a") != 0 || s.version("m") != 1 || s.busyUntil.After(start) || s.health.Penalty(start) != 0 {
		t.Errorf("load %+v, %d tokens, weights %d, busy until %v", n, heldAt(f, "a"), s.version("m"), s.busyUntil)
	}
}

// One entry hears of the new life first, by a report or its list. The others,
// whose list is late, hear it from that entry within one round, and those that
// still tell of the former life undo nothing.
func TestOthersHearOfANewLife(t *testing.T) {
	first, second := named(New("z"), bornAt(runner("a", 1), 10)), named(New("z"), bornAt(runner("a", 1), 10))
	second.Begin(Instance{ID: "a", Born: 10}, RequestLoad{UncachedTokens: 9000, Chain: query().Chain(1), Capacity: 1e6}, start)
	var told []Instance
	second.OnRestart(func(now, former Instance) { told = append(told, now, former) })
	first.Observe(Instance{ID: "a", Born: 20})
	second.MergeTargetUpdates(first.TargetUpdates(start), start)
	second.MergeTargetUpdates(first.TargetUpdates(start.Add(time.Millisecond)), start)
	if !second.IsCurrent(Instance{ID: "a", Born: 20}) || heldAt(second, "a") != 0 {
		t.Errorf("the other holds %+v with %d tokens", second.states["a"].runner, heldAt(second, "a"))
	}
	if len(told) != 2 || told[0].Born != 20 || told[1].Born != 10 {
		t.Errorf("told of %v, want the new life and the former once", told)
	}
	first.MergeTargetUpdates([]TargetUpdate{{Target: Instance{ID: "a", Born: 10}, BusyFor: time.Second}}, start)
	if !first.states["a"].busyUntil.IsZero() {
		t.Error("a word of the former life was taken")
	}
	if n := len(first.TargetUpdates(start.Add(2 * newsFor))); n != 0 {
		t.Errorf("%d findings long after; the word must not go round for good", n)
	}
}

// A runner has ended and another has its address, and the list still names both.
// What a reader tells of the second's cache is about the second in every entry,
// whichever of the two it would find at that address.
func TestNewsOfACacheNamesItsTarget(t *testing.T) {
	// Which of the two an address leads to is up to the order of a map.
	for range 100 {
		ended, next := runner("a", 1), bornAt(runner("b", 1), 20)
		next.Address = ended.Address
		f := named(New("z"), ended, next)
		part := Part{Hash: query().Chain(1).Boundaries[0].Hash, Tokens: 6000}
		f.MergeCacheUpdates("other", []CacheUpdate{{Address: next.Address, Target: next.Instance(), Boot: 1, Next: 2, Stored: []Part{part}}}, start)
		if heldAt(f, "b") != 6000 || heldAt(f, "a") != 0 {
			t.Fatalf("the ended runner is taken to hold %d tokens, the other %d", heldAt(f, "a"), heldAt(f, "b"))
		}
	}
}

// A runner starts twice within a second. The word of the middle life comes last,
// and only the last life holds.
func TestTwoLivesWithinASecond(t *testing.T) {
	f := named(New("z"), bornAt(runner("a", 1), 1000))
	f.Observe(Instance{ID: "a", Born: 1900})
	f.Put(bornAt(runner("a", 1), 1400))
	if !f.IsCurrent(Instance{ID: "a", Born: 1900}) {
		t.Errorf("life %d holds, want 1900", f.states["a"].runner.Born)
	}
}

// A runner comes back with a clock that is behind, so that its start looks older
// than its former life. Nothing tells it from a late word of a life before, so it
// changes nothing, until the list has lost the target or the clock was set.
func TestALifeBornBeforeTheFormerWaitsForTheListsEnd(t *testing.T) {
	f := named(New("z"), bornAt(runner("a", 2), 20))
	if f.Put(bornAt(runner("a", 1), 15)) {
		t.Error("a life that began before the former holds")
	}
	f.Remove("a")
	if !f.Put(bornAt(runner("a", 1), 15)) || f.states["a"].version("m") != 1 {
		t.Error("after the list's end the target is not taken as it says")
	}
}

// A new life has weights older than the former had. A belief that only grows
// would send it requests that it refuses, and keep the order away that mends it.
func TestANewLifesWeightsMayBeLower(t *testing.T) {
	f := named(New("z"), bornAt(runner("a", 3), 10))
	f.RecordDesired("m", 4, start, false)
	f.GuessWeights(Instance{ID: "a", Born: 10}, "m")
	f.Observe(Instance{ID: "a", Born: 20})
	if v := f.states["a"].version("m"); v != 3 {
		t.Errorf("a new life that said nothing yet is taken to have weights %d, want 3 as it last said", v)
	}
	f.Put(bornAt(runner("a", 1), 20))
	if v := f.Targets("lm")[0].Weights["m"]; v != 1 {
		t.Errorf("weights %d, want 1", v)
	}
}

// Entries without a start are as before: all of them are one life, and a start
// that is said later ends nothing.
func TestWithoutAStartALifeGoesOn(t *testing.T) {
	f := named(New("z"), runner("a", 1))
	f.Begin(Instance{ID: "a"}, RequestLoad{UncachedTokens: 100}, start)
	f.Put(bornAt(runner("a", 1), 10))
	f.Put(runner("a", 1))
	if n := f.Occupancy(Instance{ID: "a", Born: 10}).Inflight; n != 1 {
		t.Errorf("%d requests, want 1", n)
	}
}

// A request's target starts again before the retry. The new life never had the
// request, and may be the only target there is.
func TestANewLifeIsNotTriedYet(t *testing.T) {
	f := named(New("z"), bornAt(runner("a", 1), 10))
	q := query()
	q.Tried = []Instance{{ID: "a", Born: 10}}
	if _, ok := f.Choose(q, start); ok {
		t.Error("a target was chosen that was tried")
	}
	f.Put(bornAt(runner("a", 1), 20))
	if _, ok := f.Choose(q, start); !ok {
		t.Error("a new life was left out for what the former did")
	}
}

// A runner was to send a prompt's parts to a store and died. The next one that
// reads them must send them, and none may fetch from the dead one's new life.
func TestWhatAFormerLifeWasToSendIsSentAgain(t *testing.T) {
	f := named(New("z"), bornAt(runner("a", 1), 10), runner("b", 1))
	f.SetStores([]KVCacheStore{{Address: "s:1", Capacity: 1e6, Zone: "z"}})
	q := query()
	q.Tried = []Instance{{ID: "b"}}
	c, _ := f.Choose(q, start)
	f.Begin(c.Target.Instance(), RequestLoad{Chain: c.Chain, Capacity: 1e6}, start)
	f.Put(bornAt(runner("a", 1), 20))
	q.Tried = []Instance{{ID: "a"}}
	if c, _ := f.Choose(q, start); c.SaveTo != "s:1" || c.Source == "a:1" {
		t.Errorf("saved to %q and fetched from %q", c.SaveTo, c.Source)
	}
}

// answers is a runner whose life and events are as told.
type answers struct{ events CacheEvents }

func (a *answers) CacheEvents(context.Context, CacheEventRequest) (CacheEvents, error) {
	return a.events, nil
}

// A reading of events is under way while its runner starts again. Events of the
// former life, or those of the new one after the former's number, must not stand
// in the new life's cache: prompts were sent there for parts that it never had.
func TestAReadingIsOfOneLife(t *testing.T) {
	for _, test := range []struct {
		name       string
		born, next int64
	}{{"a former life answers", 5, 0}, {"a later life answers", 20, 0}, {"the same life answers", 10, 30}} {
		t.Run(test.name, func(t *testing.T) {
			f := named(New("z"), bornAt(runner("a", 1), 10))
			reader := &answers{CacheEvents{Born: test.born, Boot: 7, Next: 30, Events: []CacheEvent{{Stored: true, Part: "p", Tokens: 900}}}}
			NewCacheWatcher(f, reader).read(t.Context(), f.dueForEvents()[0])
			if c := &f.states["a"].cache; c.next != test.next || c.cached.Len() > 0 != (test.next > 0) || c.reading {
				t.Errorf("the cache is read up to %d and holds %d parts, reading %v", c.next, c.cached.Len(), c.reading)
			}
		})
	}
}
