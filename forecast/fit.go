package forecast

import (
	"math"
	"time"
)

// coefficientCount is the number of fitted coefficients.
const coefficientCount = 5

// Sums are the sums of a weighted least-squares fit. They are additive: the sums of several
// processes equal those of all their samples, so that processes can pool their samples in a
// few numbers.
type Sums struct {
	// Cross holds the products of each two features, row by row from the diagonal on; Right
	// those of the features with the observed times.
	Cross [coefficientCount * (coefficientCount + 1) / 2]float64
	Right [coefficientCount]float64
	// Weight is the decayed number of samples.
	Weight float64
}

// add adds one sample.
func (s *Sums) add(features [coefficientCount]float64, observed, weight float64) {
	at := 0
	for i := range coefficientCount {
		for j := i; j < coefficientCount; j++ {
			s.Cross[at] += weight * features[i] * features[j]
			at++
		}
		s.Right[i] += weight * features[i] * observed
	}
	s.Weight++
}

// Merge adds the sums of other samples.
func (s *Sums) Merge(other Sums) {
	for i := range s.Cross {
		s.Cross[i] += other.Cross[i]
	}
	for i := range s.Right {
		s.Right[i] += other.Right[i]
	}
	s.Weight += other.Weight
}

// scale multiplies the weight of all samples by factor.
func (s *Sums) scale(factor float64) {
	for i := range s.Cross {
		s.Cross[i] *= factor
	}
	for i := range s.Right {
		s.Right[i] *= factor
	}
	s.Weight *= factor
}

// maxDecayStep bounds the decay caused by one sample: the coefficients of an engine that
// was idle for an hour still hold.
const maxDecayStep = time.Second

// observationDecay returns the factor by which the weight of earlier samples decays.
func observationDecay(elapsed time.Duration) float64 {
	return decayFactor(min(max(elapsed, 0), maxDecayStep), decayTime)
}

// decayFactor returns the factor of an exponential decay with the given time constant.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}

// element returns the product of features i and j.
func (s *Sums) element(i, j int) float64 {
	if i > j {
		i, j = j, i
	}
	return s.Cross[i*coefficientCount-i*(i-1)/2+j-i]
}

// fitIterations is the number of iterations of a fit. It starts at the previous
// coefficients; with three of them, ten iterations change the last by under one percent.
const fitIterations = 40

// fit returns the coefficients that fit the sums best, none below its floor, by coordinate
// descent. prior are the values assumed without samples, with the given weights.
func (s *Sums) fit(start, prior, floor, priorWeight [coefficientCount]float64) [coefficientCount]float64 {
	out := start
	for range fitIterations {
		for i := range out {
			rest := s.Right[i] + priorWeight[i]*prior[i]
			for j := range out {
				if j != i {
					rest -= s.element(i, j) * out[j]
				}
			}
			out[i] = max(floor[i], rest/(s.element(i, i)+priorWeight[i]))
		}
	}
	return out
}
