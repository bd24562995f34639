package fleet

import (
	"time"

	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// cacheStore is a KV cache store.
type cacheStore struct {
	cache
	// pendingSaves are the parts that any process recently had sent there, by hash.
	pendingSaves map[uint64]pendingSave
	// unsharedSaves are those that are not in an update to the other processes yet.
	unsharedSaves []uint64
	zone          string
	linkMbps      float64
}

// pendingSave is a part on its way to a store.
type pendingSave struct {
	at time.Time
	// sender is the ID of the target that sends it for this process; empty if another
	// process reported it.
	sender string
}

// KVCacheStore is a KV cache store as it is configured.
type KVCacheStore struct {
	Address string
	// Capacity is its size in tokens.
	Capacity int
	Zone     string
	LinkMbps float64
}

// SetStores sets the KV cache stores. Those that stay keep what is known of their
// content.
func (f *Fleet) SetStores(stores []KVCacheStore) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := map[string]*cacheStore{}
	for _, s := range stores {
		have := f.stores[s.Address]
		if have == nil {
			have = &cacheStore{cache: newCache(), pendingSaves: map[uint64]pendingSave{}}
		}
		have.capacity, have.zone, have.linkMbps = s.Capacity, s.Zone, s.LinkMbps
		next[s.Address] = have
	}
	f.stores = next
}

// minTransferTokens is the fewest shared tokens of a prompt that are worth a transfer:
// fewer are prefilled in a few milliseconds.
const minTransferTokens = 512

// saveRetryAfter is after how long a part that was sent to a store is sent again if the
// store has reported no event of it.
const saveRetryAfter = 3 * time.Second

// saveTo returns the store that a prompt's shared parts should be sent to, or "" if they
// are there already or on their way. sender is the ID of the target that sends them.
func (f *Fleet) saveTo(chain prefix.Chain, sender string, now time.Time) string {
	if sharedTokens(chain) < minTransferTokens || f.disabled[policy.CacheSaving] {
		return ""
	}
	deepest := chain.Levels[len(chain.Levels)-1].Hash
	address, k := f.storeFor(deepest)
	if k == nil || k.cached.Has(deepest) || now.Sub(k.pendingSaves[deepest].at) < saveRetryAfter {
		return ""
	}
	k.expireSaves(now)
	k.pendingSaves[deepest] = pendingSave{at: now, sender: sender}
	k.unsharedSaves = append(k.unsharedSaves, deepest)
	return address
}

// expireSaves removes the saves that the store would have reported by now.
func (k *cacheStore) expireSaves(now time.Time) {
	for hash, save := range k.pendingSaves {
		if now.Sub(save.at) >= saveRetryAfter {
			delete(k.pendingSaves, hash)
		}
	}
}

// Saves are the parts that a process had sent to a store.
type Saves struct {
	Store string
	Parts []uint64
}

// Saves returns the parts that this process had sent to stores since the last call, for
// the other processes. A part takes a second from its first prefill to the store's event;
// if each process sent it meanwhile, a third of what stores get would be there already.
func (f *Fleet) Saves() []Saves {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Saves
	for address, k := range f.stores {
		if len(k.unsharedSaves) > 0 {
			out = append(out, Saves{Store: address, Parts: k.unsharedSaves})
			k.unsharedSaves = nil
		}
	}
	return out
}

// MergeSaves records what another process had sent to stores.
func (f *Fleet) MergeSaves(all []Saves, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range all {
		k := f.stores[s.Store]
		if k == nil {
			continue
		}
		k.expireSaves(now)
		for _, part := range s.Parts {
			k.pendingSaves[part] = pendingSave{at: now}
		}
	}
}

// crossDataCentreFetchCost returns the cost of occupying a store's link for longer: if
// the target is in another data centre, fetching the shared parts that it lacks takes
// twice as long, and all targets share that link.
func (f *Fleet) crossDataCentreFetchCost(q Query, chain prefix.Chain, s *targetState, cached int) time.Duration {
	missing := sharedTokens(chain) - cached
	if missing <= 0 || f.disabled[policy.CrossDataCentreLinks] {
		return 0
	}
	_, k := f.storeFor(chain.Levels[len(chain.Levels)-1].Hash)
	if k == nil || k.linkMbps <= 0 || k.zone == s.target.Zone {
		return 0
	}
	bits := float64(missing) * float64(q.TokenBytes) * 8
	return time.Duration(bits / (k.linkMbps * 1e6) * float64(time.Second))
}

// storeFor returns the store that keeps a part: the same one for all processes, so that
// each part is kept once.
func (f *Fleet) storeFor(part uint64) (string, *cacheStore) {
	best, score := "", uint64(0)
	for address, k := range f.stores {
		if k.unresponsive {
			continue
		}
		if s := prefix.RendezvousScore(prefix.NameHash(address), part); best == "" || s > score {
			best, score = address, s
		}
	}
	return best, f.stores[best]
}
