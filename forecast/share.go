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

// heardValid is for how long another process's word counts: until it should
// have come many times.
const heardValid = 10 * time.Second

// Report returns what this process observed itself; ok is false if that is nothing.
func (e *Estimator) Report(service string, now time.Time) (w Report, ok bool) {
	return Report{Service: service, Sums: e.own, SlotHold: e.runs, WeightLoads: e.WeightLoads, OfferedLoad: e.settled(now)}, e.own.Weight > 0 || e.WeightLoads.Samples > 0
}

// ApplyReport takes another process's word in place of the one before it.
func (e *Estimator) ApplyReport(sender string, w Report, now time.Time) {
	e.hear(sender, w, heard{sums: w.Sums, runs: w.SlotHold, mix: w.OfferedLoad, at: now})
}

// ApplyGroupReport takes the word of a group of processes in place of the one before it.
func (e *Estimator) ApplyGroupReport(group int, w Report, now time.Time) {
	e.hear("group "+strconv.Itoa(group), w, heard{sums: w.Sums, runs: w.SlotHold, mix: w.OfferedLoad, at: now, group: true})
}

// GroupReport returns what this process and the others that told it of theirs, but
// for other groups, observed together.
func (e *Estimator) GroupReport(service string, now time.Time) (w Report, ok bool) {
	w, ok = e.Report(service, now)
	for _, h := range e.others {
		if h.group || now.Sub(h.at) > heardValid {
			continue
		}
		ok = true
		w.Sums.Merge(h.sums)
		w.SlotHold.add(h.runs)
		w.OfferedLoad.add(h.mix, fadeBy(now.Sub(h.at), mixMemory))
	}
	return w, ok
}

func (e *Estimator) hear(sender string, w Report, h heard) {
	e.others[sender] = h
	if w.WeightLoads.Samples > e.WeightLoads.Samples {
		// The one that gives the orders knows most; who does so next goes on from there.
		e.WeightLoads = w.WeightLoads
	}
	e.stale = true
}
