package forecast

import (
	"strconv"
	"time"
)

// Report is what a process tells the others of one service's engines.
type Report struct {
	Service     string
	Sums        Sums
	SlotHold    TimePerToken
	WeightLoads WeightLoads
	OfferedLoad OfferedLoad
}

// reportTTL is for how long another process's word counts: until it should
// have come many times.
const reportTTL = 10 * time.Second

// Report returns what this process observed itself; ok is false if that is nothing.
func (e *Estimator) Report(service string, now time.Time) (r Report, ok bool) {
	return Report{Service: service, Sums: e.local, SlotHold: e.slotHold, WeightLoads: e.WeightLoads, OfferedLoad: e.offeredRate(now)}, e.local.Weight > 0 || e.WeightLoads.Samples > 0
}

// ApplyReport takes another process's word in place of the one before it.
func (e *Estimator) ApplyReport(sender string, r Report, now time.Time) {
	e.applyReport(sender, r, peerReport{sums: r.Sums, slotHold: r.SlotHold, offeredLoad: r.OfferedLoad, receivedAt: now})
}

// ApplyGroupReport takes the word of a group of processes in place of the one before it.
func (e *Estimator) ApplyGroupReport(group int, r Report, now time.Time) {
	e.applyReport("group "+strconv.Itoa(group), r, peerReport{sums: r.Sums, slotHold: r.SlotHold, offeredLoad: r.OfferedLoad, receivedAt: now, fromGroup: true})
}

// GroupReport returns what this process and the others that told it of theirs, but
// for other groups, observed together.
func (e *Estimator) GroupReport(service string, now time.Time) (r Report, ok bool) {
	r, ok = e.Report(service, now)
	for _, p := range e.peers {
		if p.fromGroup || now.Sub(p.receivedAt) > reportTTL {
			continue
		}
		ok = true
		r.Sums.Merge(p.sums)
		r.SlotHold.add(p.slotHold)
		r.OfferedLoad.addScaled(p.offeredLoad, decayFactor(now.Sub(p.receivedAt), loadDecayTime))
	}
	return r, ok
}

func (e *Estimator) applyReport(sender string, r Report, stored peerReport) {
	e.peers[sender] = stored
	if r.WeightLoads.Samples > e.WeightLoads.Samples {
		// The one that gives the orders knows most; who does so next goes on from there.
		e.WeightLoads = r.WeightLoads
	}
	e.stale = true
}
