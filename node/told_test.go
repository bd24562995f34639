package node

import (
	"fmt"
	"slices"
	"testing"
)

// In a large fleet a node tells a bounded number of peers, and one that comes or
// goes changes little of which: every change costs a connection.
func TestToldPeersAreFewAndStay(t *testing.T) {
	var peers []string
	for i := range 300 {
		peers = append(peers, fmt.Sprintf("10.0.0.%d:1", i))
	}
	before := slices.Clone(told("self", slices.Clone(peers)))
	if len(before) != peersFar {
		t.Fatalf("%d peers are told, want %d", len(before), peersFar)
	}
	gone := before[3]
	after := told("self", slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return p == gone }))
	kept := 0
	for _, p := range after {
		if slices.Contains(before, p) {
			kept++
		}
	}
	if kept != peersFar-1 {
		t.Errorf("%d of %d peers stayed after one left", kept, peersFar)
	}
	if some := told("self", slices.Clone(peers[:30])); len(some) != peersMost {
		t.Errorf("of 30 peers %d are told, want %d", len(some), peersMost)
	}
	if few := told("self", peers[:2]); len(few) != 2 {
		t.Errorf("of two peers %d are told", len(few))
	}
}
