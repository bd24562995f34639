// Package lru holds what is believed to be in a cache of parts of prompts.
package lru

// Cache are parts of prompts by their hashes, each with its tokens. Beyond a
// capacity those unused for longest are forgotten, as a cache by last use does. New
// returns them empty; they are not safe for concurrent use.
type Cache struct {
	entries map[uint64]*entry
	tokens  int
	// head and tail of the list by last use, newest first.
	head, tail *entry
}

type entry struct {
	hash       uint64
	tokens     int
	prev, next *entry
}

// New returns no parts.
func New() *Cache {
	return &Cache{entries: map[uint64]*entry{}}
}

// Has reports whether a part is held.
func (p *Cache) Has(hash uint64) bool {
	return p.entries[hash] != nil
}

// Use notes that a part was sent, and forgets the parts unused for longest
// beyond capacity tokens; a capacity of 0 is no bound.
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

// Len returns how many parts there are.
func (p *Cache) Len() int {
	return len(p.entries)
}

// Remove takes a part out that the runner no longer has.
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
