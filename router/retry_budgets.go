package router

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"acaciakeel/retry"
)

// Shares of the bounds that are used: the bounds hold for sliding windows over
// all processes, which know nothing of each other's use.
const (
	// ratioRateShare is the part of the ratio that comes with each request, burstShare
	// the part that may be saved up for a moment at which many streams break off
	// at once: then nearly all further sends of a window come together.
	ratioRateShare  = 0.4
	ratioBurstShare = 0.45
	// extraRateShare is the part of the extra that comes with time, savedShare the
	// part that a quiet time saves up.
	extraRateShare  = 0.25
	extraBurstShare = 0.25
)

// retryBudgets holds the retry budget of each service at this process.
type retryBudgets struct {
	mu        sync.Mutex
	bounds    RetryBounds
	byService map[string]*serviceBudget
	// draw is this process's lot, 0 to 1: where there are more processes than the
	// bound has further sends to save up, it says who may save one.
	draw float64
}

// serviceBudget is one service's.
type serviceBudget struct {
	*retry.Budget
	// recentRequests is about how many requests came within the last window.
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

// recordRequest counts a recordRequest for a service in.
func (b *retryBudgets) recordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.forService(service, now)
	budget.decay(now, b.bounds.Window)
	budget.recentRequests++
	budget.RecordRequest(now)
}

// decay lets the requests of earlier windows fade.
func (b *serviceBudget) decay(now time.Time, window time.Duration) {
	b.recentRequests *= math.Exp(-now.Sub(b.decayedAt).Seconds() / window.Seconds())
	b.decayedAt = now
}

// take takes one further send out of the part of the bounds that is this
// process's, one of sharers.
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

// minBurst returns what this process may save up at least: one further send, since
// less is none. Where its part of the bound is less than one, only as many processes
// may as the bound has: with one each, 370 entries would send 370 at the same moment
// where 246 are allowed.
func (b *retryBudgets) minBurst(share float64) float64 {
	if b.draw < share*(1-extraRateShare) {
		return 1
	}
	return 0
}
