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
	// ratioShare is the part of the ratio that comes with each request, burstShare
	// the part that may be saved up for a moment at which many streams break off
	// at once: then nearly all further sends of a window come together.
	ratioShare = 0.4
	burstShare = 0.45
	// extraShare is the part of the extra that comes with time, savedShare the
	// part that a quiet time saves up.
	extraShare = 0.25
	savedShare = 0.25
)

// budgets holds the retry budget of each service at this process.
type budgets struct {
	mu     sync.Mutex
	bounds RetryBounds
	of     map[string]*budget
	// draw is this process's lot, 0 to 1: where there are more processes than the
	// bound has further sends to save up, it says who may save one.
	draw float64
}

// budget is one service's.
type budget struct {
	*retry.Budget
	// recent is about how many requests came within the last window.
	recent float64
	last   time.Time
}

func newBudgets(b RetryBounds) *budgets {
	return &budgets{bounds: b, of: map[string]*budget{}, draw: rand.Float64()}
}

func (b *budgets) budget(service string, now time.Time) *budget {
	have := b.of[service]
	if have == nil {
		have = &budget{Budget: retry.NewBudget(b.bounds.Ratio*ratioShare, 0, now), last: now}
		b.of[service] = have
	}
	return have
}

// request counts a request for a service in.
func (b *budgets) request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	have := b.budget(service, now)
	have.age(now, b.bounds.Window)
	have.recent++
	have.RecordRequest(now)
}

// age lets the requests of earlier windows fade.
func (b *budget) age(now time.Time, window time.Duration) {
	b.recent *= math.Exp(-now.Sub(b.last).Seconds() / window.Seconds())
	b.last = now
}

// take takes one further send out of the part of the bounds that is this
// process's, one of sharers.
func (b *budgets) take(service string, sharers int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	have := b.budget(service, now)
	have.age(now, b.bounds.Window)
	part := b.bounds.Extra / float64(sharers)
	saved := max(b.leastSaved(part), part*savedShare) + burstShare*b.bounds.Ratio*have.recent
	have.SetRateAndBurst(part*extraShare/b.bounds.Window.Seconds(), saved, now)
	return have.Take(now)
}

// leastSaved returns what this process may save up at least: one further send, since
// less is none. Where its part of the bound is less than one, only as many processes
// may as the bound has: with one each, 370 entries would send 370 at the same moment
// where 246 are allowed.
func (b *budgets) leastSaved(part float64) float64 {
	if b.draw < part*(1-extraShare) {
		return 1
	}
	return 0
}
