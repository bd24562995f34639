package placement

import (
	"slices"

	"acaciakeel/prefix"
)

// scoredRunner is the index of a runner with its rendezvous score at one level.
type scoredRunner struct {
	score uint64
	index int32
}

// Ranker ranks runners. It reuses its buffer, so each goroutine needs its own Ranker.
type Ranker struct {
	candidates []scoredRunner
}

// Rank returns the first m of the runners at indices, best first. The hash of the
// outermost level ranks all runners, and the width of that level cuts off a subset; the
// next level ranks within that subset, and so on. Prompts that share a level therefore
// share its runners, and a prompt overflows first to runners that hold its outer
// levels: the rest of the innermost subset, then the rest of the enclosing one. Widths
// are numbers of runners, outermost level first; the innermost level needs none. The
// result is valid until the next call.
func (r *Ranker) Rank(runners []Runner, indices []int32, levels []prefix.Boundary, widths []int, m int) []int32 {
	r.candidates = r.candidates[:0]
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
		if len(r.candidates) == keep && score <= worst {
			continue
		}
		r.insert(scoredRunner{score, i}, keep)
		worst = r.candidates[len(r.candidates)-1].score
	}
	inner := len(r.candidates)
	for l := 1; l < len(levels); l++ {
		inner = min(inner, width(widths, l-1))
		r.rerank(runners, inner, levels[l].Hash)
	}
	out := make([]int32, 0, min(m, len(r.candidates)))
	for _, scored := range r.candidates[:min(m, len(r.candidates))] {
		out = append(out, scored.index)
	}
	return out
}

// defaultWidth is the width of levels for which none is configured.
const defaultWidth = 3

func width(widths []int, level int) int {
	if level < len(widths) {
		return widths[level]
	}
	return defaultWidth
}

// insert adds r in order of score and keeps at most keep candidates.
func (r *Ranker) insert(scored scoredRunner, keep int) {
	if n := len(r.candidates); n == keep {
		r.candidates = r.candidates[:n-1]
	}
	at, _ := slices.BinarySearchFunc(r.candidates, scored.score, func(have scoredRunner, score uint64) int {
		if have.score >= score {
			return -1
		}
		return 1
	})
	r.candidates = slices.Insert(r.candidates, at, scored)
}

// rerank sorts the first n candidates by the hash of another level.
func (r *Ranker) rerank(runners []Runner, n int, hash uint64) {
	subset := r.candidates[:n]
	for i := range subset {
		subset[i].score = prefix.RendezvousScore(runners[subset[i].index].hash, hash)
	}
	slices.SortFunc(subset, func(a, b scoredRunner) int {
		if a.score >= b.score {
			return -1
		}
		return 1
	})
}
