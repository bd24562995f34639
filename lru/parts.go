// Package lru holds what is believed to be in a cache of parts of prompts.
package lru

// Cache are parts of prompts by their hashes, each with its tokens. Beyond a
// capacity those unused for longest are forgotten, as a cache by last use does. New
// returns them empty; they are not safe for concurrent use.
type Cache struct {
	held   map[uint64]*part
	tokens int
	// head and tail of the list by last use, newest first.
	head, tail *part
}

type part struct {
	hash       uint64
	tokens     int
	prev, next *part
}

// New returns no parts.
func New() *Cache {
	return &Cache{held: map[uint64]*part{}}
}

// Has reports whether a part is held.
func (p *Cache) Has(hash uint64) bool {
	return p.held[hash] != nil
}

// Use notes that a part was sent, and forgets the parts unused for longest
// beyond capacity tokens; a capacity of 0 is no bound.
func (p *Cache) Use(hash uint64, tokens, capacity int) {
	e := p.held[hash]
	if e == nil {
		e = &part{hash: hash, tokens: tokens}
		p.held[hash] = e
		p.tokens += tokens
	} else {
		p.unlink(e)
	}
	p.push(e)
	for capacity > 0 && p.tokens > capacity && p.tail != e {
		p.drop(p.tail)
	}
}

// Len returns how many parts there are.
func (p *Cache) Len() int {
	return len(p.held)
}

// Remove takes a part out that the runner no longer has.
func (p *Cache) Remove(hash uint64) {
	if e := p.held[hash]; e != nil {
		p.drop(e)
	}
}

func (p *Cache) drop(e *part) {
	p.unlink(e)
	delete(p.held, e.hash)
	p.tokens -= e.tokens
}

func (p *Cache) push(e *part) {
	e.prev, e.next = nil, p.head
	if p.head != nil {
		p.head.prev = e
	}
	p.head = e
	if p.tail == nil {
		p.tail = e
	}
}

func (p *Cache) unlink(e *part) {
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
