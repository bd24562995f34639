package node

import (
	"testing"
	"testing/synctest"
	"time"

	"acaciakeel/sharing"
)

// Guards against entries that decide without the demand of other groups, or count themselves
// as partitioned because the totals of some entries do not reach them.
func TestDemandReachesAllGroups(t *testing.T) {
	// In virtual time, demand decays by what the rounds take, not by what a busy machine takes.
	synctest.Test(t, checkDemandReachesAllGroups)
}

func checkDemandReachesAllGroups(t *testing.T) {
	const nodes = 41
	h := newCluster(nodes)
	ask := func(i int, class int, slot time.Duration) {
		h.nodes[i].sharer.Decide(sharing.Request{Service: "lm", Class: class, Customer: "c", Cost: sharing.Cost{Slot: slot}, Targets: 10, Content: sharing.Content{byte(i), byte(class)}}, time.Now())
	}
	for i, p := range h.nodes {
		p.view.servingNodes.Store(nodes)
		ask(i, 0, time.Millisecond)
	}
	ask(7, 2, 10*time.Second)
	for range 5 {
		h.round()
	}
	for i, p := range h.nodes {
		now := time.Now()
		for _, s := range p.sharer.States(now) {
			if s.Part != 1 {
				t.Errorf("n%d counts %.3f of the entries", i, s.Part)
			}
		}
		asked := 0.0
		for _, s := range p.sharer.Shares(now) {
			if s.Class == 2 {
				asked = s.Asked
			}
		}
		// Of one target time per second, a part has decayed since.
		if asked < 0.1 || asked > 1.1 {
			t.Errorf("n%d counts demand of %.3f", i, asked)
		}
	}
}
