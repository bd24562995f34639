package fleet

import (
	"time"

	"acaciakeel/forecast"
)

// engine returns what is known of a service's engines; the caller holds mu.
func (f *Fleet) engine(service string) *forecast.Estimator {
	e := f.engines[service]
	if e == nil {
		e = forecast.New()
		f.engines[service] = e
	}
	return e
}

// long reports whether a request is expected to hold a slot for longer than a
// load of weights takes: an order that waits for it then leaves its runner out of
// service for more time than the load itself.
func (f *Fleet) long(q Query) bool {
	e := f.engine(q.Service)
	held, seen := e.ExpectedSlotHold(q.MaxOutputTokens)
	return seen && held > e.WeightLoads.LoadDuration()
}

// decodeShare is the part of a runner's time that must be left to decoding where
// long runs are packed: below it their tokens come at half of the pace at best,
// and the runs hold their slots for twice as long.
const decodeShare = 0.5

// packable reports whether runs like this one may fill a runner: reading the
// prompts of as many as fit must leave time to decode. Prompts of 17,000 tokens
// for answers of 30 would take a packed runner thirty times the time that it has.
func (f *Fleet) packable(q Query, room float64, now time.Time) bool {
	e := f.engine(q.Service)
	held, _ := e.ExpectedSlotHold(q.MaxOutputTokens)
	reading := room * e.PrefillTime(q.InputTokens, q.InputTokens, now).Seconds()
	return reading < (1-decodeShare)*held.Seconds()
}

// RecordWeightLoad notes how long after its order a runner of a service had loaded
// weights.
func (f *Fleet) RecordWeightLoad(service string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engine(service).WeightLoads.Observe(took)
}

// WeightLoads returns what is known of a service's loads of weights.
func (f *Fleet) WeightLoads(service string) forecast.WeightLoads {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine(service).WeightLoads
}

// EngineCoefficients returns what was learnt of the engines of the services that run models.
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

// EngineReports returns what this process observed of engines, to be told to the others.
func (f *Fleet) EngineReports(now time.Time) []forecast.Report {
	return f.wordsBy((*forecast.Estimator).Report, now)
}

// GroupEngineReports returns what this process and those of its group observed of engines,
// for the other groups.
func (f *Fleet) GroupEngineReports(now time.Time) []forecast.Report {
	return f.wordsBy((*forecast.Estimator).GroupReport, now)
}

func (f *Fleet) wordsBy(word func(*forecast.Estimator, string, time.Time) (forecast.Report, bool), now time.Time) []forecast.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []forecast.Report
	for service, e := range f.engines {
		if w, ok := word(e, service, now); ok {
			out = append(out, w)
		}
	}
	return out
}

// MergeEngineReports takes what another process observed of engines.
func (f *Fleet) MergeEngineReports(sender string, all []forecast.Report, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range all {
		f.engine(w.Service).ApplyReport(sender, w, now)
	}
}

// MergeGroupEngineReports takes what another group observed of engines.
func (f *Fleet) MergeGroupEngineReports(group int, all []forecast.Report, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range all {
		f.engine(w.Service).ApplyGroupReport(group, w, now)
	}
}
