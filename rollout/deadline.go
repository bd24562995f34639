package rollout

import (
	"cmp"
	"slices"
	"time"

	"acaciakeel/fleet"
)

// deadlines is an input with the runners whose time is short: those that have less than
// the orders that are due no later take, as many at once as usual.
type deadlines struct {
	Input
	short map[string]bool
}

func (in Input) deadlines(behind []fleet.Target) deadlines {
	d := deadlines{in, map[string]bool{}}
	if in.Bound <= 0 {
		return d
	}
	byTime := slices.SortedFunc(slices.Values(behind), func(a, b fleet.Target) int { return cmp.Compare(d.left(a), d.left(b)) })
	for i := len(byTime) - 1; i >= 0; i-- {
		rounds := i/max(1, in.AtOnce) + 1
		left := d.left(byTime[i])
		if left < time.Duration(rounds)*in.Each {
			// All that are due no later are short of time, too.
			for _, r := range byTime[:i+1] {
				d.short[r.ID] = true
			}
			break
		}
	}
	return d
}

// left returns the time in which a runner gets requests yet.
func (d deadlines) left(r fleet.Target) time.Duration {
	return d.Bound - d.Behind[r.ID]
}

// holdsBack reports whether a runner gets no requests any more and has some that may
// still wait for their slot: an order refuses these unrun, so that they go elsewhere
// before the bound, and its load begins only when the runs have ended.
func (d deadlines) holdsBack(r fleet.Target) bool {
	return d.Bound > 0 && d.left(r) <= 0 && d.Inflight[r.ID] > 0
}

// places returns how many orders may be under way, so that each of those due, in their
// order, has its order ended in time; half of the runners stay in service.
func (d deadlines) places(due []fleet.Target) int {
	places := d.AtOnce
	for i, r := range due {
		if left := d.left(r); d.short[r.ID] && left > 0 {
			needed := time.Duration(i+1)*d.Each/left + 1
			places = max(places, int(needed))
		}
	}
	return max(d.AtOnce, min(places, len(d.Runners)/2))
}
