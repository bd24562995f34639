package quota

import (
	"cmp"
	"slices"
	"time"
)

// Change is a customer that went over its limit, or came back within it.
type Change struct {
	Customer string
	Over     bool
	CustomerUsage
}

// CustomerUsage is a customer's use against its limit, as one process knows it.
type CustomerUsage struct {
	Customer string  `json:"customer"`
	Unit     Unit    `json:"unit"`
	Rate     float64 `json:"rate_per_second"`
	Burst    float64 `json:"burst"`
	// Remaining is what may be let in now over all processes; below 0 where more was.
	Remaining float64 `json:"left"`
	// Demand is how much a second is asked of this process, let in or not, and
	// AskedOfAll of all that it hears.
	Demand      float64 `json:"asked_per_second"`
	TotalDemand float64 `json:"asked_of_all_per_second"`
	Admitted    int64   `json:"admitted_requests"`
	Refused     int64   `json:"refused_requests"`
	Over        bool    `json:"over"`
}

// State is what a process knows of all limits.
type State struct {
	// Members is how many processes serve, Heard how many of them are heard, and Part
	// which part of each limit is left to these.
	Members       int             `json:"members"`
	Reachable     int             `json:"heard"`
	LimitFraction float64         `json:"part"`
	Customers     []CustomerUsage `json:"customers"`
}

// Figures of what is told of customers over their limits.
const (
	// overLimitHold is for how long a customer counts as over its limit after a refusal.
	overLimitHold = 5 * time.Second
	// maxChanges bounds the changes that wait to be logged.
	maxChanges = 256
)

// recordRefusal notes a refusal of a customer; the caller holds mu.
func (b *Limiter) recordRefusal(a *account, now time.Time) {
	a.lastRefusedAt = now
	if !a.overLimit {
		a.overLimit = true
		b.recordChange(a, now)
	}
}

func (b *Limiter) recordChange(a *account, now time.Time) {
	if len(b.changes) < maxChanges {
		b.changes = append(b.changes, Change{Customer: a.name, Over: a.overLimit, CustomerUsage: b.customerUsage(a, now)})
	}
}

// Changes returns the customers that went over their limits or came back within them
// since it was asked last.
func (b *Limiter) Changes(now time.Time) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.accounts {
		if a.overLimit && now.Sub(a.lastRefusedAt) > overLimitHold {
			a.overLimit = false
			b.refresh(a, now)
			b.recordChange(a, now)
		}
	}
	out := b.changes
	b.changes = nil
	return out
}

func (b *Limiter) customerUsage(a *account, now time.Time) CustomerUsage {
	return CustomerUsage{
		Customer: a.name, Unit: a.limit.Unit, Rate: a.limit.Rate, Burst: a.limit.Burst, Remaining: a.level,
		Demand: a.demandRate(), TotalDemand: a.totalDemandRate(now), Admitted: a.admitted, Refused: a.refused, Over: a.overLimit,
	}
}

// State returns what is known of all limits, by customer.
func (b *Limiter) State(now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := State{Members: b.members, Reachable: b.reachableProcesses(now), LimitFraction: b.limitFraction(now)}
	for _, a := range b.accounts {
		b.refresh(a, now)
		out.Customers = append(out.Customers, b.customerUsage(a, now))
	}
	slices.SortFunc(out.Customers, func(a, b CustomerUsage) int { return cmp.Compare(a.Customer, b.Customer) })
	return out
}
