package agent

import (
	"time"

	"acaciakeel/cache"
)

// belief is what the agent believes to be in its engine's cache: the view
// made from events, and what its own requests show sooner than late events do.
type belief struct {
	view *cache.View
	// pinned counts, for each boundary, the requests that run behind their
	// first token: the engine keeps the blocks of a running request.
	pinned map[uint64]int
	// coming counts the requests that wait or prefill: by the time a later
	// request runs, the engine has computed their prompts.
	coming map[uint64]int
	// computing counts those that prefill now.
	computing map[uint64]int
	// recent are boundaries of requests that have just ended.
	recent map[uint64]time.Time
}

// recentFor is how long the end of a request vouches for its blocks: about as
// long as cache events are late, and less than an engine's turnover.
const recentFor = 600 * time.Millisecond

func newBelief() *belief {
	return &belief{
		view:      cache.NewView(),
		pinned:    map[uint64]int{},
		coming:    map[uint64]int{},
		computing: map[uint64]int{},
		recent:    map[uint64]time.Time{},
	}
}

// forget drops all that rests on an engine's boot that is over.
func (b *belief) forget() {
	clear(b.pinned)
	clear(b.recent)
}

func count(set map[uint64]int, hashes []uint64, by int) {
	for _, h := range hashes {
		set[h] += by
		if set[h] <= 0 {
			delete(set, h)
		}
	}
}

// maxRecent bounds the memory of ended requests; past it the old are dropped.
const maxRecent = 4096

// vouch remembers the boundaries of a request that has ended.
func (b *belief) vouch(hashes []uint64, now time.Time) {
	for _, h := range hashes {
		b.recent[h] = now
	}
	if len(b.recent) <= maxRecent {
		return
	}
	for h, at := range b.recent {
		if now.Sub(at) > recentFor {
			delete(b.recent, h)
		}
	}
}

// cached returns the index of the deepest boundary that is cached now, or -1.
func (b *belief) cached(root uint64, hashes []uint64, now time.Time) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if b.pinned[hashes[i]] > 0 || b.isRecent(hashes[i], now) || b.view.HasChain(root, hashes[i]) {
			return i
		}
	}
	return -1
}

func (b *belief) isRecent(hash uint64, now time.Time) bool {
	at, ok := b.recent[hash]
	if !ok {
		return false
	}
	if now.Sub(at) > recentFor {
		delete(b.recent, hash)
		return false
	}
	return true
}

// expected returns the index of the deepest boundary that is cached now or
// will be once the requests at hand have run, or -1.
func (b *belief) expected(root uint64, hashes []uint64, now time.Time) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if b.coming[hashes[i]] > 0 {
			return max(i, b.cached(root, hashes, now))
		}
	}
	return b.cached(root, hashes, now)
}

// beingComputed returns the index of the deepest boundary that a request is
// prefilling at this moment, or -1.
func (b *belief) beingComputed(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if b.computing[hashes[i]] > 0 {
			return i
		}
	}
	return -1
}
