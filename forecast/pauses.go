package forecast

import (
	"math"
	"time"
)

// PauseSample is the time between two events of one stream, at a target of the service's
// usual pace.
type PauseSample struct {
	// OwnPrefill is the time to prefill the prompts that this process has in progress at the
	// target, which it knows exactly, MeanPrefill the recent mean over all processes.
	OwnPrefill  time.Duration
	MeanPrefill time.Duration
	// Running is the number of requests at the target.
	Running int
	Pause   time.Duration
}

// pauseFeatures is the number of fitted coefficients of pauses. PauseCrossCount and
// PauseRightCount are the sizes of the lists in PauseSums.
const (
	pauseFeatures   = 7
	PauseCrossCount = pauseFeatures * (pauseFeatures + 1) / 2
	PauseRightCount = pauseFeatures + 1
)

// pauseKnots divide the time of prefill in progress into parts, in seconds: prefill adds its
// whole time to a pause up to as many chunks as an event takes steps, and nothing beyond. The
// parts find that limit for engines whose pauses take tens of milliseconds to over a second. A limit
// between two knots raises what is expected below it, the more the longer that part is.
var pauseKnots = [...]float64{0.05, 0.2, 0.6, 1.6}

// maxMeanPrefill bounds the mean prefill that counts for a pause, in seconds.
const maxMeanPrefill = 0.4

// The coefficients assumed without samples, with their weights in the units of the sums, each
// like a few dozen samples: a pause of 50 ms, to which prefill adds its time up to about one
// long prompt, and half of the mean prefill.
var (
	pausePrior       = [pauseFeatures]float64{0.05, 0, 1, 1, 0.5, 0, 0.5}
	pausePriorWeight = [pauseFeatures]float64{5, 2, 0.05, 0.2, 1, 5, 1}
	pauseMaximum     = [pauseFeatures]float64{math.Inf(1), math.Inf(1), 1.5, 1.5, 1.5, 1.5, 1.5}
)

// PauseSums are the sums of a least-squares fit of pauses; like Sums they are additive.
type PauseSums struct {
	// Cross holds the products of each two features, row by row from the diagonal on; Right
	// those of the features with the pauses, followed by the squares of the pauses.
	Cross  [PauseCrossCount]float64
	Right  [PauseRightCount]float64
	Weight float64
}

func (s *PauseSums) add(features [pauseFeatures]float64, pause float64) {
	at := 0
	for i := range pauseFeatures {
		for j := i; j < pauseFeatures; j++ {
			s.Cross[at] += features[i] * features[j]
			at++
		}
		s.Right[i] += features[i] * pause
	}
	s.Right[pauseFeatures] += pause * pause
	s.Weight++
}

// Merge adds the sums of other samples.
func (s *PauseSums) Merge(other PauseSums) {
	for i := range s.Cross {
		s.Cross[i] += other.Cross[i]
	}
	for i := range s.Right {
		s.Right[i] += other.Right[i]
	}
	s.Weight += other.Weight
}

func (s *PauseSums) scale(factor float64) {
	for i := range s.Cross {
		s.Cross[i] *= factor
	}
	for i := range s.Right {
		s.Right[i] *= factor
	}
	s.Weight *= factor
}

func (s *PauseSums) element(i, j int) float64 {
	if i > j {
		i, j = j, i
	}
	return s.Cross[i*pauseFeatures-i*(i-1)/2+j-i]
}

// fit returns the coefficients and the standard deviation of the pauses from them.
func (s *PauseSums) fit(start [pauseFeatures]float64) (out [pauseFeatures]float64, deviation float64) {
	out = start
	for range fitIterations {
		for i := range out {
			rest := s.Right[i] + pausePriorWeight[i]*pausePrior[i]
			for j := range out {
				if j != i {
					rest -= s.element(i, j) * out[j]
				}
			}
			out[i] = min(max(0, rest/(s.element(i, i)+pausePriorWeight[i])), pauseMaximum[i])
		}
	}
	square := s.Right[pauseFeatures]
	for i := range out {
		square -= 2 * out[i] * s.Right[i]
		for j := range out {
			square += out[i] * out[j] * s.element(i, j)
		}
	}
	prior := deviationPriorWeight * defaultPauseDeviation * defaultPauseDeviation
	return out, math.Sqrt(max(0, square+prior) / (s.Weight + deviationPriorWeight))
}

// The deviation of pauses assumed without samples, and the number of samples that it weighs.
const (
	defaultPauseDeviation = 0.03
	deviationPriorWeight  = 20
)

func (r PauseSample) features() [pauseFeatures]float64 {
	out := [pauseFeatures]float64{1, float64(r.Running) / 100}
	own, from := r.OwnPrefill.Seconds(), 0.0
	for i, knot := range pauseKnots {
		out[2+i] = min(max(0, own-from), knot-from)
		from = knot
	}
	out[2+len(pauseKnots)] = min(r.MeanPrefill.Seconds(), maxMeanPrefill)
	return out
}

// pauseEstimate is what one service's pauses are expected to be.
type pauseEstimate struct {
	local  PauseSums
	agedAt time.Time
	fitted [pauseFeatures]float64
	// deviation is the standard deviation of the pauses from the fit, fittedAt when it was
	// made.
	deviation float64
	fittedAt  time.Time
}

// pauseFitInterval is the least time between two fits. Events arrive hundreds of times a
// second at a small entry, and a fit takes as long as a choice.
const pauseFitInterval = 250 * time.Millisecond

// maxPauseSample bounds the pauses that are learnt from: a stream that stands still for longer
// waits for a target that is stopped or preempted it.
const maxPauseSample = 3 * time.Second

// ObservePause adds the time between two events of a stream.
func (e *Estimator) ObservePause(r PauseSample, now time.Time) {
	if r.Pause < 0 || r.Pause > maxPauseSample {
		return
	}
	p := &e.pauses
	if !p.agedAt.IsZero() {
		p.local.scale(observationDecay(now.Sub(p.agedAt)))
	}
	p.agedAt = now
	p.local.add(r.features(), r.Pause.Seconds())
}

// ExpectedPause returns the expected time between two events of a stream under the conditions
// of a sample, and the standard deviation of pauses from it.
func (e *Estimator) ExpectedPause(r PauseSample, now time.Time) (expected, deviation time.Duration) {
	p := &e.pauses
	if age := now.Sub(p.fittedAt); p.fittedAt.IsZero() || age < 0 || age >= pauseFitInterval {
		all := p.local
		for _, peer := range e.peers {
			if now.Sub(peer.receivedAt) <= reportTTL {
				all.Merge(peer.pauses)
			}
		}
		if p.fittedAt.IsZero() {
			p.fitted = pausePrior
		}
		p.fitted, p.deviation = all.fit(p.fitted)
		p.fittedAt = now
	}
	sum := 0.0
	for i, x := range r.features() {
		sum += p.fitted[i] * x
	}
	return seconds(sum), seconds(p.deviation)
}

// BoundedStreams describes the streams whose routes bound the pause between events.
type BoundedStreams struct {
	// Share is the fraction of arriving requests that are such streams, Bound the mean of
	// their bounds.
	Share float64
	Bound time.Duration
}

// boundedArrivals are decayed sums over arriving requests.
type boundedArrivals struct {
	all, bounded, bounds float64
	at                   time.Time
}

// ObserveStreamBound adds an arriving request with the longest pause for which it is on time;
// 0 is none.
func (e *Estimator) ObserveStreamBound(bound time.Duration, now time.Time) {
	b := &e.bounded
	if !b.at.IsZero() {
		factor := decayFactor(max(0, now.Sub(b.at)), loadDecayTime)
		b.all, b.bounded, b.bounds = b.all*factor, b.bounded*factor, b.bounds*factor
	}
	b.at = now
	b.all++
	if bound > 0 {
		b.bounded++
		b.bounds += bound.Seconds()
	}
}

// BoundedStreams returns the bounds of the requests that arrived at this process recently.
// The requests of other processes are of the same routes.
func (e *Estimator) BoundedStreams() BoundedStreams {
	if e.bounded.bounded <= 0 {
		return BoundedStreams{}
	}
	return BoundedStreams{Share: e.bounded.bounded / e.bounded.all, Bound: seconds(e.bounded.bounds / e.bounded.bounded)}
}

// eventPace is the mean of the pauses without prefill and of the numbers of requests at their
// targets, by weight, and the sums of the products of their deviations from the recent means of
// their own targets. A fit over all targets would take a part of the difference in speed for an
// effect of the number, as slow targets have more requests.
type eventPace struct {
	pause, running, weight float64
	square, product        float64
	at                     time.Time
}

// EventPaceSample is a pause without prefill, in seconds, at a target of the service's usual
// pace with so many requests.
type EventPaceSample struct {
	Pause   float64
	Running float64
}

// ObserveEventPace adds a sample; mean is that of the target's recent samples.
func (e *Estimator) ObserveEventPace(sample, mean EventPaceSample, now time.Time) {
	p := &e.eventPace
	if !p.at.IsZero() {
		factor := observationDecay(now.Sub(p.at))
		p.pause, p.running, p.weight = p.pause*factor, p.running*factor, p.weight*factor
		p.square, p.product = p.square*factor, p.product*factor
	}
	p.at = now
	p.pause, p.running, p.weight = p.pause+sample.Pause, p.running+sample.Running, p.weight+1
	deviation := sample.Running - mean.Running
	p.square += deviation * deviation
	p.product += deviation * (sample.Pause - mean.Pause)
}

// EventPace returns the expected pause without prefill at a target with so many requests, in
// seconds; ok is false until there are enough samples.
func (e *Estimator) EventPace(running float64) (pause float64, ok bool) {
	p := e.eventPace
	if p.weight < minSamples {
		return 0, false
	}
	mean := p.pause / p.weight
	slope := min(max(0, p.product/(p.square+paceSlopePrior)), maxPaceSlope*mean)
	return max(mean/2, mean+slope*(running-p.running/p.weight)), true
}

const (
	// paceSlopePrior is the weight of the assumption that the number of requests does not
	// matter: like 20 samples that are five requests off their target's mean.
	paceSlopePrior = 500
	// maxPaceSlope bounds the effect of one request, as a part of the mean pause: on the
	// engines known it is under a hundredth.
	maxPaceSlope = 0.02
)
