package quota

import "time"

// CanAdmit reports whether an account has room for one more request, and counts the request
// as demand: if only this account had room, it would receive all requests. An account
// without a limit always has room.
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
	available := lim.capacity(a, cost, now).available
	if !available {
		// Unmet demand changes the shares of the other processes.
		a.reported.refusedSince = true
	}
	return available
}

// Consume charges a request that is admitted whether or not there is room for it.
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

// RetryAfter returns the time until an account is expected to have room for a request,
// behind those reserved before; 0 if it has no limit.
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

// ReserveRetry counts a refused request that is expected to be retried.
func (lim *Limiter) ReserveRetry(name string, size Size, now time.Time) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if a := lim.accounts[lim.ids[name]]; a != nil {
		lim.refresh(a, now)
		a.addPendingRetry(a.limit.cost(size))
	}
}
