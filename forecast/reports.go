package forecast

import (
	"strconv"
	"time"
)

// Report is what a process reports to others about the engines of one service.
type Report struct {
	Service  string
	Sums     Sums
	SlotHold TimePerToken
	// ClassHold is SlotHold by priority class.
	ClassHold   [ClassCount]TimePerToken
	WeightLoads WeightLoads
	OfferedLoad OfferedLoad
	Pauses      PauseSums
}

// reportTTL is how long a report is used: long enough for several to be lost.
const reportTTL = 10 * time.Second

// Report returns the samples of this process; ok is false if there are none.
func (e *Estimator) Report(service string, now time.Time) (r Report, ok bool) {
	return Report{Service: service, Sums: e.local, SlotHold: e.slotHold, ClassHold: e.classHold, WeightLoads: e.WeightLoads, OfferedLoad: e.offeredRate(now), Pauses: e.pauses.local}, e.local.Weight > 0 || e.WeightLoads.Samples > 0
}

// ApplyReport replaces the last report of another process.
func (e *Estimator) ApplyReport(sender string, r Report, now time.Time) {
	e.applyReport(sender, r, peerReport{sums: r.Sums, slotHold: r.SlotHold, classHold: r.ClassHold, pauses: r.Pauses, offeredLoad: r.OfferedLoad, receivedAt: now})
}

// ApplyGroupReport replaces the last report of another group of processes.
func (e *Estimator) ApplyGroupReport(group int, r Report, now time.Time) {
	e.applyReport("group "+strconv.Itoa(group), r, peerReport{sums: r.Sums, slotHold: r.SlotHold, classHold: r.ClassHold, pauses: r.Pauses, offeredLoad: r.OfferedLoad, receivedAt: now, fromGroup: true})
}

// GroupReport returns the merged samples of this process and the processes of its group; ok
// is false if there are none.
func (e *Estimator) GroupReport(service string, now time.Time) (r Report, ok bool) {
	r, ok = e.Report(service, now)
	for _, p := range e.peers {
		if p.fromGroup || now.Sub(p.receivedAt) > reportTTL {
			continue
		}
		ok = true
		r.Sums.Merge(p.sums)
		r.SlotHold.add(p.slotHold)
		for i, hold := range p.classHold {
			r.ClassHold[i].add(hold)
		}
		r.Pauses.Merge(p.pauses)
		r.OfferedLoad.addScaled(p.offeredLoad, decayFactor(now.Sub(p.receivedAt), loadDecayTime))
	}
	return r, ok
}

func (e *Estimator) applyReport(sender string, r Report, stored peerReport) {
	e.peers[sender] = stored
	if r.WeightLoads.Samples > e.WeightLoads.Samples {
		// The process that gives the orders has the most samples; its successor continues
		// from them.
		e.WeightLoads = r.WeightLoads
	}
	e.stale = true
}
