package entry

import (
	"sync"
	"time"

	"acaciakeel/contract"
	"acaciakeel/refusal"
	"acaciakeel/resource"
)

// contracts holds each customer's account at this entry.
type contracts struct {
	mu       sync.Mutex
	accounts map[string]*contract.Limiter
	entries  int
}

func newContracts() *contracts {
	return &contracts{accounts: map[string]*contract.Limiter{}, entries: 1}
}

// setEntries tells how many entries share the limits.
func (c *contracts) setEntries(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = max(1, n)
}

func (c *contracts) account(name string, spec resource.Customer, now time.Time) *contract.Limiter {
	limits := contract.Limits{
		RequestsPerSecond: spec.RequestsPerSecond,
		TokensPerSecond:   spec.TokensPerSecond,
		Streams:           spec.Streams,
	}.Share(c.entries)
	a := c.accounts[name]
	if a == nil {
		a = contract.NewLimiter(limits)
		c.accounts[name] = a
	}
	a.SetLimits(limits, now)
	return a
}

// begin takes a request in, or refuses it.
func (c *contracts) begin(name string, spec resource.Customer, tokens int) *refusal.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	exceeded, after := c.account(name, spec, now).Acquire(tokens, now)
	if exceeded == contract.None {
		return nil
	}
	return refusal.New(refusal.ContractExceeded, "come back after the time in Retry-After, or ask the operator for a larger contract",
		"the contract's limit of %s is met", exceeded).WithRetryAfter(after)
}

// end ends a request, charging the tokens it generated.
func (c *contracts) end(name string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accounts[name]
	if a == nil {
		return
	}
	a.Charge(tokens, time.Now())
	a.Release()
}
