package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// Limiter holds the customers' accounts at one process. It is safe for concurrent use.
type Limiter struct {
	bounds Tolerance
	off    policy.Disabled
	// leased reports whether the others count on this process being there.
	leased func() bool
	start  time.Time

	mu sync.Mutex
	// accounts are by the hash of the customer's name, only of those with limits.
	accounts map[uint64]*account
	names    map[string]uint64
	peers    map[string]*sender
	// far are those that tell of other groups, by the group.
	far map[int]*sender
	// senders are all that are known of both.
	senders []*sender
	// toldFar is when each other group was told last.
	toldFar map[int]time.Time
	// members is how many processes serve, as the store says, this one included.
	members int
	// usual is how many there have been lately.
	usual   int
	changes []Change
	// stagger is what one request counts, where slices begin with a random part of that
	// as debt; 0 has them begin with none.
	stagger float64
	random  *rand.Rand
}

// NewLimiter returns the book of a process that starts now. leased reports whether the
// other processes still count this one in.
func NewLimiter(b Tolerance, off policy.Disabled, leased func() bool, now time.Time) *Limiter {
	return &Limiter{
		bounds: b, off: off, leased: leased, start: now, members: 1,
		accounts: map[uint64]*account{}, names: map[string]uint64{}, peers: map[string]*sender{}, far: map[int]*sender{}, toldFar: map[int]time.Time{},
	}
}

// Stagger has the slices of new accounts, of which each request counts so much, begin
// with a random part of one as debt. Without it each of many processes lets one request
// in at the same moment once an account is limited. It is called before the book is used.
func (b *Limiter) Stagger(each float64, random *rand.Rand) {
	b.stagger, b.random = each, random
}

// settled is how long after its start a process knows how many there are, and has
// heard of them what was let in before.
const settled = time.Second

// settling reports whether the process has just started; the caller holds mu.
func (b *Limiter) settling(now time.Time) bool {
	return now.Sub(b.start) < settled
}

// SetLimits sets the limits of all customers by their names. What a customer has left
// changes in proportion to its limit.
func (b *Limiter) SetLimits(limits map[string]Limit, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := make(map[string]uint64, len(limits))
	accounts := make(map[uint64]*account, len(limits))
	for name, l := range limits {
		if !l.limits() {
			continue
		}
		l = l.usable()
		id := prefix.NameHash(name)
		names[name] = id
		a := b.accounts[id]
		if a == nil {
			a = b.newAccount(name, l, now)
		}
		b.refresh(a, now)
		b.change(a, l)
		accounts[id] = a
	}
	b.names, b.accounts = names, accounts
}

// SetMembers sets how many processes serve, this one included.
func (b *Limiter) SetMembers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = max(1, n)
}

// SetRecentMembers sets how many processes there have been lately.
func (b *Limiter) SetRecentMembers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usual = n
}

// expected returns how many processes may be there: one that has just started knows of
// few yet. The caller holds mu.
func (b *Limiter) expected(now time.Time) int {
	if b.settling(now) {
		return max(b.members, b.usual)
	}
	return b.members
}

// Charge is what one request counts at its customer's account; a nil Charge is that
// of a customer without a limit. It is not safe for concurrent use.
type Charge struct {
	book  *Limiter
	id    uint64
	cost  float64
	times int
}

// Admit lets one request of a customer in, or returns false and when to come back.
func (b *Limiter) Admit(customer string, size Size, now time.Time) (charge *Charge, wait time.Duration, ok bool) {
	if b.off[policy.CustomerLimits] {
		return nil, 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	id, limited := b.names[customer]
	if !limited {
		return nil, 0, true
	}
	a := b.accounts[id]
	b.refresh(a, now)
	cost := a.limit.cost(size)
	a.offer(cost)
	room := b.room(a, cost, now)
	if !room.open {
		wait = a.refuse(cost, room)
		b.noteOver(a, now)
		return nil, wait, false
	}
	a.take(cost)
	return &Charge{book: b, id: id, cost: cost, times: 1}, 0, true
}

// SetExecutions sets how many of the request's sends may have run or may yet run: each counts
// once, and what the customer was charged for others it gets back.
func (c *Charge) SetExecutions(times int) {
	if c == nil || times == c.times {
		return
	}
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	if a := c.book.accounts[c.id]; a != nil {
		a.take(float64(times-c.times) * c.cost)
	}
	c.times = times
}
