package rollout

import (
	"cmp"
	"slices"
	"time"

	"acaciakeel/fleet"
)

// deadlines is the input of a plan with the runners that may not get their order in
// time at the usual concurrency.
type deadlines struct {
	Input
	urgent map[string]bool
}

func (in Input) deadlines(stale []fleet.Target) deadlines {
	d := deadlines{in, map[string]bool{}}
	if in.MaxStaleness <= 0 {
		return d
	}
	responsive := slices.DeleteFunc(slices.Clone(stale), func(r fleet.Target) bool { return in.Unresponsive[r.ID] })
	byTimeLeft := slices.SortedFunc(slices.Values(responsive), func(a, b fleet.Target) int { return cmp.Compare(d.timeLeft(a), d.timeLeft(b)) })
	for i := len(byTimeLeft) - 1; i >= 0; i-- {
		batches := i/max(1, in.MaxConcurrent) + 1
		left := d.timeLeft(byTimeLeft[i])
		if left < time.Duration(batches)*in.OrderDuration {
			// The runners that are due no later delay this one, so all of them are
			// urgent.
			for _, r := range byTimeLeft[:i+1] {
				d.urgent[r.ID] = true
			}
			break
		}
	}
	return d
}

// timeLeft returns for how long a runner still gets requests.
func (d deadlines) timeLeft(r fleet.Target) time.Duration {
	return d.MaxStaleness - d.StaleFor[r.ID]
}

// bypassesLimit reports whether a runner gets its order regardless of the concurrency
// limit. Its deadline has passed, so it gets no new requests, but some requests may
// still wait there for a slot. An order makes the runner refuse those without running
// them, so that they are sent elsewhere before the bound on stale weights; the load
// begins only when the running requests have ended.
func (d deadlines) bypassesLimit(r fleet.Target) bool {
	return d.MaxStaleness > 0 && d.timeLeft(r) <= 0 && d.Inflight[r.ID] > 0
}

// concurrency returns how many orders may be in progress so that each due runner, in
// this order, completes its order in time. Above MaxConcurrent, at least half of the
// responsive runners stay in service.
func (d deadlines) concurrency(due []fleet.Target) int {
	limit := d.MaxConcurrent
	for i, r := range due {
		if left := d.timeLeft(r); d.urgent[r.ID] && left > 0 {
			needed := time.Duration(i+1)*d.OrderDuration/left + 1
			limit = max(limit, int(needed))
		}
	}
	return max(d.MaxConcurrent, min(limit, d.responsiveCount()/2))
}
