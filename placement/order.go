package placement

import (
	"slices"

	"acaciakeel/prefix"
)

// ranked is a runner's index with its score under one level's hash.
type ranked struct {
	score uint64
	index int32
}

// Ranker ranks runners. It keeps scratch space, so each goroutine has its own.
type Ranker struct {
	pool []ranked
}

// Rank returns the first m of the runners at indices, best first. The
// outermost level's hash ranks all runners and its width cuts a subset; the
// next level ranks inside that subset, and so on. So prompts that share a
// level share its runners, and a prompt spills first to runners that hold its
// outer levels: the rest of the innermost subset, then the rest of the one
// around it. Widths are in runners, outermost first; the innermost level
// needs none. The result is valid until the next call.
func (o *Ranker) Rank(runners []Runner, indices []int32, levels []prefix.Boundary, widths []int, m int) []int32 {
	o.pool = o.pool[:0]
	keep := m
	if len(levels) > 1 {
		keep = max(m, width(widths, 0))
	}
	hash := uint64(0)
	if len(levels) > 0 {
		hash = levels[0].Hash
	}
	worst := uint64(0)
	for _, i := range indices {
		score := prefix.RendezvousScore(runners[i].hash, hash)
		if len(o.pool) == keep && score <= worst {
			continue
		}
		o.insert(ranked{score, i}, keep)
		worst = o.pool[len(o.pool)-1].score
	}
	inner := len(o.pool)
	for l := 1; l < len(levels); l++ {
		inner = min(inner, width(widths, l-1))
		o.rank(runners, inner, levels[l].Hash)
	}
	out := make([]int32, 0, min(m, len(o.pool)))
	for _, r := range o.pool[:min(m, len(o.pool))] {
		out = append(out, r.index)
	}
	return out
}

// defaultWidth serves levels for which the preference gives no width.
const defaultWidth = 3

func width(widths []int, level int) int {
	if level < len(widths) {
		return widths[level]
	}
	return defaultWidth
}

// insert keeps the best scores in order, at most keep of them.
func (o *Ranker) insert(r ranked, keep int) {
	if n := len(o.pool); n == keep {
		o.pool = o.pool[:n-1]
	}
	at, _ := slices.BinarySearchFunc(o.pool, r.score, func(have ranked, score uint64) int {
		if have.score >= score {
			return -1
		}
		return 1
	})
	o.pool = slices.Insert(o.pool, at, r)
}

// rank orders the first n of the pool by another level's hash.
func (o *Ranker) rank(runners []Runner, n int, hash uint64) {
	subset := o.pool[:n]
	for i := range subset {
		subset[i].score = prefix.RendezvousScore(runners[subset[i].index].hash, hash)
	}
	slices.SortFunc(subset, func(a, b ranked) int {
		if a.score >= b.score {
			return -1
		}
		return 1
	})
}
