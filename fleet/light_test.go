package fleet

import (
	"testing"
	"time"

	"acaciakeel/prefix"
)

// light is a request that shares nothing: 300 tokens, due in half a second.
func light(i int) Query {
	q := query()
	q.InputTokens, q.MaxOutputTokens, q.Objective = 300, 100, 500*time.Millisecond
	q.Chain = func(int64) prefix.Chain {
		own := prefix.Boundary{Hash: uint64(i+1) << 40, Tokens: 300}
		return prefix.Chain{Tokens: 300, Levels: []prefix.Boundary{own}, Boundaries: []prefix.Boundary{own}}
	}
	return q
}

// heavy is one of 9,000 tokens, due in a second.
func heavy(i int) Query {
	q := query()
	q.InputTokens, q.MaxOutputTokens, q.Objective = 9000, 100, time.Second
	q.Chain = distinctChain(i)
	return q
}

func nineRunners() *Fleet {
	f := New("z")
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		f.Put(runner(id, 1))
	}
	return f
}

// Of nine runners two read quick tags and the others captions. Each process
// learnt of the captions of the others a tenth of a second late, and one tag in
// three waited behind one of half a second for its own eight milliseconds.
func TestLightRequestsKeepRunnersOfTheirOwn(t *testing.T) {
	f := nineRunners()
	used := map[bool]map[string]bool{true: {}, false: {}}
	now := start
	for i := range 400 {
		q := light(i)
		if i%6 == 0 {
			q = heavy(i)
		}
		c, _ := f.Choose(q, now)
		if i > 200 {
			used[i%6 == 0][c.Target.ID] = true
		}
		now = now.Add(10 * time.Millisecond)
	}
	for id := range used[true] {
		if used[false][id] {
			t.Errorf("%s reads both long prompts and light ones", id)
		}
	}
	if n := len(used[false]); n < 1 || n > 4 {
		t.Errorf("%d of nine runners are kept for light requests", n)
	}
}

// The runners for long prompts are all behind by seconds, those for light ones
// have nothing to do. Kept apart at any price they would stand idle.
func TestHeavyRequestsCrossWhereItPays(t *testing.T) {
	f := nineRunners()
	now := start
	for i := range 200 {
		f.Choose(light(i), now)
		f.Choose(heavy(i), now)
		now = now.Add(20 * time.Millisecond)
	}
	q := heavy(1000)
	q.light = false
	g := f.services["lm"]
	kept := f.keptLight(q, g, []int32{0, 1, 2, 3, 4, 5, 6, 7, 8}, now)
	if len(kept) == 0 {
		t.Fatal("no runners are kept")
	}
	var all []Occupancy
	for i, s := range g.states {
		if !kept[int32(i)] {
			all = append(all, Occupancy{Target: s.runner.Instance(), Inflight: 1, PrefillTokens: 300000})
		}
	}
	f.MergeOccupancy("other", all, now)
	c, _ := f.Choose(q, now)
	for i, s := range g.states {
		if s.runner.ID == c.Target.ID && !kept[int32(i)] {
			t.Errorf("a long prompt waits for seconds at %s beside idle runners", c.Target.ID)
		}
	}
}

// Without anything heavy, or where light requests need half of the runners, there
// is nothing to keep apart.
func TestNothingIsKeptApartInVain(t *testing.T) {
	f := nineRunners()
	now := start
	for i := range 300 {
		f.Choose(light(i), now)
		now = now.Add(10 * time.Millisecond)
	}
	if kept := f.keptLight(light(0), f.services["lm"], []int32{0, 1, 2, 3, 4, 5, 6, 7, 8}, now); len(kept) != 0 {
		t.Errorf("%d runners are kept for light requests though nothing else comes", len(kept))
	}
}
