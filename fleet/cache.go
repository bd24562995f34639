package fleet

import (
	"time"

	"acaciakeel/lru"
	"acaciakeel/prefix"
)

// cache is what is believed of one runner's or store's cached parts.
type cache struct {
	cached *lru.Cache
	// capacity bounds the tokens of cached; 0 is no bound.
	capacity int
	// boot and next say where the reading of its events stands.
	boot int64
	next int64
	// reading is set while a call for events is under way.
	reading bool
	// silent is set while the last reading got no answer.
	silent bool
	// unspread are the changes that this process's readings brought and that
	// the other processes were not told of yet.
	unspread []change
	// spreadAt is when they were told last, spreadSilent what of silent then.
	spreadAt     time.Time
	spreadSilent bool
	// relayedAt is when news of it was last such that other groups are to hear it,
	// relayedSilent what of silent was said then.
	relayedAt     time.Time
	relayedSilent bool
	// words are what the processes that read it said last.
	words map[string]word
}

func newCache() cache {
	return cache{cached: lru.New()}
}

// useAll takes a chain's parts for cached and returns those that were not
// before, but for the last, which no other request shares.
func (c *cache) useAll(chain prefix.Chain) []Part {
	var fresh []Part
	before := 0
	for i, b := range chain.Boundaries {
		tokens := b.Tokens - before
		if i < len(chain.Boundaries)-1 && !c.cached.Has(b.Hash) {
			fresh = append(fresh, Part{Hash: b.Hash, Tokens: tokens})
		}
		c.cached.Use(b.Hash, tokens, c.capacity)
		before = b.Tokens
	}
	return fresh
}

// tokens returns how many of a chain's first tokens are believed cached.
func (c *cache) tokens(chain prefix.Chain) int {
	tokens := 0
	for _, b := range chain.Boundaries {
		if !c.cached.Has(b.Hash) {
			break
		}
		tokens = b.Tokens
	}
	return tokens
}

// change is one event of a cache, by the part's hash.
type change struct {
	part   Part
	stored bool
}

// changes returns what events say, in their order.
func changes(events []CacheEvent) []change {
	out := make([]change, 0, len(events))
	for _, e := range events {
		hash := PartHash(prefix.Root(e.Salt), e.Part)
		out = append(out, change{part: Part{Hash: hash, Tokens: e.Tokens}, stored: e.Stored})
	}
	return out
}

// take takes the changes up to the event before next of a cache's start.
func (c *cache) take(boot, next int64, all []change) {
	if boot == 0 {
		return
	}
	if c.boot != 0 && c.boot != boot {
		c.cached = lru.New()
		c.next = 0
	}
	c.boot, c.next = boot, max(c.next, next)
	for _, e := range all {
		if e.stored {
			c.cached.Use(e.part.Hash, e.part.Tokens, c.capacity)
		} else {
			c.cached.Remove(e.part.Hash)
		}
	}
}

// PartHash names a part of a prompt under a salt, of which root is the hash.
func PartHash(root uint64, id string) uint64 {
	return prefix.Next(root, []byte(id))
}
