package fleet

import (
	"context"
	"errors"
	"slices"
	"time"
)

// CacheEvent is one change of a runner's cache.
type CacheEvent struct {
	// Stored is set where the part is there now, and false where it left.
	Stored bool
	Salt   string
	Part   string
	// Tokens is how many of the part's tokens are stored now.
	Tokens int
}

// CacheEvents is what changed since a number.
type CacheEvents struct {
	// Born is the start of the life that answers; 0 for stores.
	Born int64
	// Boot changes when the runner starts again, with an empty cache.
	Boot int64
	// Next is the number to ask from the next time.
	Next int64
	// Gap says that events between are gone.
	Gap    bool
	Events []CacheEvent
}

// CacheEventRequest says which events to read.
type CacheEventRequest struct {
	// Target is the runner that is meant: once it has ended, another may answer at
	// its address. It is empty for a store.
	Target  string
	Address string
	Since   int64
	// Wait is how long the answer may be held back while there are no events.
	Wait time.Duration
}

// CacheEventReader reads a runner's cache events. An answer that refuses the reading
// is no error but brings nothing; an error is a runner that does not answer, or
// another one at its address.
type CacheEventReader interface {
	CacheEvents(ctx context.Context, r CacheEventRequest) (CacheEvents, error)
}

// CacheWatcher keeps the fleet's knowledge of the runners' caches current, so
// that each process knows also what the others had read where. Belief only
// steers: a runner alone decides what it reuses, and salts keep apart what must
// not be shared.
type CacheWatcher struct {
	fleet  *Fleet
	reader CacheEventReader
}

// NewCacheWatcher returns a watch that has not begun.
func NewCacheWatcher(f *Fleet, r CacheEventReader) *CacheWatcher {
	return &CacheWatcher{fleet: f, reader: r}
}

// Figures of the watch.
const (
	// readEvery is the pause between two readings of one runner; events come
	// some 80 ms late anyway, and prompts take longer to read than that.
	readEvery = 250 * time.Millisecond
	// readWait is how long a runner without news holds a reading back; shorter
	// ones count as probes.
	readWait = 200 * time.Millisecond
)

// Run reads until ctx ends.
func (w *CacheWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, s := range w.fleet.dueForEvents() {
			go w.read(ctx, s)
		}
		select {
		case <-time.After(readEvery):
		case <-ctx.Done():
		}
	}
}

// due is one reading to make.
type due struct {
	cache   *cache
	reading CacheEventRequest
}

// dueForEvents returns the runners of models, and the stores of kept KV cache,
// that are this process's to read and are not being read now.
func (f *Fleet) dueForEvents() []due {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []due
	for _, s := range f.states {
		if !f.members.reads(s.runner.Address) {
			s.cache.unasked()
		} else if s.hasWeights() && !s.runner.Draining {
			before := len(out)
			out = s.cache.due(out, s.runner.ID, s.runner.Address)
			s.limit.readings += len(out) - before
		}
	}
	for address, k := range f.stores {
		if f.members.reads(address) {
			out = k.cache.due(out, "", address)
		} else {
			k.cache.unasked()
		}
	}
	return out
}

// unasked ends a silence that this process met while it read a cache, and of which
// those that read it now have said nothing.
func (c *cache) unasked() {
	if len(c.words) == 0 {
		c.silent = false
	}
}

func (c *cache) due(out []due, target, address string) []due {
	if c.reading {
		return out
	}
	c.reading = true
	return append(out, due{cache: c, reading: CacheEventRequest{Target: target, Address: address, Since: c.next, Wait: readWait}})
}

func (w *CacheWatcher) read(ctx context.Context, d due) {
	events, err := w.reader.CacheEvents(ctx, d.reading)
	if err == nil && d.reading.Target != "" && !w.fleet.Observe(Instance{ID: d.reading.Target, Born: events.Born}) {
		w.fleet.discard(d.cache)
		return
	}
	if errors.Is(err, ErrTargetReplaced) {
		w.fleet.replaced(d)
		return
	}
	// Where a later life answered, this cache is the former one's, which nobody
	// looks at any more; that of the new life is read from its first event.
	w.fleet.took(d.cache, events, err == nil, time.Now())
}

// replaced takes that another target answers at the address where one was read: that
// one has ended. Kept as a silent one, it would be held for one that may come back.
func (f *Fleet) replaced(d due) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.cache.reading, d.cache.silent = false, true
	if s := f.states[d.reading.Target]; s != nil && &s.cache == d.cache && s.runner.Address == d.reading.Address {
		f.end(s)
	}
}

// discard ends a reading that a former life answered.
func (f *Fleet) discard(c *cache) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.reading = false
}

// took takes the events that a reading brought.
func (f *Fleet) took(c *cache, e CacheEvents, ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.reading = false
	c.silent = !ok
	c.words = nil
	if !ok {
		return
	}
	all := changes(e.Events)
	first := c.next == 0 || c.boot != e.Boot
	c.take(e.Boot, e.Next, all)
	if !f.members.split() {
		return
	}
	if first {
		all = present(all)
	}
	c.unspread = append(c.unspread, all...)
}

// present returns what is there after all changes of a first reading. It tells
// thousands of parts that came and went, of which nobody knew: told to all after a
// start of all entries, they fill the links for seconds.
func present(all []change) []change {
	return slices.DeleteFunc(lastOfEach(all), func(e change) bool { return !e.stored })
}
