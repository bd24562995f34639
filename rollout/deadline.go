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
	urgent map[string]bool
}

func (in Input) deadlines(stale []fleet.Runner) deadlines {
	d := deadlines{in, map[string]bool{}}
	if in.MaxStaleness <= 0 {
		return d
	}
	byTimeLeft := slices.SortedFunc(slices.Values(stale), func(a, b fleet.Runner) int { return cmp.Compare(d.timeLeft(a), d.timeLeft(b)) })
	for i := len(byTimeLeft) - 1; i >= 0; i-- {
		batches := i/max(1, in.MaxConcurrent) + 1
		left := d.timeLeft(byTimeLeft[i])
		if left < time.Duration(batches)*in.OrderDuration {
			// All that are due no later are short of time, too.
			for _, r := range byTimeLeft[:i+1] {
				d.urgent[r.ID] = true
			}
			break
		}
	}
	return d
}

// timeLeft returns the time in which a runner gets requests yet.
func (d deadlines) timeLeft(r fleet.Runner) time.Duration {
	return d.MaxStaleness - d.StaleFor[r.ID]
}

// bypassesLimit reports whether a runner gets no requests any more and has some that may
// still wait for their slot: an order refuses these unrun, so that they go elsewhere
// before the bound, and its load begins only when the runs have ended.
func (d deadlines) bypassesLimit(r fleet.Runner) bool {
	return d.MaxStaleness > 0 && d.timeLeft(r) <= 0 && d.Inflight[r.ID] > 0
}

// concurrency returns how many orders may be under way, so that each of those due, in their
// order, has its order ended in time; half of the runners stay in service.
func (d deadlines) concurrency(due []fleet.Runner) int {
	limit := d.MaxConcurrent
	for i, r := range due {
		if left := d.timeLeft(r); d.urgent[r.ID] && left > 0 {
			needed := time.Duration(i+1)*d.OrderDuration/left + 1
			limit = max(limit, int(needed))
		}
	}
	return max(d.MaxConcurrent, min(limit, len(d.Runners)/2))
}
