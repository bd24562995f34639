package quota

import (
	"cmp"
	"slices"
	"time"
)

// Change is a customer that went over its limit or came back within it.
type Change struct {
	Customer string
	Over     bool
	CustomerUsage
}

// CustomerUsage is a customer's usage and limit as known at one process.
type CustomerUsage struct {
	Customer string  `json:"customer"`
	Unit     Unit    `json:"unit"`
	Rate     float64 `json:"rate_per_second"`
	Burst    float64 `json:"burst"`
	// Remaining is the amount that all processes together may admit now; negative if more
	// than the limit was admitted.
	Remaining float64 `json:"left"`
	// Demand is the amount requested per second at this process, admitted or not, and
	// TotalDemand the amount at all reachable processes.
	Demand      float64 `json:"asked_per_second"`
	TotalDemand float64 `json:"asked_of_all_per_second"`
	Admitted    int64   `json:"admitted_requests"`
	Refused     int64   `json:"refused_requests"`
	Over        bool    `json:"over"`
}

// State is the state of all limits as known at one process.
type State struct {
	// Members is the number of serving processes, Reachable how many of them this process
	// reaches, and LimitFraction the fraction of each limit that belongs to these.
	Members       int             `json:"members"`
	Reachable     int             `json:"heard"`
	LimitFraction float64         `json:"part"`
	Customers     []CustomerUsage `json:"customers"`
}

// Parameters of changes.
const (
	// overLimitHold is how long a customer counts as over its limit after a refusal.
	overLimitHold = 5 * time.Second
	// maxChanges bounds the changes that wait to be logged.
	maxChanges = 256
)

// recordRefusal records that a request of the customer was refused. The caller holds mu.
func (lim *Limiter) recordRefusal(a *account, now time.Time) {
	a.lastRefusedAt = now
	if !a.overLimit {
		a.overLimit = true
		lim.recordChange(a, now)
	}
}

func (lim *Limiter) recordChange(a *account, now time.Time) {
	if len(lim.changes) < maxChanges {
		lim.changes = append(lim.changes, Change{Customer: a.name, Over: a.overLimit, CustomerUsage: lim.customerUsage(a, now)})
	}
}

// Changes returns the customers that went over their limits or came back within them since
// the last call.
func (lim *Limiter) Changes(now time.Time) []Change {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	for _, a := range lim.accounts {
		if a.overLimit && now.Sub(a.lastRefusedAt) > overLimitHold {
			a.overLimit = false
			lim.refresh(a, now)
			lim.recordChange(a, now)
		}
	}
	out := lim.changes
	lim.changes = nil
	return out
}

func (lim *Limiter) customerUsage(a *account, now time.Time) CustomerUsage {
	return CustomerUsage{
		Customer: a.name, Unit: a.limit.Unit, Rate: a.limit.Rate, Burst: a.limit.Burst, Remaining: a.level,
		Demand: a.demandRate(), TotalDemand: a.totalDemandRate(now), Admitted: a.admitted, Refused: a.refused, Over: a.overLimit,
	}
}

// State returns the state of all limits, sorted by customer.
func (lim *Limiter) State(now time.Time) State {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	out := State{Members: lim.members, Reachable: lim.reachableProcesses(now), LimitFraction: lim.limitFraction(now)}
	for _, a := range lim.accounts {
		lim.refresh(a, now)
		out.Customers = append(out.Customers, lim.customerUsage(a, now))
	}
	slices.SortFunc(out.Customers, func(a, b CustomerUsage) int { return cmp.Compare(a.Customer, b.Customer) })
	return out
}
