package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// Limiter holds the accounts of one process. It is safe for concurrent use.
type Limiter struct {
	tolerance Tolerance
	disabled  policy.Disabled
	// hasLease reports whether the other processes still count this one as a member.
	hasLease  func() bool
	startedAt time.Time

	mu sync.Mutex
	// accounts are keyed by the hash of the account's name and hold only accounts with
	// limits.
	accounts map[uint64]*account
	ids      map[string]uint64
	peers    map[string]*sender
	// groupSenders are the processes that report for other groups, by group.
	groupSenders map[int]*sender
	// senders are the values of peers and groupSenders.
	senders []*sender
	// groupReportedAt is the time of the last report to each other group.
	groupReportedAt map[int]time.Time
	// activatedAt is when this process last became the relay to each other group.
	activatedAt map[int]time.Time
	// ownGroup is the index of this process's group, groupCount the number of groups.
	ownGroup, groupCount int
	groupChangedAt       time.Time
	// members is the number of serving processes listed in the store, including this one.
	members int
	// recentMembers is the number of processes that served lately.
	recentMembers int
	changes       []Change
	// staggerCost is the cost of one request if slices start with a random part of it as
	// debt, 0 if they start at zero.
	staggerCost float64
	random      *rand.Rand
}

// NewLimiter returns the limiter of a process that starts now. hasLease reports whether the
// other processes still count this one as a member.
func NewLimiter(tolerance Tolerance, disabled policy.Disabled, hasLease func() bool, now time.Time) *Limiter {
	return &Limiter{
		tolerance: tolerance, disabled: disabled, hasLease: hasLease, startedAt: now, members: 1,
		accounts: map[uint64]*account{}, ids: map[string]uint64{}, peers: map[string]*sender{}, groupSenders: map[int]*sender{}, groupReportedAt: map[int]time.Time{}, activatedAt: map[int]time.Time{},
	}
}

// Stagger makes the slices of new accounts start with a random part of one request's cost
// as debt. Otherwise all processes would admit one request at the same moment when an
// account becomes limited. It must be called before the limiter is used.
func (lim *Limiter) Stagger(requestCost float64, random *rand.Rand) {
	lim.staggerCost, lim.random = requestCost, random
}

// warmUp is the time after the start in which a process learns the number of processes and
// the usage before its start.
const warmUp = time.Second

// warmingUp reports whether the process has just started. The caller holds mu.
func (lim *Limiter) warmingUp(now time.Time) bool {
	return now.Sub(lim.startedAt) < warmUp
}

// SetLimits replaces the limits of all accounts, by name. The remaining amount of an
// account is scaled in proportion to its limit.
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

// SetMembers sets the number of serving processes, including this one.
func (lim *Limiter) SetMembers(n int) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.members = max(1, n)
}

// SetRecentMembers sets the number of processes that served lately.
func (lim *Limiter) SetRecentMembers(n int) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.recentMembers = n
}

// expectedProcesses returns the number of processes that may be serving. A starting process
// may not know all members yet and uses the recent number if larger. The caller holds mu.
func (lim *Limiter) expectedProcesses(now time.Time) int {
	if lim.warmingUp(now) {
		return max(lim.members, lim.recentMembers)
	}
	return lim.members
}

// Charge is the cost of one request on its account. A nil Charge belongs to an account
// without a limit. It is not safe for concurrent use.
type Charge struct {
	limiter    *Limiter
	id         uint64
	cost       float64
	executions int
}

// Admit admits one request of a customer, or returns false and the time after which to
// retry.
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

// SetExecutions sets how many of the request's sends were executed or may still be. Each is
// charged once; the account is refunded or charged for the difference.
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
