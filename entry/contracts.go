package entry

import (
	"sync"
	"time"

	"acaciakeel/contract"
	"acaciakeel/refusal"
	"acaciakeel/resource"
)

// contracts tracks each customer's use of its contract at this entry.
type contracts struct {
	mu         sync.Mutex
	limiters   map[string]*contract.Limiter
	entryCount int
}

func newContracts() *contracts {
	return &contracts{limiters: map[string]*contract.Limiter{}, entryCount: 1}
}

// setEntryCount sets the number of entries that share the limits.
func (c *contracts) setEntryCount(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryCount = max(1, n)
}

func (c *contracts) limiter(name string, spec resource.Customer, now time.Time) *contract.Limiter {
	limits := contract.Limits{
		RequestsPerSecond: spec.RequestsPerSecond,
		TokensPerSecond:   spec.TokensPerSecond,
		Streams:           spec.Streams,
	}.Share(c.entryCount)
	limiter := c.limiters[name]
	if limiter == nil {
		limiter = contract.NewLimiter(limits)
		c.limiters[name] = limiter
	}
	limiter.SetLimits(limits, now)
	return limiter
}

// beginRequest admits a request, or refuses it if a limit of the contract is exceeded.
func (c *contracts) beginRequest(name string, spec resource.Customer, tokens int) *refusal.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	exceeded, retryAfter := c.limiter(name, spec, now).Acquire(tokens, now)
	if exceeded == contract.None {
		return nil
	}
	return refusal.New(refusal.ContractExceeded, "come back after the time in Retry-After, or ask the operator for a larger contract",
		"the contract's limit of %s is met", exceeded).WithRetryAfter(retryAfter)
}

// endRequest ends a request and charges the tokens that it generated.
func (c *contracts) endRequest(name string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limiter := c.limiters[name]
	if limiter == nil {
		return
	}
	limiter.Charge(tokens, time.Now())
	limiter.Release()
}
