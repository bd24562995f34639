package fleet

import "time"

// pauseCost returns what placing a request at a target is expected to cost the streams
// there, and the request itself, in pauses between events.
func (f *Fleet) pauseCost(q Query, s *targetState, now time.Time) time.Duration {
	if q.long {
		return 0
	}
	neighbourCost := time.Duration(s.totalOccupancy(now).Long) * longNeighbourCost
	return min(neighbourCost, maxLongNeighbourCost)
}
