package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciakeel/fleet"
	"acaciakeel/prefix"
)

// BenchmarkRound is one update of each of 103 nodes with 160 runners and six requests per node
// in progress; divide by 103 for one node.
func BenchmarkRound(b *testing.B) {
	h := newCluster(103)
	for i, p := range h.nodes {
		for r := range 160 {
			p.fleet.Put(fleet.Target{ID: fmt.Sprintf("i-%010d", r), Service: "lm", Address: fmt.Sprintf("10.1.0.%d:80", r), Slots: 16, Weights: map[string]int64{model: 1}})
		}
		for range 6 {
			shared := prefix.Chain{Tokens: 900, Boundaries: []prefix.Boundary{{Hash: rand.Uint64(), Tokens: 400}, {Hash: rand.Uint64(), Tokens: 900}}}
			p.fleet.Begin(fleet.Instance{ID: fmt.Sprintf("i-%010d", (i*6+rand.IntN(160))%160)}, fleet.RequestLoad{Chain: shared, UncachedTokens: 900, PromptTokens: 900}, time.Now())
		}
	}
	b.ResetTimer()
	for b.Loop() {
		for _, p := range h.nodes {
			p.send(p.view.plan())
		}
	}
}
