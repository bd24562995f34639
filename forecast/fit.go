package forecast

import (
	"math"
	"time"
)

// coefficientCount is how many figures a line of sums is fitted for.
const coefficientCount = 5

// Sums are the sums of a weighted least-squares fit of terms figures to
// observations. They add up: the sums of several processes are those of all
// their observations, so that processes can pool what they saw in a few numbers.
type Sums struct {
	// Cross holds the products of each two features, row by row from the
	// diagonal on; Right those of the features with what was observed.
	Cross [coefficientCount * (coefficientCount + 1) / 2]float64
	Right [coefficientCount]float64
	// Weight is about how many observations count.
	Weight float64
}

// add counts one observation in.
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

// Merge adds another process's sums.
func (s *Sums) Merge(other Sums) {
	for i := range s.Cross {
		s.Cross[i] += other.Cross[i]
	}
	for i := range s.Right {
		s.Right[i] += other.Right[i]
	}
	s.Weight += other.Weight
}

// scale makes all observations count for share of what they did.
func (s *Sums) scale(factor float64) {
	for i := range s.Cross {
		s.Cross[i] *= factor
	}
	for i := range s.Right {
		s.Right[i] *= factor
	}
	s.Weight *= factor
}

// maxDecayStep bounds the time by which one observation ages those before it: the
// figures of an engine that had nothing to do for an hour still hold.
const maxDecayStep = time.Second

// observationDecay is what is left of an observation's weight after elapsed.
func observationDecay(elapsed time.Duration) float64 {
	return decayFactor(min(max(elapsed, 0), maxDecayStep), decayTime)
}

// decayFactor is what is left after elapsed of what fades to a third in memory.
func decayFactor(elapsed, memory time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / memory.Seconds())
}

// element returns a product of two features.
func (s *Sums) element(i, j int) float64 {
	if i > j {
		i, j = j, i
	}
	return s.Cross[i*coefficientCount-i*(i-1)/2+j-i]
}

// fitIterations is how many rounds of improvement a fit takes: it begins at the
// figures fitted before, and with three of them ten rounds change the last by
// under a hundredth.
const fitIterations = 40

// fit returns the figures, none below its floor, that explain the sums best;
// prior are those taken without observations, which count like a few of them.
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
