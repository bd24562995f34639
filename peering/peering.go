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
	"math"
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
	// relaysPerLink is how many members of a group may relay to another group. Each
	// one does so only while those before it are silent. A crashed member stays in the
	// list until its lease expires, so with two relays the loss of both interrupted the
	// exchange for two seconds.
	relaysPerLink = 4
	// AddressedRelays is how many relays of the other group a digest is sent to while
	// one of them responds; otherwise it is sent to all.
	AddressedRelays = 2
	// DefaultLinkMbps is assumed for a member that does not state its link, and is the
	// bandwidth from which on digests need no bound by link.
	DefaultLinkMbps = 20
	// relayLinkMbps is the bandwidth from which on a link suffices for any relay: a
	// full digest of 256 KB/s forwarded to 24 peers takes about a quarter of it.
	relayLinkMbps = 160
)

// Member is one process of the deployment.
type Member struct {
	// Key identifies one run of the process; a restart gets a new key.
	Key string
	// Address is where the process receives datagrams.
	Address string
	// Zone is the data centre of the process; empty if it is not configured.
	Zone string
	// LinkMbps is the bandwidth of the process's network link; 0 if it is not known.
	LinkMbps float64
}

// Link returns the bandwidth of the member's link in Mbit/s.
func (m Member) Link() float64 {
	if !(m.LinkMbps > 0) || math.IsInf(m.LinkMbps, 1) {
		return DefaultLinkMbps
	}
	return m.LinkMbps
}

// linkClass returns the capacity class of the member's link; classes differ by a
// factor of two. Members of one class are interchangeable as relays.
func (m Member) linkClass() int {
	return int(math.Floor(math.Log2(min(m.Link(), relayLinkMbps) / DefaultLinkMbps)))
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
	// SlowLinks is set if any member's link is slower than DefaultLinkMbps. Relays are
	// then chosen by bandwidth, and digests are bounded by the relays' links.
	SlowLinks bool
	// LinkMbps is the bandwidth of the process's own link.
	LinkMbps float64
	// Guests are the processes outside of the group that this one exchanges limits with.
	// Those of a member left the list recently and belonged to its group. Those of a
	// process that is not in the list are the members of the group it belongs to.
	Guests []Member
}

// Link is the connection between the process's group and another one.
type Link struct {
	Group int
	// Relays are the keys of the members of the process's own group that may relay, in
	// order of preference.
	Relays []string
	// RemoteRelays are the keys of the relays of the other group, in order of
	// preference, and RemoteAddresses their addresses.
	RemoteRelays    []string
	RemoteAddresses []string
	// RemoteLinkMbps is the bandwidth of the first relay of the other group, and
	// RemotePeers the number of members that it forwards to.
	RemoteLinkMbps float64
	RemotePeers    int
}

// New returns the plan of the process with key self. Members are grouped in the order
// of their data centres, so that most traffic stays within one. As long as the number
// of groups stays the same, a member that joins or leaves moves at most one other
// member across each border between two groups.
func New(self string, members []Member) Plan {
	groups := partition(sortMembers(members))
	own := slices.IndexFunc(groups, func(g []Member) bool {
		return containsKey(g, self)
	})
	if own < 0 {
		return Plan{Self: self, GroupCount: len(groups)}
	}
	slow := slices.ContainsFunc(members, func(m Member) bool { return m.Link() < DefaultLinkMbps })
	p := Plan{Self: self, Group: own, GroupCount: len(groups), Joined: true, SlowLinks: slow}
	for i, m := range ranked(groups[own], "duties") {
		if m.Key == self {
			p.Rank, p.LinkMbps = i, m.Link()
			continue
		}
		p.Peers = append(p.Peers, m)
	}
	for other := range groups {
		if other != own {
			p.Links = append(p.Links, newLink(groups, own, other, slow))
		}
	}
	return p
}

// sortMembers returns the members in the order in which they are divided into groups.
func sortMembers(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(prefix.NameHash(a.Key), prefix.NameHash(b.Key)), cmp.Compare(a.Key, b.Key))
	})
	return sorted
}

// Home returns the group that a process outside of the list belongs to, and its members:
// the one that it would be in as a member.
func Home(m Member, members []Member) (group int, peers []Member) {
	if len(members) == 0 {
		return 0, nil
	}
	with := partition(sortMembers(append(slices.Clone(members), m)))
	group = slices.IndexFunc(with, func(g []Member) bool { return containsKey(g, m.Key) })
	groups := partition(sortMembers(members))
	group = min(group, len(groups)-1)
	return group, groups[group]
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

// NeedsReply reports whether the process with this key gets no updates from this one. A process
// that is not in the list sends its own to the members of its group, so it does not reply to them.
func (p Plan) NeedsReply(key string) bool {
	return !p.HasPeer(key) && (p.Joined || !containsKey(p.Guests, key))
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

func newLink(groups [][]Member, own, other int, byBandwidth bool) Link {
	l := Link{Group: other, RemotePeers: len(groups[other]) - 1}
	for _, m := range relays(groups, own, other, byBandwidth) {
		l.Relays = append(l.Relays, m.Key)
	}
	for i, m := range relays(groups, other, own, byBandwidth) {
		l.RemoteRelays = append(l.RemoteRelays, m.Key)
		l.RemoteAddresses = append(l.RemoteAddresses, m.Address)
		if i == 0 {
			l.RemoteLinkMbps = m.Link()
		}
	}
	return l
}

// relays returns the members of one group that may relay to another, in order of
// preference. Within a capacity class the order is that of rendezvous hashing.
func relays(groups [][]Member, from, to int, byBandwidth bool) []Member {
	candidates := ranked(groups[from], "to group "+strconv.Itoa(to))
	if byBandwidth {
		slices.SortStableFunc(candidates, func(a, b Member) int { return cmp.Compare(b.linkClass(), a.linkClass()) })
	}
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
