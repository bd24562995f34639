package quota

import "time"

// CanAdmit reports whether one more request of an account may be let in. It counts as asked
// for: were the account the only open one, it would get them all. An account without a
// limit is open.
func (lim *Limiter) CanAdmit(name string, size Size, now time.Time) bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	a := lim.accounts[lim.ids[name]]
	if a == nil {
		return true
	}
	lim.refresh(a, now)
	cost := a.limit.cost(size)
	a.addDemand(cost)
	open := lim.capacity(a, cost, now).available
	if !open {
		// What is asked in vain changes the others' shares.
		a.reported.refusedSince = true
	}
	return open
}

// Consume counts a request that is let in whether or not there is room for it.
func (lim *Limiter) Consume(name string, size Size, now time.Time) *Charge {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	id := lim.ids[name]
	a := lim.accounts[id]
	if a == nil {
		return nil
	}
	lim.refresh(a, now)
	cost := a.limit.cost(size)
	a.admit(cost)
	return &Charge{limiter: lim, id: id, cost: cost, executions: 1}
}

// RetryAfter returns after how long an account is expected to have room for a request, behind
// those who were promised it before; 0 where it has no limit.
func (lim *Limiter) RetryAfter(name string, size Size, now time.Time) time.Duration {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	a := lim.accounts[lim.ids[name]]
	if a == nil {
		return 0
	}
	lim.refresh(a, now)
	cost := a.limit.cost(size)
	return a.retryAfter(lim.capacity(a, cost, now))
}

// ReserveRetry counts a request that was told to come back.
func (lim *Limiter) ReserveRetry(name string, size Size, now time.Time) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if a := lim.accounts[lim.ids[name]]; a != nil {
		lim.refresh(a, now)
		a.addPendingRetry(a.limit.cost(size))
	}
}
