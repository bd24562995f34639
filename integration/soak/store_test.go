package soak

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"acaciakeel/internal/standin/kv"
	"acaciakeel/platform"
)

// TestSoakStore guards against entries that lose what they keep in the store, which answers
// writes late, or behind their own events, while other writers replace and remove it.
func TestSoakStore(t *testing.T) {
	// In 108, 110 and 112 the count of entries was removed and never written again: a write
	// had the revision of the removal for the key's.
	seeds := []uint64{1, 108, 110, 112}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, regression{seed: seed, faults: storeFaults(), ownEntries: true})
		})
	}
}

func storeFaults() []fault {
	byName := func(f fault) bool {
		return slices.Contains([]string{"store away from one", "store loses answers to one", "store away from all", "entry killed", "entry stopped and started", "entry paused"}, f.name)
	}
	chosen := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !byName(f) })
	return append(chosen, lateAnswers, lateAnswers, ownEntry, ownEntry, ownEntry, newWeights, newWeights)
}

// mostLate is how late the store answers at most: close to where its clients give up.
const mostLate = 1100

// lateAnswers has the store answer writes late for a time.
var lateAnswers = fault{"store answers late", func(b *breaker) (time.Duration, func()) {
	b.site.service.SetFaults(kv.Faults{LateMS: 1 + b.random.IntN(mostLate)})
	return b.upTo(3 * time.Second), func() { b.site.service.SetFaults(kv.Faults{}) }
}}

// ownEntry replaces or removes an entry that only the entries themselves can write again.
var ownEntry = fault{"own entry", func(b *breaker) (time.Duration, func()) {
	keys := []string{"keel/orders", "keel/orders", "keel/entries"}
	for key := range b.site.members() {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	key := keys[b.random.IntN(len(keys))]
	b.played[len(b.played)-1] += " " + key
	if b.random.IntN(3) == 0 {
		b.site.store.Remove(key)
	} else {
		b.site.store.Set(key, oneOf(b.random, [][]byte{nil, []byte("nobody"), []byte("\xff\x00")}))
	}
	return 0, nil
}}

const membersPrefix = "keel/members/"

// members returns the members in the store, by key.
func (s *site) members() map[string]string {
	listing, err := platform.NewStore(s.server.URL).List(s.t.Context(), membersPrefix)
	if err != nil {
		return nil
	}
	out := map[string]string{}
	for _, e := range listing.Entries {
		out[e.Key] = string(e.Value)
	}
	return out
}

// ownEntriesStand reports whether the store has each entry among the members once, and their
// count.
func (s *site) ownEntriesStand() bool {
	members := s.members()
	for _, e := range s.entries {
		own := func(key string) bool { return strings.HasPrefix(key, membersPrefix+e.name+"/") }
		found := 0
		for key, value := range members {
			if own(key) && strings.HasPrefix(value, "127.0.0.1:") {
				found++
			}
		}
		if found != 1 {
			return false
		}
	}
	count, err := platform.NewStore(s.server.URL).Get(s.t.Context(), "keel/entries")
	if err != nil {
		return false
	}
	n, err := strconv.Atoi(string(count.Value))
	return err == nil && n >= len(s.entries)
}
