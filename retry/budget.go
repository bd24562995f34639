// Package retry decides whether a request may be sent again. Only a request
// that provably did not run, or that is idempotent, may be; and only while
// the entry's and the customer's budgets last, so that a fault or a herd of
// restarts does not grow the load.
package retry

import (
	"time"

	"acaciakeel/refusal"
)

// Reason is why a request is sent again; each is a label of the retry counter.
type Reason string

// The reasons for a retry.
const (
	Unreachable       Reason = "unreachable"
	TargetUnavailable Reason = "target_away"
	Interrupted       Reason = "interrupted"
	Continued         Reason = "continued"
	Resumed           Reason = "resumed"
	WeightsReplaced   Reason = "replaced"
)

// Reasons returns every reason.
func Reasons() []Reason {
	return []Reason{Unreachable, TargetUnavailable, Interrupted, Continued, Resumed, WeightsReplaced}
}

// MaxAttempts is the most sends of one request, the first included.
const MaxAttempts = 4

// Budget allows retries as a share of recent requests. It is not safe for
// concurrent use.
type Budget struct {
	ratio   float64
	floor   float64
	most    float64
	balance float64
	last    time.Time
}

// maxBalance bounds what a quiet time saves up, in retries, unless SetExtra
// says otherwise.
const maxBalance = 20

// NewBudget returns a budget of ratio retries a request and, for entries with
// few requests, floor retries a second.
func NewBudget(ratio, floor float64, now time.Time) *Budget {
	return &Budget{ratio: ratio, floor: floor, most: maxBalance, balance: maxBalance / 2, last: now}
}

// SetRateAndBurst says how many retries a second are allowed beside the ratio, and how
// many a quiet time saves up. Where many processes share a bound, what each
// saves up adds to what all send at once.
func (b *Budget) SetRateAndBurst(floor, most float64, now time.Time) {
	b.refill(now)
	b.floor = floor
	b.most = most
	b.balance = min(b.balance, most)
}

func (b *Budget) refill(now time.Time) {
	b.add(b.floor * now.Sub(b.last).Seconds())
	b.last = now
}

func (b *Budget) add(retries float64) {
	b.balance = min(b.balance+retries, b.most)
}

// RecordRequest counts one request in.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.add(b.ratio)
}

// Take takes one retry out and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Allowed reports whether a request that ended with r may be sent again.
func Allowed(r *refusal.Error, idempotent bool, sends int) bool {
	if sends >= MaxAttempts {
		return false
	}
	switch r.Kind {
	case refusal.Stopping, refusal.TargetNotReady, refusal.NoTarget, refusal.TargetFailed, refusal.ResumeUnavailable:
		return r.Outcome == refusal.NotRun || idempotent
	}
	// A full queue is final: it was the cheapest of all that were asked.
	return false
}
