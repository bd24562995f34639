package placement

import (
	"cmp"
	"slices"

	"acaciakeel/prefix"
)

// RankTargets returns the targets of a plain service in the order in which a
// call's key goes to them. The first is the key's home. It ranks the
// configured targets, dead ones included, so that entries and agents that
// hold the same configuration agree whatever each sees of the links.
func RankTargets(targets []string, key string) []string {
	hash := prefix.NameHash(key)
	order := slices.Clone(targets)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Compare(prefix.RendezvousScore(prefix.NameHash(b), hash), prefix.RendezvousScore(prefix.NameHash(a), hash))
	})
	return order
}
