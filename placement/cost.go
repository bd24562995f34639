package placement

import "math"

// CostWeights say how prefix reuse weighs against waiting.
type CostWeights struct {
	Miss float64
	Wait float64
}

// lifetimeScale is the lifetime of cached blocks, in seconds, at which
// displacing them costs 1/e of what it costs where they are evicted at once:
// the time within which a file is usually asked about again.
const lifetimeScale = 10

// pressure returns, from 0 to 1, how likely the blocks that new ones displace
// at a runner would have been used again.
func pressure(a Estimate) float64 {
	if a.LifetimeSeconds == 0 {
		return 0
	}
	return math.Exp(-a.LifetimeSeconds / lifetimeScale)
}

// assumedRate serves while no runner has measured its prefill rate, in tokens
// a second.
const assumedRate = 20000

// FillPrefillRates gives the answers of runners that have not measured their prefill
// rate the mean of the others: taken for slow, a new runner would get no work
// and never be measured.
func FillPrefillRates(answers []Estimate) {
	sum, n := 0.0, 0
	for _, a := range answers {
		if a.PrefillRate > 0 {
			sum += a.PrefillRate
			n++
		}
	}
	mean := float64(assumedRate)
	if n > 0 {
		mean = sum / float64(n)
	}
	for i := range answers {
		if answers[i].PrefillRate == 0 {
			answers[i].PrefillRate = mean
		}
	}
}

// TimeToFirstToken returns the expected seconds to the first token, unweighted.
func TimeToFirstToken(a Estimate, promptTokens int) float64 {
	missing := float64(max(0, promptTokens-a.CachedTokens))
	return missing/max(a.PrefillRate, 1) + a.WaitSeconds
}

// Cost returns the expected seconds to the first token at a runner, weighted.
// Missing tokens cost the caller's wait, the runner's time that someone else
// could have had, and the blocks that they displace from its cache.
func Cost(a Estimate, promptTokens int, w CostWeights) float64 {
	missing := float64(max(0, promptTokens-a.CachedTokens))
	prefill := missing / max(a.PrefillRate, 1)
	return (w.Miss+pressure(a))*prefill + w.Wait*a.WaitSeconds + a.PenaltySeconds + a.NetworkSeconds
}
