package fleet

import (
	"time"

	"acaciakeel/prefix"
)

// cache is what is believed of one runner's or store's cached parts.
type cache struct {
	cached *parts
	// capacity bounds the tokens of cached; 0 is no bound.
	capacity int
	// boot and next say where the reading of its events stands.
	boot int64
	next int64
	// reading is set while a call for events is under way.
	reading bool
	// silent is set while the last reading got no answer.
	silent bool
}

func newCache() cache {
	return cache{cached: newParts()}
}

// useAll takes a chain's parts for cached and returns those that were not
// before, but for the last, which no other request shares.
func (c *cache) useAll(chain prefix.Chain, now time.Time) []Part {
	var fresh []Part
	before := 0
	for i, b := range chain.Boundaries {
		tokens := b.Tokens - before
		if i < len(chain.Boundaries)-1 && !c.cached.has(b.Hash) {
			fresh = append(fresh, Part{Hash: b.Hash, Tokens: tokens})
		}
		c.cached.use(b.Hash, tokens, c.capacity, now)
		before = b.Tokens
	}
	return fresh
}

// tokens returns how many of a chain's first tokens are believed cached.
func (c *cache) tokens(chain prefix.Chain) int {
	tokens := 0
	for _, b := range chain.Boundaries {
		if !c.cached.has(b.Hash) {
			break
		}
		tokens = b.Tokens
	}
	return tokens
}

// take takes the events that a reading brought.
func (c *cache) take(e CacheEvents, now time.Time) {
	if e.Boot == 0 {
		return
	}
	if c.boot != 0 && c.boot != e.Boot {
		c.cached = newParts()
	}
	c.boot, c.next = e.Boot, e.Next
	for _, event := range e.Events {
		hash := PartHash(prefix.Root(event.Salt), event.Part)
		if event.Stored {
			c.cached.use(hash, event.Tokens, c.capacity, now)
		} else {
			c.cached.forget(hash)
		}
	}
}

// keptStore is a store of kept KV cache.
type keptStore struct {
	cache
	zone string
	// saving is when each part was last sent there for the first time, until
	// its event comes.
	saving map[uint64]time.Time
}

// KeptStore is the address of a store of kept KV cache, its room in tokens and its zone.
type KeptStore struct {
	Address  string
	Capacity int
	Zone     string
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
		have.zone, have.capacity = s.Zone, s.Capacity
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
