package fleet

import (
	"slices"
	"time"

	"acaciakeel/health"
	"acaciakeel/placement"
)

// usableTargets returns the indices of the targets that may be asked. A stream that is bound to a
// software version may also go to a target that failed requests, if there is no other: it can't
// be served elsewhere.
func (f *Fleet) usableTargets(q Query, g *group, now time.Time) []int32 {
	untried := []placement.Filter{placement.NotDraining, placement.Except(f.currentIDs(q.Tried))}
	accepting := func(s *targetState) bool { return s.backoff.remaining(now) == 0 && f.withinLimit(s, now) }
	usable := func(r *placement.Runner) bool {
		s := f.states[r.Name]
		return accepting(s) && f.usable(q, s, now)
	}
	indices := placement.Apply(g.candidates, nil, append(untried, usable)...)
	if len(indices) > 0 || !q.BuildBound {
		return indices
	}
	eligible := func(r *placement.Runner) bool {
		s := f.states[r.Name]
		return accepting(s) && f.eligible(q, s, now)
	}
	return placement.Apply(g.candidates, nil, append(untried, eligible)...)
}

// responsive drops targets that do not answer, unless none does: then it is more likely
// that this process is cut off for a moment. Targets that do not answer probes are dropped
// if any target of the service responds, usable for this request or not.
func responsive(g *group, indices []int32, now time.Time) []int32 {
	var out []int32
	for _, i := range indices {
		if !g.states[i].isUnresponsive(now) {
			out = append(out, i)
		}
	}
	if len(out) > 0 {
		return out
	}
	acceptsProbes := func(s *targetState) bool {
		unresponsive, _ := s.response.Unresponsive(now)
		return !unresponsive
	}
	if !slices.ContainsFunc(g.states, acceptsProbes) {
		return indices
	}
	return slices.DeleteFunc(indices, func(i int32) bool { return !acceptsProbes(g.states[i]) })
}

// usable reports whether a target may be asked. For a dead target a true result starts
// the pause before its next probe, so this check must come last.
func (f *Fleet) usable(q Query, s *targetState, now time.Time) bool {
	return f.eligible(q, s, now) && (s.health.State(now) != health.Dead || s.health.AllowRequest(now))
}

// healthy reports whether a target is eligible and not dead. It starts no probe.
func (f *Fleet) healthy(q Query, s *targetState, now time.Time) bool {
	return f.eligible(q, s, now) && s.health.State(now) != health.Dead
}

// eligible reports whether a target has a software version at which the request may run, its
// weights are recent enough, and no load order is in progress there.
func (f *Fleet) eligible(q Query, s *targetState, now time.Time) bool {
	if !q.hasBuild(s, now) {
		return false
	}
	if q.Model == "" {
		return true
	}
	return f.desired[q.Model].staleFor(s.version(q.Model), now) <= q.MaxStaleness && !now.Before(s.busyUntil)
}
