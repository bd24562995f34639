// Package peering divides the nodes into groups. The members of a group send their
// updates to each other, and a few of them relay digests between groups. The package
// is deterministic and has no side effects: every node computes the same plan from the
// same list of members, so that no coordination is needed.
//
// With a full mesh each of n nodes would send and receive n updates a round. With
// groups it is the size of one group plus one digest of each other group.
package peering

import (
	"cmp"
	"slices"
	"strconv"

	"acaciakeel/prefix"
)

const (
	// MaxGroupSize bounds the members of a group. A member pauses 5 ms per peer between
	// two pulses, so with 25 members it receives the updates of each other one eight
	// times a second: about 200 datagrams a second in each direction. The CPU of a
	// small VM can process three times as many.
	MaxGroupSize = 25
	// relaysPerLink is how many members of a group may relay to another group. The
	// second one does so only while the first is silent.
	relaysPerLink = 2
)

// Member is one process of the deployment.
type Member struct {
	// Key identifies one run of the process; a restart gets a new key.
	Key string
	// Address is where the process receives datagrams.
	Address string
	// Zone is the data centre of the process; empty if it is not configured.
	Zone string
}

// Plan is the part of one process in the exchange of updates.
type Plan struct {
	Self string
	// Group is the index of the process's group, GroupCount the number of groups.
	Group      int
	GroupCount int
	// Peers are the other members of the group, in an order that all members compute
	// alike.
	Peers []Member
	// Rank is the position of the process in that order, for duties that only one
	// member of a group has to perform.
	Rank int
	// Links are the connections to the other groups.
	Links []Link
	// Joined is set if the process is in the list of members.
	Joined bool
}

// Link is the connection between the process's group and another one.
type Link struct {
	Group int
	// Relays are the keys of the members of the process's own group that may relay, in
	// order of preference.
	Relays []string
	// RemoteAddresses are the addresses of the relays of the other group.
	RemoteAddresses []string
}

// New returns the plan of the process with key self. Members are grouped in the order
// of their data centres, so that most traffic stays within one. As long as the number
// of groups stays the same, a member that joins or leaves moves at most one other
// member across each border between two groups.
func New(self string, members []Member) Plan {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(prefix.NameHash(a.Key), prefix.NameHash(b.Key)), cmp.Compare(a.Key, b.Key))
	})
	groups := partition(sorted)
	own := slices.IndexFunc(groups, func(g []Member) bool {
		return containsKey(g, self)
	})
	if own < 0 {
		return Plan{Self: self, GroupCount: len(groups)}
	}
	p := Plan{Self: self, Group: own, GroupCount: len(groups), Joined: true}
	for i, m := range ranked(groups[own], "duties") {
		if m.Key == self {
			p.Rank = i
			continue
		}
		p.Peers = append(p.Peers, m)
	}
	for other := range groups {
		if other != own {
			p.Links = append(p.Links, newLink(groups, own, other))
		}
	}
	return p
}

// RanksBefore reports whether the member with this key is a peer that comes before the
// process in rank.
func (p Plan) RanksBefore(key string) bool {
	return containsKey(p.Peers[:p.Rank], key)
}

// HasPeer reports whether the member with this key is one of the process's peers.
func (p Plan) HasPeer(key string) bool {
	return containsKey(p.Peers, key)
}

func containsKey(members []Member, key string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Key == key })
}

// MayRelay reports whether the process is one of the relays of l.
func (p Plan) MayRelay(l Link) bool {
	return slices.Contains(l.Relays, p.Self)
}

// partition divides the sorted members into the smallest number of groups, whose sizes
// differ by at most one.
func partition(sorted []Member) [][]Member {
	n := (len(sorted) + MaxGroupSize - 1) / MaxGroupSize
	groups := make([][]Member, n)
	for i, m := range sorted {
		at := i * n / len(sorted)
		groups[at] = append(groups[at], m)
	}
	return groups
}

func newLink(groups [][]Member, own, other int) Link {
	l := Link{Group: other}
	for _, m := range relays(groups, own, other) {
		l.Relays = append(l.Relays, m.Key)
	}
	for _, m := range relays(groups, other, own) {
		l.RemoteAddresses = append(l.RemoteAddresses, m.Address)
	}
	return l
}

// relays returns the members of one group that may relay to another.
func relays(groups [][]Member, from, to int) []Member {
	candidates := ranked(groups[from], "to group "+strconv.Itoa(to))
	return candidates[:min(relaysPerLink, len(candidates))]
}

// ranked orders members by rendezvous hashing. Each duty has another order, which
// spreads the duties, and the relative order of members does not change when one joins
// or leaves.
func ranked(members []Member, duty string) []Member {
	hash := prefix.NameHash(duty)
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Compare(prefix.RendezvousScore(prefix.NameHash(b.Key), hash), prefix.RendezvousScore(prefix.NameHash(a.Key), hash))
	})
	return out
}
