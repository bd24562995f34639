package agent

import (
	"time"

	"acaciakeel/cache"
)

// cacheTracker is what the agent believes to be in its engine's cache: the view
// made from events, and what its own requests show sooner than late events do.
type cacheTracker struct {
	view *cache.View
	// pinned counts, for each boundary, the requests that run behind their
	// first token: the engine keeps the blocks of a running request.
	pinned map[uint64]int
	// pending counts the requests that wait or prefill: by the time a later
	// request runs, the engine has computed their prompts.
	pending map[uint64]int
	// prefilling counts those that prefill now.
	prefilling map[uint64]int
	// recentlyEnded are boundaries of requests that have just ended.
	recentlyEnded map[uint64]time.Time
}

// recentTTL is how long the end of a request vouches for its blocks: about as
// long as cache events are late, and less than an engine's turnover.
const recentTTL = 600 * time.Millisecond

func newCacheTracker() *cacheTracker {
	return &cacheTracker{
		view:          cache.NewView(),
		pinned:        map[uint64]int{},
		pending:       map[uint64]int{},
		prefilling:    map[uint64]int{},
		recentlyEnded: map[uint64]time.Time{},
	}
}

// resetOnBoot drops all that rests on an engine's boot that is over.
func (b *cacheTracker) resetOnBoot() {
	clear(b.pinned)
	clear(b.recentlyEnded)
}

func addCounts(set map[uint64]int, hashes []uint64, by int) {
	for _, h := range hashes {
		set[h] += by
		if set[h] <= 0 {
			delete(set, h)
		}
	}
}

// maxRecent bounds the memory of ended requests; past it the old are dropped.
const maxRecent = 4096

// addRecent remembers the boundaries of a request that has ended.
func (b *cacheTracker) addRecent(hashes []uint64, now time.Time) {
	for _, h := range hashes {
		b.recentlyEnded[h] = now
	}
	if len(b.recentlyEnded) <= maxRecent {
		return
	}
	for h, at := range b.recentlyEnded {
		if now.Sub(at) > recentTTL {
			delete(b.recentlyEnded, h)
		}
	}
}

// deepestCached returns the index of the deepest boundary that is deepestCached now, or -1.
func (b *cacheTracker) deepestCached(root uint64, hashes []uint64, now time.Time) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if b.pinned[hashes[i]] > 0 || b.isRecent(hashes[i], now) || b.view.HasChain(root, hashes[i]) {
			return i
		}
	}
	return -1
}

func (b *cacheTracker) isRecent(hash uint64, now time.Time) bool {
	at, ok := b.recentlyEnded[hash]
	if !ok {
		return false
	}
	if now.Sub(at) > recentTTL {
		delete(b.recentlyEnded, hash)
		return false
	}
	return true
}

// deepestExpected returns the index of the deepest boundary that is cached now or
// will be once the requests at hand have run, or -1.
func (b *cacheTracker) deepestExpected(root uint64, hashes []uint64, now time.Time) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if b.pending[hashes[i]] > 0 {
			return max(i, b.deepestCached(root, hashes, now))
		}
	}
	return b.deepestCached(root, hashes, now)
}

// deepestPrefilling returns the index of the deepest boundary that a request is
// prefilling at this moment, or -1.
func (b *cacheTracker) deepestPrefilling(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if b.prefilling[hashes[i]] > 0 {
			return i
		}
	}
	return -1
}
