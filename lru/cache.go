// Package lru tracks which prompt parts a cache is expected to contain.
package lru

// Cache is a set of prompt parts, each given by its hash and token count. Beyond a
// capacity in tokens the least recently used parts are evicted. It is not safe for
// concurrent use.
type Cache struct {
	entries map[uint64]*entry
	tokens  int
	// head and tail of the list by last use, most recent first.
	head, tail *entry
}

type entry struct {
	hash       uint64
	tokens     int
	prev, next *entry
}

func New() *Cache {
	return &Cache{entries: map[uint64]*entry{}}
}

func (c *Cache) Has(hash uint64) bool {
	return c.entries[hash] != nil
}

// Use marks a part as most recently used, adding it if it is missing, and evicts the
// least recently used other parts while the total exceeds capacity tokens. A capacity
// of 0 means unlimited.
func (c *Cache) Use(hash uint64, tokens, capacity int) {
	e := c.entries[hash]
	if e == nil {
		e = &entry{hash: hash, tokens: tokens}
		c.entries[hash] = e
		c.tokens += tokens
	} else {
		c.unlink(e)
	}
	c.pushFront(e)
	for capacity > 0 && c.tokens > capacity && c.tail != e {
		c.evict(c.tail)
	}
}

// Len returns the number of parts.
func (c *Cache) Len() int {
	return len(c.entries)
}

// Remove deletes a part that the modelled cache no longer contains.
func (c *Cache) Remove(hash uint64) {
	if e := c.entries[hash]; e != nil {
		c.evict(e)
	}
}

func (c *Cache) evict(e *entry) {
	c.unlink(e)
	delete(c.entries, e.hash)
	c.tokens -= e.tokens
}

func (c *Cache) pushFront(e *entry) {
	e.prev, e.next = nil, c.head
	if c.head != nil {
		c.head.prev = e
	}
	c.head = e
	if c.tail == nil {
		c.tail = e
	}
}

func (c *Cache) unlink(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		c.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		c.tail = e.prev
	}
	e.prev, e.next = nil, nil
}
