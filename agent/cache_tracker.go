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
func (t *cacheTracker) resetOnBoot() {
	clear(t.pinned)
	clear(t.recentlyEnded)
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
func (t *cacheTracker) addRecent(hashes []uint64, now time.Time) {
	for _, h := range hashes {
		t.recentlyEnded[h] = now
	}
	if len(t.recentlyEnded) <= maxRecent {
		return
	}
	for h, at := range t.recentlyEnded {
		if now.Sub(at) > recentTTL {
			delete(t.recentlyEnded, h)
		}
	}
}

// deepestCached returns the index of the deepest boundary that is cached now, or -1.
func (t *cacheTracker) deepestCached(root uint64, hashes []uint64, now time.Time) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if t.pinned[hashes[i]] > 0 || t.isRecent(hashes[i], now) || t.view.HasChain(root, hashes[i]) {
			return i
		}
	}
	return -1
}

func (t *cacheTracker) isRecent(hash uint64, now time.Time) bool {
	at, ok := t.recentlyEnded[hash]
	if !ok {
		return false
	}
	if now.Sub(at) > recentTTL {
		delete(t.recentlyEnded, hash)
		return false
	}
	return true
}

// deepestExpected returns the index of the deepest boundary that is cached now or will
// be once the pending requests have run, or -1.
func (t *cacheTracker) deepestExpected(root uint64, hashes []uint64, now time.Time) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if t.pending[hashes[i]] > 0 {
			return max(i, t.deepestCached(root, hashes, now))
		}
	}
	return t.deepestCached(root, hashes, now)
}

// deepestPrefilling returns the index of the deepest boundary that is part of a prompt
// being computed now, or -1.
func (t *cacheTracker) deepestPrefilling(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if t.prefilling[hashes[i]] > 0 {
			return i
		}
	}
	return -1
}
