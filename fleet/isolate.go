package fleet

import (
	"slices"
	"time"

	"acaciakeel/placement"
	"acaciakeel/prefix"
)

// chooseIsolated picks the target with the fewest requests for a request that may crash
// it: cached parts elsewhere are worth less than the requests that a crash would end.
// Targets in Avoid have another such request and are left out, so that a crash shows
// which request caused it. If there are no others, isolation does not help and ok is
// false, unless AlwaysIsolate is set: when a dozen targets crash together, hundreds of
// requests are suspect for a moment, and prefilling all of their prompts without cached
// parts would cost other requests more.
func (f *Fleet) chooseIsolated(q Query, g *group, indices []int32, now time.Time) (c Choice, ok bool) {
	avoid := placement.Except(f.currentIDs(q.Avoid))
	rest := slices.DeleteFunc(slices.Clone(indices), func(i int32) bool { return !avoid(&g.candidates[i]) })
	if len(rest) == 0 {
		if !q.AlwaysIsolate {
			return Choice{}, false
		}
		rest = indices
	}
	best := slices.MinFunc(rest, func(a, b int32) int {
		return f.requestCount(g.states[a], now) - f.requestCount(g.states[b], now)
	})
	if q.Model == "" {
		return f.chooseLeastLoaded(q, g, []int32{best}, now), true
	}
	return f.newChoice(q, g.states[best], map[int64]prefix.Chain{}, fetch{}, now), true
}
