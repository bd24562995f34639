package quota

import "time"

// CanAdmit reports whether one more request of an account may be let in. It counts as asked
// for: were the account the only open one, it would get them all. An account without a
// limit is open.
func (b *Limiter) CanAdmit(name string, size Size, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[b.ids[name]]
	if a == nil {
		return true
	}
	b.refresh(a, now)
	cost := a.limit.cost(size)
	a.addDemand(cost)
	open := b.capacity(a, cost, now).available
	if !open {
		// What is asked in vain changes the others' shares.
		a.reported.refusedSince = true
	}
	return open
}

// Consume counts a request that is let in whether or not there is room for it.
func (b *Limiter) Consume(name string, size Size, now time.Time) *Charge {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := b.ids[name]
	a := b.accounts[id]
	if a == nil {
		return nil
	}
	b.refresh(a, now)
	cost := a.limit.cost(size)
	a.admit(cost)
	return &Charge{limiter: b, id: id, cost: cost, executions: 1}
}

// RetryAfter returns after how long an account is expected to have room for a request, behind
// those who were promised it before; 0 where it has no limit.
func (b *Limiter) RetryAfter(name string, size Size, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[b.ids[name]]
	if a == nil {
		return 0
	}
	b.refresh(a, now)
	cost := a.limit.cost(size)
	return a.retryAfter(b.capacity(a, cost, now))
}

// ReserveRetry counts a request that was told to come back.
func (b *Limiter) ReserveRetry(name string, size Size, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.accounts[b.ids[name]]; a != nil {
		b.refresh(a, now)
		a.addPendingRetry(a.limit.cost(size))
	}
}
