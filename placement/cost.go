package placement

import "math"

// CostWeights sets the weight of missing cached tokens (Miss) against that of waiting
// (Wait).
type CostWeights struct {
	Miss float64
	Wait float64
}

// lifetimeScaleSeconds is the lifetime of cached blocks at which displacing them costs
// 1/e of what it costs where they are evicted at once. It is the time within which the
// next question about the same file usually arrives.
const lifetimeScaleSeconds = 10

// evictionRisk returns, from 0 to 1, how likely it is that the blocks displaced by new
// ones would have been used again.
func evictionRisk(e Estimate) float64 {
	if e.LifetimeSeconds == 0 {
		return 0
	}
	return math.Exp(-e.LifetimeSeconds / lifetimeScaleSeconds)
}

// defaultPrefillRate, in tokens per second, is assumed while no runner has measured its
// prefill rate.
const defaultPrefillRate = 20000

// FillPrefillRates sets missing prefill rates to the mean of the measured ones. If a
// new runner were assumed to be slow, it would get no work and its rate would never be
// measured.
func FillPrefillRates(estimates []Estimate) {
	sum, n := 0.0, 0
	for _, a := range estimates {
		if a.PrefillRate > 0 {
			sum += a.PrefillRate
			n++
		}
	}
	mean := float64(defaultPrefillRate)
	if n > 0 {
		mean = sum / float64(n)
	}
	for i := range estimates {
		if estimates[i].PrefillRate == 0 {
			estimates[i].PrefillRate = mean
		}
	}
}

// TimeToFirstToken returns the expected time to the first token in seconds, unweighted.
func TimeToFirstToken(e Estimate, promptTokens int) float64 {
	missing := float64(max(0, promptTokens-e.CachedTokens))
	return missing/max(e.PrefillRate, 1) + e.WaitSeconds
}

// Cost returns the weighted expected time to the first token at a runner, in seconds.
// The cost of missing tokens covers the caller's wait, the runner time that other
// requests lose, and the blocks that the new ones displace from the cache.
func Cost(e Estimate, promptTokens int, w CostWeights) float64 {
	missing := float64(max(0, promptTokens-e.CachedTokens))
	prefill := missing / max(e.PrefillRate, 1)
	return (w.Miss+evictionRisk(e))*prefill + w.Wait*e.WaitSeconds + e.PenaltySeconds + e.NetworkSeconds
}
