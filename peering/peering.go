// Package peering divides the processes of the system into groups whose members
// tell each other everything, and says which of them relay a group's news to the
// other groups. It is pure: every process works out the same plan from the same
// list of members, so that nothing has to be agreed.
//
// Were each of n processes to tell all others, each would send and hear n news a
// round; with groups it is the size of one group and a summary of each other one.
package peering

import (
	"cmp"
	"slices"
	"strconv"

	"acaciakeel/prefix"
)

const (
	// MaxGroupSize is how many members a group has at most. At 5 ms a peer between two
	// tellings each hears of all others of its group eight times a second, at some
	// 200 datagrams a second in and out: a small machine's processor bears three
	// times that.
	MaxGroupSize = 25
	// relaysPerLink is how many members may relay news between two groups: the
	// second does so while nothing is heard of the first.
	relaysPerLink = 2
)

// Member is one process of the system.
type Member struct {
	// Key names one start of the process.
	Key string
	// Address is where it hears the others.
	Address string
	// Zone is where it stands; empty where it did not say.
	Zone string
}

// Plan is what one process has to do with the others.
type Plan struct {
	// Self is the process's key.
	Self string
	// Group is the process's group, of Groups.
	Group      int
	GroupCount int
	// Peers are the other members of its group, in the order that all of them find.
	Peers []Member
	// Rank is how many of them come before the process in that order, for duties of
	// which one member of a group is enough.
	Rank int
	// Links are the ways to the other groups.
	Links []Link
	// Joined is set where the process is among the members.
	Joined bool
}

// Link is the way between the process's group and another one.
type Link struct {
	Group int
	// Relays are the keys of the own group's members that relay, first choice first.
	Relays []string
	// RemoteAddresses are the addresses of the members that relay at the other group.
	RemoteAddresses []string
}

// New returns the plan of the process with key self. Members are divided in the
// order of their zones, so that most news stays within one, and a member that comes
// or goes moves at most one other between any two groups.
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

// RanksBefore reports whether a member's turn comes before the process's own.
func (p Plan) RanksBefore(key string) bool {
	return containsKey(p.Peers[:p.Rank], key)
}

// HasPeer reports whether the member with a key is among those that the process tells.
func (p Plan) HasPeer(key string) bool {
	return containsKey(p.Peers, key)
}

// containsKey reports whether the member with a key is among some.
func containsKey(members []Member, key string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Key == key })
}

// MayRelay reports whether the process is among those that relay on a link.
func (p Plan) MayRelay(l Link) bool {
	return slices.Contains(l.Relays, p.Self)
}

// partition cuts the members into as few groups as may be, all of one size but for one.
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

// relays returns the members of one group that relay between it and another.
func relays(groups [][]Member, from, to int) []Member {
	candidates := ranked(groups[from], "to group "+strconv.Itoa(to))
	return candidates[:min(relaysPerLink, len(candidates))]
}

// ranked returns members in an order by rendezvous, which differs with each duty so
// that duties spread, and stays for the rest when one comes or goes.
func ranked(members []Member, duty string) []Member {
	hash := prefix.NameHash(duty)
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Compare(prefix.RendezvousScore(prefix.NameHash(b.Key), hash), prefix.RendezvousScore(prefix.NameHash(a.Key), hash))
	})
	return out
}
