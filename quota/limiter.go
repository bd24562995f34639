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
	tolerance Tolerance
	disabled  policy.Disabled
	// hasLease reports whether the others count on this process being there.
	hasLease  func() bool
	startedAt time.Time

	mu sync.Mutex
	// accounts are by the hash of the customer's name, only of those with limits.
	accounts map[uint64]*account
	ids      map[string]uint64
	peers    map[string]*sender
	// groupSenders are those that tell of other groups, by the group.
	groupSenders map[int]*sender
	// senders are all that are known of both.
	senders []*sender
	// groupReportedAt is when each other group was told last.
	groupReportedAt map[int]time.Time
	// members is how many processes serve, as the store says, this one included.
	members int
	// recentMembers is how many there have been lately.
	recentMembers int
	changes       []Change
	// staggerCost is what one request counts, where slices begin with a random part of that
	// as debt; 0 has them begin with none.
	staggerCost float64
	random      *rand.Rand
}

// NewLimiter returns the book of a process that starts now. leased reports whether the
// other processes still count this one in.
func NewLimiter(tolerance Tolerance, disabled policy.Disabled, hasLease func() bool, now time.Time) *Limiter {
	return &Limiter{
		tolerance: tolerance, disabled: disabled, hasLease: hasLease, startedAt: now, members: 1,
		accounts: map[uint64]*account{}, ids: map[string]uint64{}, peers: map[string]*sender{}, groupSenders: map[int]*sender{}, groupReportedAt: map[int]time.Time{},
	}
}

// Stagger has the slices of new accounts, of which each request counts so much, begin
// with a random part of one as debt. Without it each of many processes lets one request
// in at the same moment once an account is limited. It is called before the book is used.
func (lim *Limiter) Stagger(requestCost float64, random *rand.Rand) {
	lim.staggerCost, lim.random = requestCost, random
}

// warmUp is how long after its start a process knows how many there are, and has
// heard of them what was let in before.
const warmUp = time.Second

// warmingUp reports whether the process has just started; the caller holds mu.
func (lim *Limiter) warmingUp(now time.Time) bool {
	return now.Sub(lim.startedAt) < warmUp
}

// SetLimits sets the limits of all customers by their names. What a customer has left
// changes in proportion to its limit.
func (lim *Limiter) SetLimits(limits map[string]Limit, now time.Time) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	ids := make(map[string]uint64, len(limits))
	accounts := make(map[uint64]*account, len(limits))
	for name, l := range limits {
		if !l.enabled() {
			continue
		}
		l = l.withMinBurst()
		id := prefix.NameHash(name)
		ids[name] = id
		a := lim.accounts[id]
		if a == nil {
			a = lim.newAccount(name, l, now)
		}
		lim.refresh(a, now)
		lim.changeLimit(a, l)
		accounts[id] = a
	}
	lim.ids, lim.accounts = ids, accounts
}

// SetMembers sets how many processes serve, this one included.
func (lim *Limiter) SetMembers(n int) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.members = max(1, n)
}

// SetRecentMembers sets how many processes there have been lately.
func (lim *Limiter) SetRecentMembers(n int) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.recentMembers = n
}

// expectedProcesses returns how many processes may be there: one that has just started knows of
// few yet. The caller holds mu.
func (lim *Limiter) expectedProcesses(now time.Time) int {
	if lim.warmingUp(now) {
		return max(lim.members, lim.recentMembers)
	}
	return lim.members
}

// Charge is what one request counts at its customer's account; a nil Charge is that
// of a customer without a limit. It is not safe for concurrent use.
type Charge struct {
	limiter    *Limiter
	id         uint64
	cost       float64
	executions int
}

// Admit lets one request of a customer in, or returns false and when to come back.
func (lim *Limiter) Admit(customer string, size Size, now time.Time) (charge *Charge, wait time.Duration, ok bool) {
	if lim.disabled[policy.CustomerLimits] {
		return nil, 0, true
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	id, limited := lim.ids[customer]
	if !limited {
		return nil, 0, true
	}
	a := lim.accounts[id]
	lim.refresh(a, now)
	cost := a.limit.cost(size)
	a.addDemand(cost)
	c := lim.capacity(a, cost, now)
	if !c.available {
		wait = a.refuse(cost, c)
		lim.recordRefusal(a, now)
		return nil, wait, false
	}
	a.admit(cost)
	return &Charge{limiter: lim, id: id, cost: cost, executions: 1}, 0, true
}

// SetExecutions sets how many of the request's sends may have run or may yet run: each counts
// once, and what the customer was charged for others it gets back.
func (c *Charge) SetExecutions(executions int) {
	if c == nil || executions == c.executions {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if a := c.limiter.accounts[c.id]; a != nil {
		a.admit(float64(executions-c.executions) * c.cost)
	}
	c.executions = executions
}
