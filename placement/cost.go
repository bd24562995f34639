package placement

// Weights say how prefix reuse weighs against waiting.
type Weights struct {
	Miss float64
	Wait float64
}

// Cost returns the expected seconds to the first token at a runner, weighted.
// Missing tokens cost twice over: the caller waits for them, and the runner
// computes them instead of someone else's.
func Cost(a Answer, promptTokens int, w Weights) float64 {
	missing := float64(max(0, promptTokens-a.CachedTokens))
	prefill := missing / max(a.PrefillRate, 1)
	return w.Miss*prefill + w.Wait*a.WaitSeconds + a.PenaltySeconds + a.LinkSeconds
}
