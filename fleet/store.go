package fleet

import (
	"time"

	"acaciakeel/prefix"
)

// keptStore is a store of kept KV cache.
type keptStore struct {
	cache
	// saving is when each part was last sent there for the first time, until
	// its event comes.
	saving   map[uint64]time.Time
	zone     string
	linkMbps float64
}

// KeptStore is a store of kept KV cache.
type KeptStore struct {
	Address string
	// Capacity is its room in tokens.
	Capacity int
	Zone     string
	LinkMbps float64
}

// SetStores says which stores of kept KV cache there are.
func (f *Fleet) SetStores(stores []KeptStore) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := map[string]*keptStore{}
	for _, s := range stores {
		have := f.stores[s.Address]
		if have == nil {
			have = &keptStore{cache: newCache(), saving: map[uint64]time.Time{}}
		}
		have.capacity, have.zone, have.linkMbps = s.Capacity, s.Zone, s.LinkMbps
		next[s.Address] = have
	}
	f.stores = next
}

// saveAgain is after how long a part that was sent to a store and of which the
// store said nothing is sent again.
const saveAgain = 3 * time.Second

// saveTo returns the store that a prompt's shared parts are to be sent to, or
// "" where they are there already or on their way.
func (f *Fleet) saveTo(chain prefix.Chain, now time.Time) string {
	if len(chain.Levels) == 0 {
		return ""
	}
	deepest := chain.Levels[len(chain.Levels)-1].Hash
	address, k := f.storeOf(deepest)
	if k == nil || k.cached.has(deepest) || now.Sub(k.saving[deepest]) < saveAgain {
		return ""
	}
	for hash, at := range k.saving {
		if now.Sub(at) >= saveAgain {
			delete(k.saving, hash)
		}
	}
	k.saving[deepest] = now
	return address
}

// farFetch returns how much longer a store's link is taken by what a runner
// lacks of a prompt's shared parts where the runner stands in another zone: such
// a transfer takes twice as long, and all runners share that link.
func (f *Fleet) farFetch(q Query, chain prefix.Chain, s *state, cached int) time.Duration {
	lacks := sharedTokens(chain) - cached
	if lacks <= 0 {
		return 0
	}
	_, k := f.storeOf(chain.Levels[len(chain.Levels)-1].Hash)
	if k == nil || k.linkMbps <= 0 || k.zone == s.runner.Zone {
		return 0
	}
	bits := float64(lacks) * float64(q.TokenBytes) * 8
	return time.Duration(bits / (k.linkMbps * 1e6) * float64(time.Second))
}

// storeOf returns the store that keeps a part: the same one for all processes,
// so that each part is kept once.
func (f *Fleet) storeOf(part uint64) (string, *keptStore) {
	best, score := "", uint64(0)
	for address, k := range f.stores {
		if k.silent {
			continue
		}
		if s := prefix.Score(prefix.NameHash(address), part); best == "" || s > score {
			best, score = address, s
		}
	}
	return best, f.stores[best]
}
