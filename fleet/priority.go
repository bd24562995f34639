package fleet

// Ranks above maxRank count as maxRank, so that customer and route ranks together fit into
// the priorities that targets know, 0 to 9.
const (
	maxRank      = 2
	routeRanks   = maxRank + 1
	routeClasses = 2
)

// PriorityClasses is the number of classes into which priorities are grouped. Load and
// demand are exchanged by class, so that the size of datagrams does not depend on how many
// priorities a deployment uses.
const PriorityClasses = routeRanks * routeClasses

// Priority combines two ranks, 0 being the most urgent, into one priority. customerRank is
// that of the customer, which takes precedence; routeRank orders the requests of customers
// with the same rank. A customer without a rank has that of the route. Ranks out of range
// are clamped.
func Priority(customerRank, routeRank int) int {
	return routeRanks*clampRank(customerRank) + clampRank(routeRank)
}

func clampRank(rank int) int {
	return min(max(rank, 0), maxRank)
}

// PriorityClass returns the class of a priority: each customer rank has one class for the
// most urgent route rank and one for all others.
func PriorityClass(priority int) int {
	priority = min(max(priority, 0), Priority(maxRank, maxRank))
	return routeClasses*(priority/routeRanks) + min(priority%routeRanks, routeClasses-1)
}
