package node

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"acaciakeel/quota"
)

// Guards against usage of a stopping node that is lost, or counted once per group because the
// members of each group, which it sends to directly, also relayed it to the other groups.
func TestUsageOfStoppingNodeIsCountedOnce(t *testing.T) {
	const limitsHeld, tokens = 50, 1000
	limits := map[string]quota.Limit{}
	for i := range limitsHeld {
		limits[fmt.Sprint("c", i)] = quota.Limit{Rate: 1e-9, Burst: 1e6, Unit: quota.Tokens}
	}
	for _, n := range []int{20, 60} {
		h := newCluster(n)
		for _, p := range h.nodes {
			p.view.customerLimiter.SetLimits(limits, time.Now())
			p.view.targetLimiter.SetLimits(limits, time.Now())
		}
		round := queueDatagrams(h)
		for begun := time.Now(); time.Since(begun) < relayTimeout+digestInterval; {
			round()
		}
		stopping := h.nodes[n-1]
		for _, p := range h.nodes {
			p.view.setMember(stopping.view.self, "")
		}
		round()
		kinds := map[string]func(p *peerExchange) *quota.Limiter{
			"customers": func(p *peerExchange) *quota.Limiter { return p.view.customerLimiter },
			"targets":   func(p *peerExchange) *quota.Limiter { return p.view.targetLimiter },
		}
		for _, limiter := range kinds {
			for name := range limits {
				limiter(stopping).Consume(name, quota.Size{Tokens: tokens, Known: true}, time.Now())
			}
		}
		for range 8 {
			round()
		}
		for kind, limiter := range kinds {
			for i, p := range h.nodes[:n-1] {
				for _, u := range limiter(p).State(time.Now()).Customers {
					if counted := -u.Remaining; counted < 0.9*tokens || counted > 1.1*tokens {
						t.Fatalf("%d nodes, %s: n%d counts %.0f for %s, want %d", n, kind, i, counted, u.Customer, tokens)
					}
				}
			}
		}
	}
}

// queueDatagrams has the cluster's datagrams delivered after each round instead of within the
// send: nodes that aren't peers answer each other. It returns the function for a round.
func queueDatagrams(h *cluster) (round func()) {
	var queue []func()
	for _, p := range h.nodes {
		deliver := p.write
		p.write = func(datagram []byte, to netip.AddrPort) {
			sent := slices.Clone(datagram)
			queue = append(queue, func() { deliver(sent, to) })
		}
	}
	return func() {
		h.round()
		for len(queue) > 0 {
			next := queue[0]
			queue = queue[1:]
			next()
		}
	}
}
