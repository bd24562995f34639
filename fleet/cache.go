package fleet

import (
	"time"

	"acaciakeel/lru"
	"acaciakeel/prefix"
)

// cache is the assumed content of one target's or store's KV cache.
type cache struct {
	cached *lru.Cache
	// capacity bounds cached, in tokens; 0 is no bound.
	capacity int
	// bootID identifies the cache's start, nextEvent is the number of the next event to
	// read.
	bootID    int64
	nextEvent int64
	// readInFlight is set while a read of its events is in progress.
	readInFlight bool
	// unresponsive is set while the last read got no answer.
	unresponsive bool
	// unsharedChanges are the changes read by this process since its last update to the
	// other processes.
	unsharedChanges []change
	// sharedAt is when they last got an update, sharedUnresponsive the value of
	// unresponsive in it.
	sharedAt           time.Time
	sharedUnresponsive bool
	// relayedAt is when an update of the cache was last passed on for the other groups,
	// relayedUnresponsive the value of unresponsive in it.
	relayedAt           time.Time
	relayedUnresponsive bool
	// livenessReports are the last reports of the processes that read the cache, by
	// process.
	livenessReports map[string]livenessReport
}

func newCache() cache {
	return cache{cached: lru.New()}
}

// recordChain takes a chain's parts as cached. It returns those that were not before,
// without the last one, which no other request shares.
func (c *cache) recordChain(chain prefix.Chain) []Part {
	var added []Part
	before := 0
	for i, b := range chain.Boundaries {
		tokens := b.Tokens - before
		if i < len(chain.Boundaries)-1 && !c.cached.Has(b.Hash) {
			added = append(added, Part{Hash: b.Hash, Tokens: tokens})
		}
		c.cached.Use(b.Hash, tokens, c.capacity)
		before = b.Tokens
	}
	return added
}

// cachedTokens returns how many of a chain's first tokens are assumed to be cached.
func (c *cache) cachedTokens(chain prefix.Chain) int {
	tokens := 0
	for _, b := range chain.Boundaries {
		if !c.cached.Has(b.Hash) {
			break
		}
		tokens = b.Tokens
	}
	return tokens
}

// change is a part that was stored in a cache or evicted from it.
type change struct {
	part   Part
	stored bool
}

// changesOf converts cache events to changes, in their order.
func changesOf(events []CacheEvent) []change {
	out := make([]change, 0, len(events))
	for _, e := range events {
		hash := PartHash(prefix.Root(e.Salt), e.Part)
		out = append(out, change{part: Part{Hash: hash, Tokens: e.Tokens}, stored: e.Stored})
	}
	return out
}

// apply applies the changes up to the event before next. With a new boot ID the cache is
// emptied first.
func (c *cache) apply(boot, next int64, all []change) {
	if boot == 0 {
		return
	}
	if c.bootID != 0 && c.bootID != boot {
		c.cached = lru.New()
		c.nextEvent = 0
	}
	c.bootID, c.nextEvent = boot, max(c.nextEvent, next)
	for _, e := range all {
		if e.stored {
			c.cached.Use(e.part.Hash, e.part.Tokens, c.capacity)
		} else {
			c.cached.Remove(e.part.Hash)
		}
	}
}

// PartHash returns the hash of a prompt part under a salt with the hash root.
func PartHash(root uint64, id string) uint64 {
	return prefix.Next(root, []byte(id))
}
