// Package cache keeps an agent's view of its engine's prefix cache, made from
// cache events that come late, out of step and with gaps. The view claims
// only what it is sure of; the engine alone decides what it reuses.
package cache

// Event is one cache event of an engine.
type Event struct {
	BootID string
	// Seq grows by one with every event of a boot.
	Seq uint64
	// Removed blocks left before Stored ones came. Stored is a run of a chain
	// whose first block follows Parent.
	Removed []uint64
	Parent  uint64
	Stored  []uint64
}

// Block is one cached block and the block before it in its chain.
type Block struct {
	Hash   uint64
	Parent uint64
}

// Dump is everything an engine has cached after the event Seq.
type Dump struct {
	BootID string
	Seq    uint64
	Blocks []Block
}

// ApplyResult says what an event did to the view.
type ApplyResult string

// The verdicts on an event.
const (
	Applied   ApplyResult = "applied"
	Duplicate ApplyResult = "duplicate"
	// Gap: events before this one were lost, so older entries may be gone.
	Gap ApplyResult = "gap"
	// Rebooted: the engine came back empty.
	Rebooted ApplyResult = "rebooted"
)

// entry is one block of the view. Epoch is the view's epoch when the block
// was last known to be cached.
type entry struct {
	parent uint64
	epoch  uint32
	// used is when the block was stored or last seen in use, in milliseconds
	// of the caller's clock.
	used uint32
}

// View is the state. It is not safe for concurrent use.
type View struct {
	bootID string
	seq    uint64
	// epoch grows with every gap. A lost event may have removed any block, so
	// blocks of an earlier epoch are not claimed until a dump or an event
	// confirms them.
	epoch  uint32
	blocks map[uint64]entry
	gaps   bool
	// now is the caller's clock, in milliseconds, and lifetime the mean time
	// from a block's last use to its eviction; 0 while nothing is evicted.
	now      uint32
	lifetime float64
}

// lifetimeWeight is the weight of one evicted block in the mean lifetime.
const lifetimeWeight = 0.01

// SetNow sets the clock by which the view tells how long blocks last.
func (v *View) SetNow(millis uint32) {
	v.now = millis
}

// Lifetime returns for how many milliseconds blocks last after their last
// use; 0 while the engine evicts nothing.
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

// updateChain changes the entries of the chain from hash back to root, until change
// reports one that had been changed already, as those before it then have.
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

// NewView returns an empty view of an engine that was not heard from yet.
func NewView() *View {
	return &View{blocks: map[uint64]entry{}}
}

// BootID returns the engine's boot that the view is of.
func (v *View) BootID() string {
	return v.bootID
}

// Seq returns the last event that the view took.
func (v *View) Seq() uint64 {
	return v.seq
}

// Len returns how many blocks the view holds, claimed or in doubt.
func (v *View) Len() int {
	return len(v.blocks)
}

// HasGaps reports whether events were lost since the last dump.
func (v *View) HasGaps() bool {
	return v.gaps
}

// ResetOnBoot empties the view when the engine has another boot than the view's. A
// dead engine's entries are never claimed after this returns.
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

// Apply takes one event.
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

// Resync replaces the view by a dump. A dump older than the view is ignored.
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

// HasChain reports whether the chain from root up to hash is claimed whole: an
// engine can't use a block whose predecessors are gone.
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

// Confirm marks the chain up to hash as cached now, because the engine has
// just said in an answer that it used it.
func (v *View) Confirm(root, hash uint64) {
	v.updateChain(root, hash, func(e *entry) bool {
		done := e.epoch == v.epoch
		e.epoch = v.epoch
		return done
	})
}

// LongestPrefix returns the index of the deepest of the boundary hashes, shortest
// first, that is claimed whole, or -1.
func (v *View) LongestPrefix(root uint64, hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if v.HasChain(root, hashes[i]) {
			return i
		}
	}
	return -1
}
