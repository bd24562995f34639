package peering

import (
	"fmt"
	"slices"
	"testing"
)

func members(n int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{Key: fmt.Sprintf("m/%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: fmt.Sprintf("z%d", i%5)}
	}
	return out
}

// With over 40 nodes each one updated 12 others a second, so prompts went to runners
// that a hundred other nodes had filled. Updates must reach all at bounded cost.
func TestUpdatesReachAllMembersAtAnySize(t *testing.T) {
	for _, n := range []int{1, 2, 3, 20, 25, 26, 40, 41, 50, 51, 103, 300, 370, 1000} {
		all := members(n)
		plans := map[string]Plan{}
		byAddress := map[string]string{}
		for _, m := range all {
			plans[m.Key] = New(m.Key, all)
			byAddress[m.Address] = m.Key
		}
		relayLinks, maxPeers := map[string]int{}, 0
		for key, p := range plans {
			reached := map[string]bool{key: true}
			for _, peer := range p.Peers {
				reached[peer.Key] = true
			}
			for _, l := range p.Links {
				if len(l.RemoteAddresses) == 0 || len(l.Relays) == 0 {
					t.Fatalf("%d members: no link from group %d to %d", n, p.Group, l.Group)
				}
				if l.Relays[0] == key {
					relayLinks[key]++
				}
				remote := plans[byAddress[l.RemoteAddresses[0]]]
				if remote.Group != l.Group || remote.Links[slices.IndexFunc(remote.Links, func(b Link) bool { return b.Group == p.Group })].Relays[0] != byAddress[l.RemoteAddresses[0]] {
					t.Fatalf("%d members: group %d relays to a member of group %d that is not its first relay", n, p.Group, l.Group)
				}
				reached[byAddress[l.RemoteAddresses[0]]] = true
				for _, peer := range remote.Peers {
					reached[peer.Key] = true
				}
			}
			if len(reached) != n {
				t.Errorf("%d members: updates of %s reach %d", n, key, len(reached))
			}
			maxPeers = max(maxPeers, len(p.Peers))
		}
		if maxPeers >= MaxGroupSize {
			t.Errorf("%d members: one has %d peers", n, maxPeers)
		}
		for key, d := range relayLinks {
			if d > 8 {
				t.Errorf("%d members: %s relays to %d groups", n, key, d)
			}
		}
	}
}

// If a member that joins or leaves regrouped all others, each node would exchange
// updates with new peers and lose what it knew of the old ones.
func TestGroupsStableOnMembershipChange(t *testing.T) {
	all := members(103)
	before := map[string]int{}
	for _, m := range all {
		before[m.Key] = New(m.Key, all).Group
	}
	remaining := slices.Delete(slices.Clone(all), 50, 51)
	moved := 0
	for _, m := range remaining {
		if New(m.Key, remaining).Group != before[m.Key] {
			moved++
		}
	}
	if moved > New("m/0", all).GroupCount {
		t.Errorf("%d of 102 members changed groups when one left", moved)
	}
}

// A process that is not yet or no longer a member shares no duties.
func TestPlanOfNonMember(t *testing.T) {
	if p := New("stranger", members(30)); p.Joined || len(p.Peers) != 0 || len(p.Links) != 0 {
		t.Errorf("plan of a non-member: %+v", p)
	}
	if p := New("stranger", nil); p.Joined || p.GroupCount != 0 {
		t.Errorf("plan without members: %+v", p)
	}
}
