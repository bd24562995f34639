package fleet

import (
	"slices"
	"time"

	"acaciakeel/prefix"
)

// chooseAlone picks the target at which the fewest requests run, for a request that may
// end it: whatever it finds cached elsewhere is not worth the work of others. Targets
// where another such request is come last, so that it shows which of them it was.
func (f *Fleet) chooseAlone(q Query, g *group, indices []int32, now time.Time) Choice {
	if rest := slices.DeleteFunc(slices.Clone(indices), func(i int32) bool { return isAmong(q.Apart, g.states[i].runner.Life()) }); len(rest) > 0 {
		indices = rest
	}
	best := slices.MinFunc(indices, func(a, b int32) int {
		return f.beside(g.states[a], now) - f.beside(g.states[b], now)
	})
	s := g.states[best]
	if q.Model == "" {
		return Choice{Runner: s.runner, Wait: f.queueWait(s, now)}
	}
	return f.choice(q, s, map[int64]prefix.Chain{}, fetch{}, now)
}

// beside returns how many requests a target has, by the most that anybody says.
func (f *Fleet) beside(s *state, now time.Time) int {
	return max(s.sum(now).Inflight, s.toldBusy(now))
}

func isAmong(lives []Life, life Life) bool {
	return slices.ContainsFunc(lives, life.Same)
}
