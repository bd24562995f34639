package placement

import (
	"cmp"
	"slices"

	"acaciakeel/prefix"
)

// RankTargets returns the targets of a plain service in the order in which calls with
// the key are sent to them; the first one owns the key. It ranks all configured
// targets, including those that are down, so that entries and agents with the same
// configuration agree even if they see different link states.
func RankTargets(targets []string, key string) []string {
	hash := prefix.NameHash(key)
	order := slices.Clone(targets)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Compare(prefix.RendezvousScore(prefix.NameHash(b), hash), prefix.RendezvousScore(prefix.NameHash(a), hash))
	})
	return order
}
