package placement

// tieSeconds is the difference in cost below which the order decides: noise
// must not pull a prefix away from the runners that hold it.
const tieSeconds = 0.002

// Pick returns the index of the cheapest answer that is ready, or -1. Answers
// are in the order of rendezvous, and earlier ones win ties.
func Pick(answers []Estimate, promptTokens int, w CostWeights) int {
	best := -1
	bestCost := 0.0
	for i, a := range answers {
		if !a.Ready {
			continue
		}
		cost := Cost(a, promptTokens, w)
		if best < 0 || cost < bestCost-tieSeconds {
			best, bestCost = i, cost
		}
	}
	return best
}
