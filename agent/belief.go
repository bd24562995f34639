package agent

import (
	"time"

	"acaciakeel/cache"
)

// cacheTracker tracks what the engine has cached: the view built from cache events, and
// the agent's own requests, whose effects are known before the events arrive.
type cacheTracker struct {
	view *cache.View
	// pinned counts, for each boundary, the requests past their first token: the engine
	// keeps the blocks of a running request.
	pinned map[uint64]int
	// pending counts the requests that are queued or prefilling: the engine will have
	// computed their prompts before it runs a later request.
	pending map[uint64]int
	// prefilling counts the requests whose prompts are being computed.
	prefilling map[uint64]int
	// recentlyEnded maps the boundaries of ended requests to the time they ended.
	recentlyEnded map[uint64]time.Time
}

// recentTTL is how long the blocks of an ended request count as cached without an
// event: about the delay of cache events, and less than the time in which an engine
// replaces its cache.
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

// resetOnBoot discards what depends on the engine's previous boot.
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

// maxRecent is the number of recently ended boundaries above which expired ones are
// removed.
const maxRecent = 4096

// addRecent records the boundaries of a request that has ended.
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

// deepestCached returns the index of the deepest boundary that is cached now, or -1.
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

// deepestExpected returns the index of the deepest boundary that is cached now or will
// be once the pending requests have run, or -1.
func (b *cacheTracker) deepestExpected(root uint64, hashes []uint64, now time.Time) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if b.pending[hashes[i]] > 0 {
			return max(i, b.deepestCached(root, hashes, now))
		}
	}
	return b.deepestCached(root, hashes, now)
}

// deepestPrefilling returns the index of the deepest boundary that is part of a prompt
// being computed now, or -1.
func (b *cacheTracker) deepestPrefilling(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if b.prefilling[hashes[i]] > 0 {
			return i
		}
	}
	return -1
}
