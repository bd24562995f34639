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
