package fleet

import (
	"time"

	"acaciakeel/policy"
)

// expectedWait returns how long a request is expected to wait at a target for a slot, for
// the prompts ahead of it and for memory, if so many of its prompt tokens are cached
// there. Transfers of cached parts are not included. Targets admit more urgent requests
// first and preempt the least urgent when memory runs out, so only the load of the
// request's own class and of more urgent ones counts.
func (f *Fleet) expectedWait(q Query, s *targetState, cached int, now time.Time) time.Duration {
	total := s.totalOccupancy(now)
	class := f.waitClass(q)
	ahead := total.upTo(class)
	wait := f.engine(q.Service).BacklogTime(ahead.PrefillTokens, now)
	if share := f.urgentPrefillShare(q, class, now); share > 0 {
		wait = time.Duration(float64(wait) * waitGrowth(share))
	}
	wait += f.queueWait(q, s, now)
	return wait + f.memoryWait(q, ahead.HeldTokens, EstimateHeldTokens(q.InputTokens, cached, q.MaxOutputTokens), now)
}

// displacementCost returns what it costs the less urgent requests at a target if a request
// takes their memory: the target preempts them and prefills their prompts again. It makes
// urgent requests prefer targets with room and refuses none.
func (f *Fleet) displacementCost(q Query, s *targetState, cached int, now time.Time) time.Duration {
	if q.Capacity <= 0 || f.disabled[policy.PriorityWaits] || f.disabled[policy.MemoryBackpressure] {
		return 0
	}
	total := s.totalOccupancy(now)
	over := total.HeldTokens + EstimateHeldTokens(q.InputTokens, cached, q.MaxOutputTokens) - q.Capacity
	displaced := min(over, total.HeldTokens-total.upTo(q.Class).HeldTokens)
	return f.engine(q.Service).BacklogTime(max(0, displaced), now)
}

// waitClass returns the class up to which the load of a target delays a request. Requests
// without a model carry no priority to their target, so that the whole load does.
func (f *Fleet) waitClass(q Query) int {
	if q.Model == "" || f.disabled[policy.PriorityWaits] {
		return PriorityClasses - 1
	}
	return q.Class
}

// meanSlotTime is how long a request is assumed to hold a slot until enough runs of the
// service were observed: about the mean of services without long runs.
const meanSlotTime = 300 * time.Millisecond

// maxWaitGrowth limits waitGrowth: above it the estimate of the share decides the result,
// and a request whose wait is four times that of an idle target is refused anyway.
const maxWaitGrowth = 4

// waitGrowth returns the factor by which a wait grows if more urgent arrivals take the
// given share of a target's time: they are served before the request while it waits.
func waitGrowth(share float64) float64 {
	return 1 / max(1-share, 1.0/maxWaitGrowth)
}

// queueWait returns the expected wait of a request for a slot. If no less urgent requests
// are at the target, all that wait there are ahead of it. Otherwise those ahead are
// estimated from the prompts of its own and more urgent classes that have not been
// prefilled; at the least it waits for the next slot to become free.
func (f *Fleet) queueWait(q Query, s *targetState, now time.Time) time.Duration {
	slots := s.target.Slots
	if slots == 0 {
		return 0
	}
	busy := f.requestCount(s, now)
	if busy < slots {
		return 0
	}
	total := s.totalOccupancy(now)
	slotTime := f.slotTime(s, total, now)
	class := f.waitClass(q)
	lessUrgent := total.Inflight - total.upTo(class).Inflight
	ahead := float64(busy - slots)
	if lessUrgent > 0 {
		// Requests that the target reported but no process did are assumed to be of the same
		// classes as the others.
		own := float64(busy) * (1 - float64(lessUrgent)/float64(total.Inflight))
		pending := f.profile(q.Service).pendingRequests(total, class)
		ahead = min(max(pending, own-float64(slots), 0), own, ahead)
	}
	wait := time.Duration(float64(slotTime) * (ahead + 1) / float64(slots))
	if class > 0 && q.Model != "" && !f.disabled[policy.PriorityWaits] && !f.disabled[policy.ArrivalGrowth] {
		wait = time.Duration(float64(wait) * waitGrowth(float64(total.upTo(class-1).Inflight)/float64(slots)))
	}
	return wait
}

// slotTime returns the expected time for which the requests at a target hold their slots,
// as the mean over the classes of those that are there.
func (f *Fleet) slotTime(s *targetState, total Occupancy, now time.Time) time.Duration {
	if f.disabled[policy.LearnedSlotTime] {
		return meanSlotTime
	}
	e, p := f.engine(s.target.Service), f.profile(s.target.Service)
	var sum time.Duration
	count := 0
	for class, load := range total.byClass() {
		if load.Inflight <= 0 {
			continue
		}
		held := meanSlotTime
		if output := p.meanOutput(class); output > 0 {
			if run, ok := e.ExpectedClassHold(class, output); ok {
				// The slot is also held while the prompt is prefilled.
				held = run + e.BacklogTime(int(p.meanUncached(class)), now)
			}
		}
		sum += time.Duration(load.Inflight) * held
		count += load.Inflight
	}
	if count == 0 {
		return meanSlotTime
	}
	return sum / time.Duration(count)
}

// urgentPrefillShare returns the share of the targets' time that prefilling more urgent
// prompts takes. The entries' arrivals are assumed to have the same mix of classes.
func (f *Fleet) urgentPrefillShare(q Query, class int, now time.Time) float64 {
	if class == 0 || q.targets == 0 || q.Model == "" || f.disabled[policy.PriorityWaits] || f.disabled[policy.ArrivalGrowth] {
		return 0
	}
	offered := f.engine(q.Service).OfferedLoad(now)
	return (offered.Light + offered.Heavy) * f.profile(q.Service).urgentShare(class) / float64(q.targets)
}
