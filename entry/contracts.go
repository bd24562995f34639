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
	mu         sync.Mutex
	accounts   map[string]*contract.Account
	entryCount int
}

func newContracts() *contracts {
	return &contracts{accounts: map[string]*contract.Account{}, entryCount: 1}
}

// setEntryCount tells how many entries share the limits.
func (c *contracts) setEntryCount(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryCount = max(1, n)
}

func (c *contracts) account(name string, spec resource.Customer, now time.Time) *contract.Account {
	limits := contract.Limits{
		RequestsPerSecond: spec.RequestsPerSecond,
		TokensPerSecond:   spec.TokensPerSecond,
		Streams:           spec.Streams,
	}.Share(c.entryCount)
	a := c.accounts[name]
	if a == nil {
		a = contract.NewAccount(limits)
		c.accounts[name] = a
	}
	a.SetLimits(limits, now)
	return a
}

// beginRequest takes a request in, or refuses it.
func (c *contracts) beginRequest(name string, spec resource.Customer, tokens int) *refusal.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	exceeded, retryAfter := c.account(name, spec, now).Begin(tokens, now)
	if exceeded == contract.None {
		return nil
	}
	return refusal.New(refusal.ContractExceeded, "come back after the time in Retry-After, or ask the operator for a larger contract",
		"the contract's limit of %s is met", exceeded).WithRetryAfter(retryAfter)
}

// endRequest ends a request, charging the tokens it generated.
func (c *contracts) endRequest(name string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accounts[name]
	if a == nil {
		return
	}
	a.Used(tokens, time.Now())
	a.End()
}
