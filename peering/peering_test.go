package peering

import (
	"fmt"
	"math"
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

// relayLinks returns the links, in Mbit/s, of the relays of the first group to the second.
func relayLinks(all []Member) []float64 {
	by := map[string]Member{}
	for _, m := range all {
		by[m.Key] = m
	}
	for _, m := range all {
		if p := New(m.Key, all); p.Group == 0 {
			var out []float64
			for _, key := range p.Links[0].Relays {
				out = append(out, by[key].Link())
			}
			return out
		}
	}
	return nil
}

// Guards against relays on links of 10 Mbit/s while members with 200 Mbit/s are there: forwarding
// digests filled the relays' links, and for 4 s nothing arrived.
func TestRelaysPreferBandwidth(t *testing.T) {
	all := members(31)
	for i := range all {
		all[i].LinkMbps = 10
		if i%4 == 0 {
			all[i].LinkMbps = 200
		}
	}
	links := relayLinks(all)
	if len(links) != relaysPerLink || !slices.IsSortedFunc(links, func(a, b float64) int { return int(b - a) }) || links[0] != 200 || links[1] != 200 {
		t.Errorf("links of the relays: %v", links)
	}
	for _, m := range all {
		reversed := slices.Clone(all)
		slices.Reverse(reversed)
		a, b := New(m.Key, all), New(m.Key, reversed)
		if !slices.Equal(a.Links[0].Relays, b.Links[0].Relays) || !slices.Equal(a.Links[0].RemoteRelays, b.Links[0].RemoteRelays) || !a.SlowLinks {
			t.Fatalf("the plan of %s depends on the order of the list", m.Key)
		}
	}
}

// Guards against a change of relays in deployments whose links suffice, and against a member
// without a usable figure that counts as slow.
func TestRelaysKeepTheirOrderWithoutSlowLinks(t *testing.T) {
	all := members(60)
	before := map[string]Plan{}
	for _, m := range all {
		before[m.Key] = New(m.Key, all)
	}
	for i, mbps := range []float64{20, 200, math.NaN(), 0, -3, math.Inf(1), 1000} {
		for at := i; at < len(all); at += 7 {
			all[at].LinkMbps = mbps
		}
	}
	for _, m := range all {
		p := New(m.Key, all)
		if p.SlowLinks {
			t.Fatal("links of 20 Mbit/s and more count as slow")
		}
		for i, l := range p.Links {
			if !slices.Equal(l.Relays, before[m.Key].Links[i].Relays) || !slices.Equal(l.RemoteAddresses, before[m.Key].Links[i].RemoteAddresses) {
				t.Fatalf("%s: other relays because of links that suffice", m.Key)
			}
		}
	}
}

// Guards against a stopping process that the members of several groups, or of none, take for one
// of theirs: its usage of limits would be counted several times or not at all.
func TestHomeOfDepartedMember(t *testing.T) {
	for _, n := range []int{1, 2, 26, 31, 51, 103} {
		all := members(n)
		for _, gone := range all {
			remaining := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.Key == gone.Key })
			group, peers := Home(gone, remaining)
			if n == 1 {
				if len(peers) != 0 {
					t.Errorf("%d peers without members", len(peers))
				}
				continue
			}
			homes := 0
			for _, m := range remaining {
				if New(m.Key, remaining).Group == group {
					homes++
					if !containsKey(peers, m.Key) {
						t.Fatalf("%d members: %s of group %d is no peer of %s", n, m.Key, group, gone.Key)
					}
				}
			}
			if homes == 0 || homes != len(peers) {
				t.Errorf("%d members: %s has %d peers in a group of %d", n, gone.Key, len(peers), homes)
			}
			if n > 31 {
				break
			}
		}
	}
}
