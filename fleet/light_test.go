package fleet

import (
	"testing"
	"time"

	"acaciakeel/prefix"
)

// lightQuery returns a request of 300 tokens without shared parts, due in half a second.
func lightQuery(i int) Query {
	q := query()
	q.InputTokens, q.MaxOutputTokens, q.Objective = 300, 100, 500*time.Millisecond
	q.Chain = func(int64) prefix.Chain {
		own := prefix.Boundary{Hash: uint64(i+1) << 40, Tokens: 300}
		return prefix.Chain{Tokens: 300, Levels: []prefix.Boundary{own}, Boundaries: []prefix.Boundary{own}}
	}
	return q
}

// heavyQuery returns a request of 9,000 tokens, due in a second.
func heavyQuery(i int) Query {
	q := query()
	q.InputTokens, q.MaxOutputTokens, q.Objective = 9000, 100, time.Second
	q.Chain = distinctChain(i)
	return q
}

func nineTargets() *Fleet {
	f := New("z")
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		f.Put(target(id, 1))
	}
	return f
}

// Guards against light requests behind heavy ones: other processes' choices are known 100
// ms late, and one light request in three waited half a second for its own 8 ms.
func TestTargetsAreReservedForLightRequests(t *testing.T) {
	f := nineTargets()
	used := map[bool]map[string]bool{true: {}, false: {}}
	now := start
	for i := range 400 {
		q := lightQuery(i)
		if i%6 == 0 {
			q = heavyQuery(i)
		}
		c, _ := f.Choose(q, now)
		if i > 200 {
			used[i%6 == 0][c.Target.ID] = true
		}
		now = now.Add(10 * time.Millisecond)
	}
	for id := range used[true] {
		if used[false][id] {
			t.Errorf("%s gets both heavy and light requests", id)
		}
	}
	if n := len(used[false]); n < 1 || n > 4 {
		t.Errorf("%d of nine targets are reserved for light requests", n)
	}
}

// Guards against targets for heavy requests that are behind by seconds beside idle
// reserved ones.
func TestHeavyRequestsUseIdleReservedTargets(t *testing.T) {
	f := nineTargets()
	now := start
	for i := range 200 {
		f.Choose(lightQuery(i), now)
		f.Choose(heavyQuery(i), now)
		now = now.Add(20 * time.Millisecond)
	}
	q := heavyQuery(1000)
	q.light = false
	g := f.services["lm"]
	kept := f.reservedForLight(q, g, []int32{0, 1, 2, 3, 4, 5, 6, 7, 8}, now)
	if len(kept) == 0 {
		t.Fatal("no targets are reserved")
	}
	var all []Occupancy
	for i, s := range g.states {
		if !kept[int32(i)] {
			all = append(all, Occupancy{Target: s.target.Instance(), Inflight: 1, PrefillTokens: 300000})
		}
	}
	f.MergeOccupancy("other", all, now)
	c, _ := f.Choose(q, now)
	for i, s := range g.states {
		if s.target.ID == c.Target.ID && !kept[int32(i)] {
			t.Errorf("a long prompt waits for seconds at %s beside idle targets", c.Target.ID)
		}
	}
}

// Guards against targets reserved for light requests where nothing else comes.
func TestNothingIsReservedWithoutHeavyRequests(t *testing.T) {
	f := nineTargets()
	now := start
	for i := range 300 {
		f.Choose(lightQuery(i), now)
		now = now.Add(10 * time.Millisecond)
	}
	if kept := f.reservedForLight(lightQuery(0), f.services["lm"], []int32{0, 1, 2, 3, 4, 5, 6, 7, 8}, now); len(kept) != 0 {
		t.Errorf("%d targets are reserved for light requests though nothing else comes", len(kept))
	}
}
