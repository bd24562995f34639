package fleet

import (
	"time"

	"acaciakeel/forecast"
)

// engine returns the latency estimator of a service; the caller holds mu.
func (f *Fleet) engine(service string) *forecast.Estimator {
	e := f.engines[service]
	if e == nil {
		e = forecast.New()
		f.engines[service] = e
	}
	return e
}

// isLong reports whether a request is expected to hold a slot for longer than a load of
// weights takes: a load order that waits for it keeps its target out of service for
// longer than the load itself.
func (f *Fleet) isLong(q Query) bool {
	e := f.engine(q.Service)
	held, seen := e.ExpectedSlotHold(q.MaxOutputTokens)
	return seen && held > e.WeightLoads.LoadDuration()
}

// minDecodeShare is the fraction of a target's time that must remain for decoding where
// long runs are packed: below it tokens come at half the pace at best, and the runs hold
// their slots for twice as long.
const minDecodeShare = 0.5

// packable reports whether runs like this one may fill a target: prefilling the prompts
// of as many as fit must leave time to decode. Prompts of 17,000 tokens for answers of 30
// would take thirty times the time that a packed target has.
func (f *Fleet) packable(q Query, room float64, now time.Time) bool {
	e := f.engine(q.Service)
	held, _ := e.ExpectedSlotHold(q.MaxOutputTokens)
	prefill := room * e.PrefillTime(q.InputTokens, q.InputTokens, now).Seconds()
	return prefill < (1-minDecodeShare)*held.Seconds()
}

// RecordWeightLoad records how long after its order a target of a service had loaded the
// weights.
func (f *Fleet) RecordWeightLoad(service string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engine(service).WeightLoads.Observe(took)
}

// WeightLoads returns the durations of weight loads of a service.
func (f *Fleet) WeightLoads(service string) forecast.WeightLoads {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine(service).WeightLoads
}

// EngineCoefficients returns the fitted latency coefficients of the services with enough
// samples.
func (f *Fleet) EngineCoefficients(now time.Time) map[string]forecast.Coefficients {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]forecast.Coefficients{}
	for service, e := range f.engines {
		if e.HasEnoughSamples() {
			out[service] = e.Coefficients(now)
		}
	}
	return out
}

// EngineReports returns this process's own engine statistics, for the other processes of
// the group.
func (f *Fleet) EngineReports(now time.Time) []forecast.Report {
	return f.engineReportsBy((*forecast.Estimator).Report, now)
}

// GroupEngineReports returns the engine statistics of this process and its group, for the
// other groups.
func (f *Fleet) GroupEngineReports(now time.Time) []forecast.Report {
	return f.engineReportsBy((*forecast.Estimator).GroupReport, now)
}

func (f *Fleet) engineReportsBy(report func(*forecast.Estimator, string, time.Time) (forecast.Report, bool), now time.Time) []forecast.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []forecast.Report
	for service, e := range f.engines {
		if w, ok := report(e, service, now); ok {
			out = append(out, w)
		}
	}
	return out
}

// MergeEngineReports applies the engine statistics of another process.
func (f *Fleet) MergeEngineReports(sender string, all []forecast.Report, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range all {
		f.engine(w.Service).ApplyReport(sender, w, now)
	}
}

// MergeGroupEngineReports applies the engine statistics of another group.
func (f *Fleet) MergeGroupEngineReports(group int, all []forecast.Report, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range all {
		f.engine(w.Service).ApplyGroupReport(group, w, now)
	}
}
