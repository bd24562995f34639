package fleet

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a customer's rank that yields to a route's, and against requests of
// customers with one rank that lose the order of their routes.
func TestCustomerRankPrecedesRouteRank(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rank := func(name string) int { return rapid.IntRange(-3, 12).Draw(rt, name) }
		customer, route, otherCustomer, otherRoute := rank("customer"), rank("route"), rank("other customer"), rank("other route")
		p, other := Priority(customer, route), Priority(otherCustomer, otherRoute)
		if p < 0 || p > 9 {
			rt.Errorf("priority %d is out of range", p)
		}
		c, o := clampRank(customer), clampRank(otherCustomer)
		if c < o && p >= other || c == o && clampRank(route) < clampRank(otherRoute) && p >= other {
			rt.Errorf("ranks %d, %d have priority %d; ranks %d, %d have %d", customer, route, p, otherCustomer, otherRoute, other)
		}
		if p <= other && PriorityClass(p) > PriorityClass(other) {
			rt.Errorf("priorities %d and %d have classes %d and %d", p, other, PriorityClass(p), PriorityClass(other))
		}
	})
}
