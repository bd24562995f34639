package entry

import (
	"sync"
	"time"

	"acaciakeel/retry"
)

// retryBudgets holds the retry budgets of an entry: one for all requests and one per
// customer.
type retryBudgets struct {
	ratio       float64
	mu          sync.Mutex
	entryBudget *retry.Budget
	customers   map[string]*retry.Budget
}

// Retries per second that are allowed regardless of the ratio, so that retries remain
// possible at low request rates.
const (
	entryRetriesPerSecond    = 2.0
	customerRetriesPerSecond = 0.5
)

func newRetryBudgets(ratio float64) *retryBudgets {
	return &retryBudgets{
		ratio:       ratio,
		entryBudget: retry.NewBudget(ratio, entryRetriesPerSecond, time.Now()),
		customers:   map[string]*retry.Budget{},
	}
}

func (b *retryBudgets) customerBudget(customer string, now time.Time) *retry.Budget {
	budget := b.customers[customer]
	if budget == nil {
		budget = retry.NewBudget(b.ratio, customerRetriesPerSecond, now)
		b.customers[customer] = budget
	}
	return budget
}

// recordRequest adds one request to both budgets.
func (b *retryBudgets) recordRequest(customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.entryBudget.RecordRequest(now)
	b.customerBudget(customer, now).RecordRequest(now)
}

// take consumes one retry from the customer's budget and from the entry's. It returns
// false if either is exhausted.
func (b *retryBudgets) take(customer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return b.customerBudget(customer, now).Take(now) && b.entryBudget.Take(now)
}
