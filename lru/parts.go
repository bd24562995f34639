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

func (p *Cache) Has(hash uint64) bool {
	return p.entries[hash] != nil
}

// Use marks a part as most recently used, adding it if it is missing, and evicts the
// least recently used other parts while the total exceeds capacity tokens. A capacity
// of 0 means unlimited.
func (p *Cache) Use(hash uint64, tokens, capacity int) {
	e := p.entries[hash]
	if e == nil {
		e = &entry{hash: hash, tokens: tokens}
		p.entries[hash] = e
		p.tokens += tokens
	} else {
		p.unlink(e)
	}
	p.pushFront(e)
	for capacity > 0 && p.tokens > capacity && p.tail != e {
		p.evict(p.tail)
	}
}

// Len returns the number of parts.
func (p *Cache) Len() int {
	return len(p.entries)
}

// Remove deletes a part that the modelled cache no longer contains.
func (p *Cache) Remove(hash uint64) {
	if e := p.entries[hash]; e != nil {
		p.evict(e)
	}
}

func (p *Cache) evict(e *entry) {
	p.unlink(e)
	delete(p.entries, e.hash)
	p.tokens -= e.tokens
}

func (p *Cache) pushFront(e *entry) {
	e.prev, e.next = nil, p.head
	if p.head != nil {
		p.head.prev = e
	}
	p.head = e
	if p.tail == nil {
		p.tail = e
	}
}

func (p *Cache) unlink(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		p.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		p.tail = e.prev
	}
	e.prev, e.next = nil, nil
}
