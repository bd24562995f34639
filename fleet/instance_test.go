package fleet

import (
	"context"
	"testing"
	"time"
)

func startedAt(r Target, born int64) Target {
	r.Born = born
	return r
}

// cachedTokensAt returns how many tokens of the query's prompt are assumed to be cached
// at a target.
func cachedTokensAt(f *Fleet, id string) int {
	return f.states[id].cache.cachedTokens(query().Chain(f.states[id].version("m")))
}

// Guards against state of a former instance in the new one: requests that ended late were
// counted out of it, and it looked idle while it was full.
func TestRestartClearsState(t *testing.T) {
	f := withTargets(New("z"), startedAt(target("a", 1), 10))
	former := Instance{ID: "a", Born: 10}
	old := f.Begin(former, RequestLoad{UncachedTokens: 9000, PromptTokens: 9000, Chain: query().Chain(1), Capacity: 1e6, Long: true}, start)
	f.RecordLoad(former, Load{Running: 8, Waiting: 4, Slots: 8}, start)
	f.RecordUnreachable(former, start)
	f.finishRead(&f.states["a"].cache, CacheEvents{}, false, start)
	f.MergeOccupancy("other", []Occupancy{{Target: former, Inflight: 5}}, start)
	if !f.Put(startedAt(target("a", 1), 20)) {
		t.Fatal("the later instance's entry was ignored")
	}
	if n, held := f.Occupancy(Instance{ID: "a", Born: 20}), cachedTokensAt(f, "a"); n.Inflight+n.PrefillTokens+n.Long != 0 || held != 0 {
		t.Errorf("the new instance began with load %+v and %d cached tokens", n, held)
	}
	if s := f.states["a"]; s.health.Penalty(start) != 0 || s.load != (Load{}) || s.unresponsive {
		t.Errorf("the new instance has state of the former one: penalty %v, load %+v, unresponsive %v", s.health.Penalty(start), s.load, s.unresponsive)
	}
	f.Begin(Instance{ID: "a", Born: 20}, RequestLoad{UncachedTokens: 100}, start)
	old.End()
	if n := f.Occupancy(Instance{ID: "a", Born: 20}); n.Inflight != 1 || n.PrefillTokens != 100 {
		t.Errorf("after the end of a former instance's request the load is %+v", n)
	}
}

// Guards against late messages of a former instance that change the new one: they all
// arrive at once when a cut heals.
func TestLateMessagesOfFormerInstanceAreIgnored(t *testing.T) {
	f := withTargets(New("z"), startedAt(target("a", 1), 20))
	former, chain := Instance{ID: "a", Born: 10}, query().Chain(1)
	shared := Part{Hash: chain.Boundaries[0].Hash, Tokens: 6000}
	f.states["a"].capacity = 1e6
	entry := startedAt(target("a", 7), 10)
	entry.Draining, entry.Address = true, "a:9"
	if f.Put(entry) {
		t.Error("the former instance's entry was applied")
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
	if s == nil || s.target.Born != 20 || s.target.Draining || s.target.Address != "a:1" {
		t.Fatalf("the new instance's state became %+v", s)
	}
	if n := s.totalOccupancy(start); n.Inflight != 0 || cachedTokensAt(f, "a") != 0 || s.version("m") != 1 || s.busyUntil.After(start) || s.health.Penalty(start) != 0 {
		t.Errorf("load %+v, %d cached tokens, weights %d, busy until %v", n, cachedTokensAt(f, "a"), s.version("m"), s.busyUntil)
	}
}

// Guards against processes with a late list that don't learn of a restart from another
// process, and against messages of the former instance that undo it.
func TestRestartIsShared(t *testing.T) {
	first, second := withTargets(New("z"), startedAt(target("a", 1), 10)), withTargets(New("z"), startedAt(target("a", 1), 10))
	second.Begin(Instance{ID: "a", Born: 10}, RequestLoad{UncachedTokens: 9000, Chain: query().Chain(1), Capacity: 1e6}, start)
	var called []Instance
	second.OnRestart(func(now, former Instance) { called = append(called, now, former) })
	first.Observe(Instance{ID: "a", Born: 20}, time.Time{})
	second.MergeTargetUpdates(first.TargetUpdates(start), start)
	second.MergeTargetUpdates(first.TargetUpdates(start.Add(time.Millisecond)), start)
	if !second.IsCurrent(Instance{ID: "a", Born: 20}) || cachedTokensAt(second, "a") != 0 {
		t.Errorf("the other process has %+v with %d cached tokens", second.states["a"].target, cachedTokensAt(second, "a"))
	}
	if len(called) != 2 || called[0].Born != 20 || called[1].Born != 10 {
		t.Errorf("called with %v, want the new and the former instance once", called)
	}
	first.MergeTargetUpdates([]TargetUpdate{{Target: Instance{ID: "a", Born: 10}, BusyFor: time.Second}}, start)
	if !first.states["a"].busyUntil.IsZero() {
		t.Error("an update about the former instance was applied")
	}
	if n := len(first.TargetUpdates(start.Add(2 * updateRepeatFor))); n != 0 {
		t.Errorf("%d updates long after the restart, want none", n)
	}
}

// Guards against a cache update applied to the wrong one of two targets, an ended and a
// new one, that are listed with the same address.
func TestCacheUpdateNamesItsTarget(t *testing.T) {
	// The order of a map decides to which of the two an address leads.
	for range 100 {
		ended, next := target("a", 1), startedAt(target("b", 1), 20)
		next.Address = ended.Address
		f := withTargets(New("z"), ended, next)
		part := Part{Hash: query().Chain(1).Boundaries[0].Hash, Tokens: 6000}
		f.MergeCacheUpdates("other", []CacheUpdate{{Address: next.Address, Target: next.Instance(), Boot: 1, Next: 2, Stored: []Part{part}}}, start)
		if cachedTokensAt(f, "b") != 6000 || cachedTokensAt(f, "a") != 0 {
			t.Fatalf("the ended target is assumed to cache %d tokens, the other %d", cachedTokensAt(f, "a"), cachedTokensAt(f, "b"))
		}
	}
}

// Guards against the middle one of three instances, reported last, as the current one.
func TestTwoRestartsWithinASecond(t *testing.T) {
	f := withTargets(New("z"), startedAt(target("a", 1), 1000))
	f.Observe(Instance{ID: "a", Born: 1900}, time.Time{})
	f.Put(startedAt(target("a", 1), 1400))
	if !f.IsCurrent(Instance{ID: "a", Born: 1900}) {
		t.Errorf("the current instance is %d, want 1900", f.states["a"].target.Born)
	}
}

// Guards against a restart with an earlier start, as the clock is behind, taken for the
// current one: only the end of the list entry tells it from a late message.
func TestEarlierStartIsIgnoredWhileListed(t *testing.T) {
	f := withTargets(New("z"), startedAt(target("a", 2), 20))
	if f.Put(startedAt(target("a", 1), 15)) {
		t.Error("an instance with an earlier start is current")
	}
	f.Remove("a")
	if !f.Put(startedAt(target("a", 1), 15)) || f.states["a"].version("m") != 1 {
		t.Error("after the end of its entry the target is not accepted with the earlier start")
	}
}

// Guards against versions that stay at those of the former instance: the target would
// refuse its requests, and no order would load newer weights.
func TestRestartMayLowerWeights(t *testing.T) {
	f := withTargets(New("z"), startedAt(target("a", 3), 10))
	f.RecordDesired("m", 4, start, false)
	f.GuessWeights(Instance{ID: "a", Born: 10}, "m")
	f.Observe(Instance{ID: "a", Born: 20}, time.Time{})
	if v := f.states["a"].version("m"); v != 3 {
		t.Errorf("a new instance that reported nothing is assumed to have weights %d, want 3 as last reported", v)
	}
	f.Put(startedAt(target("a", 1), 20))
	if v := f.Targets("lm")[0].Weights["m"]; v != 1 {
		t.Errorf("weights %d, want 1", v)
	}
}

// Guards against state lost when entries without a start, which may be of any instance,
// alternate with others.
func TestEntryWithoutStartKeepsState(t *testing.T) {
	f := withTargets(New("z"), target("a", 1))
	f.Begin(Instance{ID: "a"}, RequestLoad{UncachedTokens: 100}, start)
	f.Put(startedAt(target("a", 1), 10))
	f.Put(target("a", 1))
	if n := f.Occupancy(Instance{ID: "a", Born: 10}).Inflight; n != 1 {
		t.Errorf("%d requests, want 1", n)
	}
}

// Guards against a restarted target that is left out of a retry, perhaps as the only one,
// for its former instance's attempt.
func TestRestartedTargetIsNotTried(t *testing.T) {
	f := withTargets(New("z"), startedAt(target("a", 1), 10))
	q := query()
	q.Tried = []Instance{{ID: "a", Born: 10}}
	if _, ok := f.Choose(q, start); ok {
		t.Error("a target was chosen that was tried")
	}
	f.Put(startedAt(target("a", 1), 20))
	if _, ok := f.Choose(q, start); !ok {
		t.Error("a new instance was left out because the former one was tried")
	}
}

// Guards against parts that nobody saves as the target that was to send them restarted,
// and against fetches of them from there.
func TestSavesOfFormerInstanceAreRepeated(t *testing.T) {
	f := withTargets(New("z"), startedAt(target("a", 1), 10), target("b", 1))
	f.SetStores([]KVCacheStore{{Address: "s:1", Capacity: 1e6, Zone: "z"}})
	q := query()
	q.Tried = []Instance{{ID: "b"}}
	c, _ := f.Choose(q, start)
	f.Begin(c.Target.Instance(), RequestLoad{Chain: c.Chain, Capacity: 1e6}, start)
	f.Put(startedAt(target("a", 1), 20))
	q.Tried = []Instance{{ID: "a"}}
	if c, _ := f.Choose(q, start); c.SaveTo != "s:1" || c.Source == "a:1" {
		t.Errorf("saved to %q and fetched from %q", c.SaveTo, c.Source)
	}
}

// answers is a target that returns fixed events.
type answers struct {
	events CacheEvents
	// during is called while the answer is on its way; nil for nothing.
	during func()
}

func (a *answers) CacheEvents(context.Context, CacheEventRequest) (CacheEvents, error) {
	if a.during != nil {
		a.during()
	}
	return a.events, nil
}

// Guards against events of one instance in the cache of another when the target restarts
// during a read: prompts were sent there for parts that it never had.
func TestCacheReadIsOfOneInstance(t *testing.T) {
	for _, test := range []struct {
		name         string
		listed, born int64
		next         int64
	}{{"a former instance answers", 5, 5, 0}, {"a later instance answers", 10, 20, 0}, {"the same instance answers", 10, 10, 30}, {"the list was ahead", 15, 10, 30}} {
		t.Run(test.name, func(t *testing.T) {
			f := withTargets(New("z"), startedAt(target("a", 1), test.listed))
			reader := &answers{events: CacheEvents{Born: test.born, Boot: 7, Next: 30, Events: []CacheEvent{{Stored: true, Part: "p", Tokens: 900}}}}
			if test.listed < 10 {
				reader.during = func() { f.Put(startedAt(target("a", 1), 10)) }
			}
			NewCacheWatcher(f, reader).read(t.Context(), f.dueReads()[0])
			if c := &f.states["a"].cache; c.nextEvent != test.next || c.cached.Len() > 0 != (test.next > 0) || c.readInFlight {
				t.Errorf("the cache is read up to %d and holds %d parts, read in flight %v", c.nextEvent, c.cached.Len(), c.readInFlight)
			}
		})
	}
}
