package forecast

import (
	"math"
	"time"
)

// terms is how many figures a line of sums is fitted for.
const terms = 5

// Sums are the sums of a weighted least-squares fit of terms figures to
// observations. They add up: the sums of several processes are those of all
// their observations, so that processes can pool what they saw in a few numbers.
type Sums struct {
	// Cross holds the products of each two features, row by row from the
	// diagonal on; Right those of the features with what was observed.
	Cross [terms * (terms + 1) / 2]float64
	Right [terms]float64
	// Weight is about how many observations count.
	Weight float64
}

// add counts one observation in.
func (s *Sums) add(features [terms]float64, observed, weight float64) {
	at := 0
	for i := range terms {
		for j := i; j < terms; j++ {
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

// fade makes all observations count for share of what they did.
func (s *Sums) fade(share float64) {
	for i := range s.Cross {
		s.Cross[i] *= share
	}
	for i := range s.Right {
		s.Right[i] *= share
	}
	s.Weight *= share
}

// fadeStep bounds the time by which one observation ages those before it: the
// figures of an engine that had nothing to do for an hour still hold.
const fadeStep = time.Second

// fadeShare is what is left of an observation's weight after elapsed.
func fadeShare(elapsed time.Duration) float64 {
	return fadeBy(min(max(elapsed, 0), fadeStep), memory)
}

// fadeBy is what is left after elapsed of what fades to a third in memory.
func fadeBy(elapsed, memory time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / memory.Seconds())
}

// element returns a product of two features.
func (s *Sums) element(i, j int) float64 {
	if i > j {
		i, j = j, i
	}
	return s.Cross[i*terms-i*(i-1)/2+j-i]
}

// fitRounds is how many rounds of improvement a fit takes: it begins at the
// figures fitted before, and with three of them ten rounds change the last by
// under a hundredth.
const fitRounds = 40

// fit returns the figures, none below its floor, that explain the sums best;
// prior are those taken without observations, which count like a few of them.
func (s *Sums) fit(start, prior, floor, priorWeight [terms]float64) [terms]float64 {
	out := start
	for range fitRounds {
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
