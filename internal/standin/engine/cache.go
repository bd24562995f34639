package engine

import "container/list"

// block is one cached block. Blocks that a running sequence uses (refs > 0)
// can't be evicted; the others wait in the least-recently-used list.
type block struct {
	hash   uint64
	parent uint64
	refs   int
	idle   *list.Element
}

// blockCache is the engine's prefix cache.
type blockCache struct {
	capacity int
	blocks   map[uint64]*block
	// idle holds unreferenced blocks, the next to be evicted in front.
	idle *list.List
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, blocks: map[uint64]*block{}, idle: list.New()}
}

// match returns how many of the leading hashes are cached.
func (c *blockCache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// pin keeps the blocks of hashes from eviction.
func (c *blockCache) pin(hashes []uint64) {
	for _, h := range hashes {
		b := c.blocks[h]
		b.refs++
		if b.idle != nil {
			c.idle.Remove(b.idle)
			b.idle = nil
		}
	}
}

// unpin releases blocks, the deepest first, so that the ends of chains go
// before the beginnings that others share.
func (c *blockCache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.idle = c.idle.PushBack(b)
		}
	}
}

// store adds one pinned block and returns whether it could, whether it was
// new, and the hash of the block evicted for it.
func (c *blockCache) store(hash, parent uint64) (ok, isNew bool, evicted uint64) {
	if b := c.blocks[hash]; b != nil {
		c.pin([]uint64{hash})
		return true, false, 0
	}
	if len(c.blocks) >= c.capacity {
		front := c.idle.Front()
		if front == nil {
			return false, false, 0
		}
		evicted = c.idle.Remove(front).(*block).hash
		delete(c.blocks, evicted)
	}
	c.blocks[hash] = &block{hash: hash, parent: parent, refs: 1}
	return true, true, evicted
}
