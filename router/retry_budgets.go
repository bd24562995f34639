package router

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"acaciakeel/retry"
)

// Shares of the retry bounds that the budgets use. They leave a margin because the bounds
// apply to sliding windows over all processes, which do not know each other's retries.
const (
	// ratioRateShare is the share of the ratio that each request adds to the budget.
	// ratioBurstShare is the share that may accumulate for the case that many streams break
	// off at once: then nearly all retries of a window come together.
	ratioRateShare  = 0.4
	ratioBurstShare = 0.45
	// extraRateShare is the share of the extra retries that is added over time.
	// extraBurstShare is the share that may accumulate while there are few retries.
	extraRateShare  = 0.25
	extraBurstShare = 0.25
)

// retryBudgets holds the retry budget of each service in this process.
type retryBudgets struct {
	mu        sync.Mutex
	bounds    RetryBounds
	byService map[string]*serviceBudget
	// draw is a random number of this process, from 0 to 1. If there are more processes than
	// retries that may accumulate, it decides whether this process may accumulate one.
	draw float64
}

// serviceBudget is the retry budget of one service.
type serviceBudget struct {
	*retry.Budget
	// recentRequests approximates the number of requests in the last window by exponential
	// decay.
	recentRequests float64
	decayedAt      time.Time
}

func newRetryBudgets(b RetryBounds) *retryBudgets {
	return &retryBudgets{bounds: b, byService: map[string]*serviceBudget{}, draw: rand.Float64()}
}

func (b *retryBudgets) forService(service string, now time.Time) *serviceBudget {
	budget := b.byService[service]
	if budget == nil {
		budget = &serviceBudget{Budget: retry.NewBudget(b.bounds.Ratio*ratioRateShare, 0, now), decayedAt: now}
		b.byService[service] = budget
	}
	return budget
}

// recordRequest counts a request for a service.
func (b *retryBudgets) recordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.forService(service, now)
	budget.decay(now, b.bounds.Window)
	budget.recentRequests++
	budget.RecordRequest(now)
}

// decay applies the exponential decay of recentRequests up to now.
func (b *serviceBudget) decay(now time.Time, window time.Duration) {
	b.recentRequests *= math.Exp(-now.Sub(b.decayedAt).Seconds() / window.Seconds())
	b.decayedAt = now
}

// take takes one retry from the share of the bounds that this process has as one of the given
// number of processes, and reports whether there was one.
func (b *retryBudgets) take(service string, processes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.forService(service, now)
	budget.decay(now, b.bounds.Window)
	share := b.bounds.Extra / float64(processes)
	burst := max(b.minBurst(share), share*extraBurstShare) + ratioBurstShare*b.bounds.Ratio*budget.recentRequests
	budget.SetRateAndBurst(share*extraRateShare/b.bounds.Window.Seconds(), burst, now)
	return budget.Take(now)
}

// minBurst returns the minimum number of retries that this process may accumulate: one, since
// a fraction allows no retry. If the share of each process is less than one, only as many
// processes get one as the bound allows. With one for every process, 370 entries would send
// 370 retries at once where 246 are allowed.
func (b *retryBudgets) minBurst(share float64) float64 {
	if b.draw < share*(1-extraRateShare) {
		return 1
	}
	return 0
}
