// Package cache maintains an agent's view of its engine's prefix cache from cache
// events, which may be late, duplicated or lost. The view reports a block as cached
// only if that is certain; what is reused is decided by the engine alone.
package cache

// Event is one change of an engine's cache.
type Event struct {
	BootID string
	// Seq increases by one with every event of a boot.
	Seq uint64
	// Removed blocks were evicted before the Stored ones were added. Stored is a part
	// of a chain whose first block follows Parent.
	Removed []uint64
	Parent  uint64
	Stored  []uint64
}

// Block is a cached block and its predecessor in the chain.
type Block struct {
	Hash   uint64
	Parent uint64
}

// Dump is the complete content of an engine's cache after the event Seq.
type Dump struct {
	BootID string
	Seq    uint64
	Blocks []Block
}

// ApplyResult is the effect of an event on the view.
type ApplyResult string

const (
	Applied   ApplyResult = "applied"
	Duplicate ApplyResult = "duplicate"
	// Gap: events before this one were lost, so that blocks known before may have been
	// evicted.
	Gap ApplyResult = "gap"
	// Rebooted: the engine restarted with an empty cache.
	Rebooted ApplyResult = "rebooted"
)

// entry is one block of the view. epoch is the view's epoch when the block was last
// known to be cached.
type entry struct {
	parent uint64
	epoch  uint32
	// used is when the block was stored or last in use, in milliseconds of the caller's
	// clock.
	used uint32
}

// View is the state of one engine's cache. It is not safe for concurrent use.
type View struct {
	bootID string
	seq    uint64
	// epoch increases with every gap. A lost event may have evicted any block, so
	// blocks of an earlier epoch are not reported as cached until a dump or an event
	// confirms them.
	epoch  uint32
	blocks map[uint64]entry
	gaps   bool
	// now is the caller's clock, in milliseconds, and lifetime the mean time from a
	// block's last use to its eviction; 0 if nothing has been evicted.
	now      uint32
	lifetime float64
}

// lifetimeWeight is the weight of one evicted block in the moving average of lifetimes.
const lifetimeWeight = 0.01

// SetNow sets the clock by which the lifetimes of blocks are computed.
func (v *View) SetNow(millis uint32) {
	v.now = millis
}

// Lifetime returns the mean time in milliseconds from a block's last use to its
// eviction, or 0 if the engine has evicted nothing.
func (v *View) Lifetime() float64 {
	return v.lifetime
}

// Touch marks the chain up to hash as in use now.
func (v *View) Touch(root, hash uint64) {
	v.updateChain(root, hash, func(e *entry) bool {
		done := e.used == v.now
		e.used = v.now
		return done
	})
}

// updateChain calls change for the entries of the chain from hash back to root. It
// stops when change reports that an entry was up to date, because its predecessors then
// are too.
func (v *View) updateChain(root, hash uint64, change func(e *entry) (done bool)) {
	for hash != root {
		e, ok := v.blocks[hash]
		if !ok || change(&e) {
			return
		}
		v.blocks[hash] = e
		hash = e.parent
	}
}

// NewView returns an empty view of an engine whose boot is not known yet.
func NewView() *View {
	return &View{blocks: map[uint64]entry{}}
}

// BootID returns the boot of the engine that the view describes.
func (v *View) BootID() string {
	return v.bootID
}

// Seq returns the sequence number of the last event or dump applied.
func (v *View) Seq() uint64 {
	return v.seq
}

// Len returns the number of blocks, including those that are not reported as cached.
func (v *View) Len() int {
	return len(v.blocks)
}

// HasGaps reports whether events were lost since the last dump.
func (v *View) HasGaps() bool {
	return v.gaps
}

// ResetOnBoot empties the view if bootID differs from the view's, and reports whether
// it did. Blocks of the previous boot are not reported as cached after it returns.
func (v *View) ResetOnBoot(bootID string) bool {
	if v.bootID == bootID {
		return false
	}
	v.bootID = bootID
	v.seq = 0
	v.epoch = 0
	v.gaps = false
	v.lifetime = 0
	v.blocks = map[uint64]entry{}
	return true
}

// Apply applies one event.
func (v *View) Apply(e Event) ApplyResult {
	if v.ResetOnBoot(e.BootID) {
		v.applyEvent(e)
		// The first events of the boot may have been missed.
		v.gaps = e.Seq > 1
		return Rebooted
	}
	if e.Seq <= v.seq {
		return Duplicate
	}
	if e.Seq > v.seq+1 {
		v.epoch++
		v.gaps = true
		v.applyEvent(e)
		return Gap
	}
	v.applyEvent(e)
	return Applied
}

func (v *View) applyEvent(e Event) {
	v.seq = e.Seq
	for _, hash := range e.Removed {
		v.evict(hash)
	}
	parent := e.Parent
	for _, hash := range e.Stored {
		v.blocks[hash] = entry{parent: parent, epoch: v.epoch, used: v.now}
		parent = hash
	}
}

func (v *View) evict(hash uint64) {
	e, ok := v.blocks[hash]
	if !ok {
		return
	}
	delete(v.blocks, hash)
	lifetime := float64(v.now - e.used)
	if v.lifetime == 0 {
		v.lifetime = lifetime
	}
	v.lifetime += lifetimeWeight * (lifetime - v.lifetime)
}

// Resync replaces the view by a dump. It ignores a dump older than the view and reports
// whether the dump was applied.
func (v *View) Resync(d Dump) bool {
	v.ResetOnBoot(d.BootID)
	if d.Seq < v.seq {
		return false
	}
	v.seq = d.Seq
	v.gaps = false
	old := v.blocks
	v.blocks = make(map[uint64]entry, len(d.Blocks))
	for _, b := range d.Blocks {
		used := v.now
		if e, ok := old[b.Hash]; ok {
			used = e.used
		}
		v.blocks[b.Hash] = entry{parent: b.Parent, epoch: v.epoch, used: used}
	}
	return true
}

// HasChain reports whether every block of the chain from root to hash is known to be
// cached. The engine can't use a block whose predecessors were evicted.
func (v *View) HasChain(root, hash uint64) bool {
	for range len(v.blocks) + 1 {
		if hash == root {
			return true
		}
		e, ok := v.blocks[hash]
		if !ok || e.epoch != v.epoch {
			return false
		}
		hash = e.parent
	}
	return false
}

// Confirm marks the chain up to hash as cached now, after the engine has reported in a
// response that it reused it.
func (v *View) Confirm(root, hash uint64) {
	v.updateChain(root, hash, func(e *entry) bool {
		done := e.epoch == v.epoch
		e.epoch = v.epoch
		return done
	})
}

// LongestPrefix returns the index of the deepest of the boundary hashes, given shortest
// first, whose chain is completely cached, or -1.
func (v *View) LongestPrefix(root uint64, hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if v.HasChain(root, hashes[i]) {
			return i
		}
	}
	return -1
}
