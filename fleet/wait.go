package fleet

import "time"

// expectedWait returns how long a request is expected to wait at a target for a slot, for
// the prompts ahead of it and for memory, if so many of its prompt tokens are cached
// there. Transfers of cached parts are not included.
func (f *Fleet) expectedWait(q Query, s *targetState, cached int, now time.Time) time.Duration {
	total := s.totalOccupancy(now)
	wait := f.engine(q.Service).BacklogTime(total.PrefillTokens, now) + f.queueWait(s, now)
	return wait + f.memoryWait(q, total, EstimateHeldTokens(q.InputTokens, cached, q.MaxOutputTokens), now)
}

// meanSlotTime is how long a request is assumed to hold a slot when the wait for a full
// target is estimated: about the mean of the services.
const meanSlotTime = 300 * time.Millisecond

// queueWait returns the expected wait for a slot.
func (f *Fleet) queueWait(s *targetState, now time.Time) time.Duration {
	slots := s.target.Slots
	if slots == 0 {
		return 0
	}
	busy := s.requestCount(now)
	if busy < slots {
		return 0
	}
	return meanSlotTime * time.Duration(busy-slots+1) / time.Duration(slots)
}
