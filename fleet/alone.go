package fleet

import (
	"slices"
	"time"

	"acaciakeel/prefix"
)

// chooseAlone picks the target at which the fewest requests run, for a request that may
// end it: whatever it finds cached elsewhere is not worth the work of others. Targets
// where another such request is come last, so that it shows which of them it was. With
// one at each target keeping them apart is in vain, and nil is returned, unless it has
// to be at any rate: when a dozen targets end together, hundreds are suspect for a
// moment, and prompts read anew for each would cost the others more.
func (f *Fleet) chooseAlone(q Query, g *group, indices []int32, now time.Time) *state {
	rest := slices.DeleteFunc(slices.Clone(indices), func(i int32) bool { return isAmong(q.Apart, g.states[i].runner.Life()) })
	if len(rest) == 0 {
		if !q.AtAnyRate {
			return nil
		}
		rest = indices
	}
	best := slices.MinFunc(rest, func(a, b int32) int {
		return f.beside(g.states[a], now) - f.beside(g.states[b], now)
	})
	return g.states[best]
}

func (f *Fleet) choiceAlone(q Query, s *state, now time.Time) Choice {
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
