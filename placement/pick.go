package placement

// tieSeconds is the difference in cost below which the ranking decides, so that noise
// in the estimates does not move a prefix away from the runners that hold it.
const tieSeconds = 0.002

// Pick returns the index of the ready estimate with the least cost, or -1. The
// estimates are in rendezvous order, and earlier ones win ties.
func Pick(estimates []Estimate, promptTokens int, w CostWeights) int {
	best := -1
	bestCost := 0.0
	for i, e := range estimates {
		if !e.Ready {
			continue
		}
		cost := Cost(e, promptTokens, w)
		if best < 0 || cost < bestCost-tieSeconds {
			best, bestCost = i, cost
		}
	}
	return best
}
