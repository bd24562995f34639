package fleet

import "time"

// requestCount returns how many requests a target has: the higher of what the processes
// reported and what the target did.
func (f *Fleet) requestCount(s *targetState, now time.Time) int {
	return max(s.totalOccupancy(now).Inflight, f.reportedRequests(s, now))
}

// reportedRequests returns how many requests a target has by its own last report, plus
// what this process sent since. A reported queue counts until it is likely worked off:
// with a hundred processes, each learns of a full target only when it is turned away
// there, and would be again a moment later.
func (f *Fleet) reportedRequests(s *targetState, now time.Time) int {
	age := now.Sub(s.loadAt)
	queue := s.load.Running + s.load.Waiting - s.target.Slots
	remaining := s.load.Running + s.load.Waiting
	if age >= loadTTL {
		if queue <= 0 {
			return 0
		}
		remaining -= int(int64(s.target.Slots) * int64(age) / int64(max(1, f.slotTime(s, s.totalOccupancy(now), now))))
	}
	return s.inflight + max(0, remaining-s.inflightAtLoad)
}
