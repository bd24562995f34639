package entry

import (
	"sync"
	"time"

	"acaciakeel/retry"
)

// budgets are the retry budgets of one entry: its own and each customer's.
type budgets struct {
	ratio     float64
	mu        sync.Mutex
	own       *retry.Budget
	customers map[string]*retry.Budget
}

// Floors keep a few retries a second possible where requests are few.
const (
	ownFloor      = 2.0
	customerFloor = 0.5
)

func newBudgets(ratio float64) *budgets {
	return &budgets{
		ratio:     ratio,
		own:       retry.NewBudget(ratio, ownFloor, time.Now()),
		customers: map[string]*retry.Budget{},
	}
}

func (b *budgets) of(customer string, now time.Time) *retry.Budget {
	budget := b.customers[customer]
	if budget == nil {
		budget = retry.NewBudget(b.ratio, customerFloor, now)
		b.customers[customer] = budget
	}
	return budget
}

// request counts one request in.
func (b *budgets) request(customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.own.RecordRequest(now)
	b.of(customer, now).RecordRequest(now)
}

// take takes one retry of a customer out of both budgets.
func (b *budgets) take(customer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return b.of(customer, now).Take(now) && b.own.Take(now)
}
