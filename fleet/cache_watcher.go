package fleet

import (
	"context"
	"errors"
	"slices"
	"time"
)

// CacheEvent is one change of a target's KV cache.
type CacheEvent struct {
	// Stored is set if the part was stored, and false if it was evicted.
	Stored bool
	Salt   string
	Part   string
	// Tokens is how many of the part's tokens are stored now.
	Tokens int
}

// CacheEvents are the events of a cache from a requested number on.
type CacheEvents struct {
	// Born is the start of the instance that answers; 0 for stores.
	Born int64
	// Boot changes when the cache starts again, empty.
	Boot int64
	// Next is the number to request the next time.
	Next int64
	// Gap is set if some of the requested events are lost.
	Gap    bool
	Events []CacheEvent
}

// CacheEventRequest says which events to read.
type CacheEventRequest struct {
	// Target is the ID of the target that is meant: once it has ended, another may answer
	// at its address. It is empty for a store.
	Target  string
	Address string
	// Boot and Since are the Boot and Next of the events known so far; 0 if there are none.
	Boot  int64
	Since int64
	// Wait is how long the answer may be held back while there are no events.
	Wait time.Duration
}

// CacheEventReader reads the events of a cache. A refused read returns no events and no
// error; an error means that the target does not answer, or that another one seems to have
// its address.
type CacheEventReader interface {
	CacheEvents(ctx context.Context, r CacheEventRequest) (CacheEvents, error)
}

// CacheWatcher keeps the fleet's knowledge of the targets' caches up to date, including
// what the requests of other processes left there. That knowledge only steers the choice:
// a target alone decides what it reuses, and salts keep apart what must not be shared.
type CacheWatcher struct {
	fleet  *Fleet
	reader CacheEventReader
}

// NewCacheWatcher returns a watcher that does nothing until Run is called.
func NewCacheWatcher(f *Fleet, r CacheEventReader) *CacheWatcher {
	return &CacheWatcher{fleet: f, reader: r}
}

// Times of the reads.
const (
	// readInterval is the pause between two reads of one cache. Events come some 80 ms
	// late anyway, and prompts take longer than that to prefill.
	readInterval = 250 * time.Millisecond
	// longPollWait is how long a target without events holds a read back; shorter reads
	// count as probes.
	longPollWait = 200 * time.Millisecond
)

// Run reads cache events until ctx ends.
func (w *CacheWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, s := range w.fleet.dueReads() {
			go w.read(ctx, s)
		}
		select {
		case <-time.After(readInterval):
		case <-ctx.Done():
		}
	}
}

// cacheRead is one read to make.
type cacheRead struct {
	cache   *cache
	request CacheEventRequest
}

// dueReads returns the reads to start now: of the targets with weights and of the stores
// that this process is to read and that it is not reading already.
func (f *Fleet) dueReads() []cacheRead {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []cacheRead
	for _, s := range f.states {
		if !f.members.readsCache(s.target.Address) {
			s.cache.clearUnresponsive()
		} else if s.hasWeights() && !s.target.Draining {
			before := len(out)
			out = s.cache.appendRead(out, s.target.ID, s.target.Address)
			s.limit.cacheReads += len(out) - before
		}
	}
	for address, k := range f.stores {
		if f.members.readsCache(address) {
			out = k.cache.appendRead(out, "", address)
		} else {
			k.cache.clearUnresponsive()
		}
	}
	return out
}

// clearUnresponsive resets the result of this process's own reads where it no longer
// reads a cache, unless there are reports of the processes that read it now. Nothing
// would reset it otherwise.
func (c *cache) clearUnresponsive() {
	if len(c.livenessReports) == 0 {
		c.unresponsive = false
	}
}

func (c *cache) appendRead(out []cacheRead, target, address string) []cacheRead {
	if c.readInFlight {
		return out
	}
	c.readInFlight = true
	return append(out, cacheRead{cache: c, request: CacheEventRequest{Target: target, Address: address, Boot: c.bootID, Since: c.nextEvent, Wait: longPollWait}})
}

func (w *CacheWatcher) read(ctx context.Context, read cacheRead) {
	askedAt := time.Now()
	events, err := w.reader.CacheEvents(ctx, read.request)
	if err == nil && read.request.Target != "" && !w.fleet.Observe(Instance{ID: read.request.Target, Born: events.Born}, askedAt) {
		w.fleet.abandonRead(read.cache)
		return
	}
	if err == nil && read.request.Target != "" {
		w.fleet.RecordResponse(Instance{ID: read.request.Target, Born: events.Born}, time.Now())
	}
	if errors.Is(err, ErrTargetReplaced) {
		w.fleet.suspectRead(read, time.Now())
	}
	// If a later instance answered, this cache is that of the former one, which is no
	// longer used; the new one is read from its first event.
	w.fleet.finishRead(read.cache, events, err == nil, time.Now())
}

// suspectRead starts a check of the target of a read that was refused in another's name.
func (f *Fleet) suspectRead(read cacheRead, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.states[read.request.Target]; s != nil && &s.cache == read.cache && s.target.Address == read.request.Address {
		f.suspectReplaced(s, now)
	}
}

// abandonRead ends a read that a former instance answered.
func (f *Fleet) abandonRead(c *cache) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.readInFlight = false
}

// finishRead applies the result of a read.
func (f *Fleet) finishRead(c *cache, e CacheEvents, ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.readInFlight = false
	c.unresponsive = !ok
	c.livenessReports = nil
	if !ok {
		return
	}
	all := changesOf(e.Events)
	first := c.nextEvent == 0 || c.bootID != e.Boot
	c.apply(e.Boot, e.Next, all)
	if !f.members.sharded() {
		return
	}
	if first {
		all = storedOnly(all)
	}
	c.unsharedChanges = append(c.unsharedChanges, all...)
}

// storedOnly returns the parts that are still stored after all changes of a first read.
// Such a read returns thousands of parts that came and went and that no process knew of;
// after a start of all processes, updates with them would fill the links for seconds.
func storedOnly(all []change) []change {
	return slices.DeleteFunc(lastChanges(all), func(e change) bool { return !e.stored })
}
