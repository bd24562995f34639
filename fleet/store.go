package fleet

import (
	"time"

	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// keptStore is a store of kept KV cache.
type keptStore struct {
	cache
	// saving is when each part was last sent there for the first time, by
	// whichever process, until its event comes.
	saving map[uint64]sending
	// untoldSaves are those that the other processes were not told of yet.
	untoldSaves []uint64
	zone        string
	linkMbps    float64
}

// sending is a part on its way to a store.
type sending struct {
	at time.Time
	// by is the target that this process has send it; empty where another
	// process said so.
	by string
}

// KVCacheStore is a store of kept KV cache.
type KVCacheStore struct {
	Address string
	// Capacity is its room in tokens.
	Capacity int
	Zone     string
	LinkMbps float64
}

// SetStores says which stores of kept KV cache there are.
func (f *Fleet) SetStores(stores []KVCacheStore) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := map[string]*keptStore{}
	for _, s := range stores {
		have := f.stores[s.Address]
		if have == nil {
			have = &keptStore{cache: newCache(), saving: map[uint64]sending{}}
		}
		have.capacity, have.zone, have.linkMbps = s.Capacity, s.Zone, s.LinkMbps
		next[s.Address] = have
	}
	f.stores = next
}

// movedLeast is the least shared tokens of a prompt that are worth a transfer: fewer
// are read in a few milliseconds.
const movedLeast = 512

// saveAgain is after how long a part that was sent to a store and of which the
// store said nothing is sent again.
const saveAgain = 3 * time.Second

// saveTo returns the store that a prompt's shared parts are to be sent to, or
// "" where they are there already or on their way. By is the target that sends
// them.
func (f *Fleet) saveTo(chain prefix.Chain, by string, now time.Time) string {
	if sharedTokens(chain) < movedLeast || f.off[policy.CacheSaving] {
		return ""
	}
	deepest := chain.Levels[len(chain.Levels)-1].Hash
	address, k := f.storeOf(deepest)
	if k == nil || k.cached.Has(deepest) || now.Sub(k.saving[deepest].at) < saveAgain {
		return ""
	}
	k.forgetSaves(now)
	k.saving[deepest] = sending{at: now, by: by}
	k.untoldSaves = append(k.untoldSaves, deepest)
	return address
}

// forgetSaves forgets the sends that a store would have told of by now.
func (k *keptStore) forgetSaves(now time.Time) {
	for hash, sent := range k.saving {
		if now.Sub(sent.at) >= saveAgain {
			delete(k.saving, hash)
		}
	}
}

// Saves are the parts that a process had sent to a store.
type Saves struct {
	Store string
	Parts []uint64
}

// Saves returns the parts that this process had sent to stores since the last
// call, to be told to the other processes: a part takes a second from its
// first reading to the store's word that it is there, and were each process to
// send it meanwhile, a third of all that stores get would be there already.
func (f *Fleet) Saves() []Saves {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Saves
	for address, k := range f.stores {
		if len(k.untoldSaves) > 0 {
			out = append(out, Saves{Store: address, Parts: k.untoldSaves})
			k.untoldSaves = nil
		}
	}
	return out
}

// MergeSaves takes what another process had sent to stores.
func (f *Fleet) MergeSaves(all []Saves, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range all {
		k := f.stores[s.Store]
		if k == nil {
			continue
		}
		k.forgetSaves(now)
		for _, part := range s.Parts {
			k.saving[part] = sending{at: now}
		}
	}
}

// farFetch returns what it costs that a store's link is taken for longer by what
// a runner lacks of a prompt's shared parts where the runner stands in another
// zone: such a transfer takes twice as long, and all runners share that link.
func (f *Fleet) farFetch(q Query, chain prefix.Chain, s *state, cached int) time.Duration {
	lacks := sharedTokens(chain) - cached
	if lacks <= 0 || f.off[policy.CrossDataCentreLinks] {
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
		if s := prefix.RendezvousScore(prefix.NameHash(address), part); best == "" || s > score {
			best, score = address, s
		}
	}
	return best, f.stores[best]
}
