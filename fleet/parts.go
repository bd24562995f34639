package fleet

import (
	"time"

	"acaciakeel/prefix"
)

// PartHash names a part of a prompt under a salt, of which root is the hash.
func PartHash(root uint64, id string) uint64 {
	return prefix.Next(root, []byte(id))
}

// parts is what this process believes a runner has cached: the parts of the
// prompts that it sent there and those that the runner told of, each by its
// hash, oldest use first out.
type parts struct {
	held   map[uint64]*part
	tokens int
	// head and tail of the list by last use, newest first.
	head, tail *part
}

type part struct {
	hash       uint64
	tokens     int
	used       time.Time
	prev, next *part
}

func newParts() *parts {
	return &parts{held: map[uint64]*part{}}
}

func (p *parts) has(hash uint64) bool {
	return p.held[hash] != nil
}

// use notes that a part was sent, and forgets the parts unused for longest
// beyond capacity tokens; a capacity of 0 is no bound.
func (p *parts) use(hash uint64, tokens, capacity int, now time.Time) {
	e := p.held[hash]
	if e == nil {
		e = &part{hash: hash, tokens: tokens}
		p.held[hash] = e
		p.tokens += tokens
	} else {
		p.unlink(e)
	}
	e.used = now
	p.push(e)
	for capacity > 0 && p.tokens > capacity && p.tail != e {
		p.drop(p.tail)
	}
}

// forget takes a part out that the runner no longer has.
func (p *parts) forget(hash uint64) {
	if e := p.held[hash]; e != nil {
		p.drop(e)
	}
}

func (p *parts) drop(e *part) {
	p.unlink(e)
	delete(p.held, e.hash)
	p.tokens -= e.tokens
}

func (p *parts) push(e *part) {
	e.prev, e.next = nil, p.head
	if p.head != nil {
		p.head.prev = e
	}
	p.head = e
	if p.tail == nil {
		p.tail = e
	}
}

func (p *parts) unlink(e *part) {
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
