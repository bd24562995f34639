package fleet

import (
	"time"

	"acaciakeel/policy"
)

// reportInterval measures how often other processes or groups report their load.
type reportInterval struct {
	lastReport map[string]time.Time
	// mean is the moving average of the time between two reports of a sender.
	mean time.Duration
}

// intervalSmoothing is the weight of one interval in the average.
const intervalSmoothing = 0.05

// sameReportWindow is the time within which messages of one sender are of one report,
// split over several datagrams.
const sameReportWindow = 20 * time.Millisecond

// record records a report of a sender.
func (n *reportInterval) record(sender string, now time.Time) {
	if n.lastReport == nil {
		n.lastReport = map[string]time.Time{}
	}
	last, ok := n.lastReport[sender]
	if ok && now.Sub(last) < sameReportWindow {
		return
	}
	if ok && now.Sub(last) < occupancyTTL {
		n.mean += time.Duration(intervalSmoothing * float64(now.Sub(last)-n.mean))
	}
	n.lastReport[sender] = now
	for other, at := range n.lastReport {
		if now.Sub(at) >= occupancyTTL {
			delete(n.lastReport, other)
		}
	}
}

// propagationDelay returns the mean time until a decision of another process is known
// here: in the own group until its next report, in other groups until the next digest and
// the reports before and after it.
func (f *Fleet) propagationDelay() time.Duration {
	groups := len(f.groupInterval.lastReport)
	if f.members.count() > 1 && len(f.peerInterval.lastReport) == 0 {
		return occupancyTTL
	}
	far := 2*f.peerInterval.mean + f.groupInterval.mean
	return (f.peerInterval.mean + time.Duration(groups)*far) / time.Duration(groups+1)
}

// comparedCount returns how many of n targets a prompt's choice compares. Decisions of
// the others since their last report are unknown; if each process compared all targets,
// all would send to the same idle ones meanwhile. With 2n divided by the number of
// unknown decisions, each target is among those compared for about two of these, and the
// ranking, which differs with each prompt, spreads them further.
func (f *Fleet) comparedCount(q Query, n int, now time.Time) int {
	if f.disabled[policy.CandidateSampling] {
		return maxCompared
	}
	unseen := f.engine(q.Service).OfferedLoad(now).HeavyRate * f.propagationDelay().Seconds()
	if unseen <= 0 {
		return maxCompared
	}
	return max(minCompared, min(maxCompared, int(2*float64(n)/unseen)))
}
