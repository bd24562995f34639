// Package retry decides whether a request may be sent again. Only a request that
// provably did not run, or that is idempotent, may be retried, and only within the
// budgets of the entry and of the customer, so that a fault or many simultaneous
// restarts do not multiply the load.
package retry

import (
	"time"

	"acaciakeel/refusal"
)

// Reason is why a request is sent again; each reason is a label value of the retry
// counter.
type Reason string

const (
	Unreachable       Reason = "unreachable"
	TargetUnavailable Reason = "target_away"
	Interrupted       Reason = "interrupted"
	Continued         Reason = "continued"
	Resumed           Reason = "resumed"
	WeightsReplaced   Reason = "replaced"
	// Unresponsive: the target was found not to respond while it had the request.
	Unresponsive Reason = "unresponsive"
	// Unmatched: the target sent the response to another request.
	Unmatched Reason = "unmatched"
	// Oversized: the target sent more than a response may have.
	Oversized Reason = "oversized"
	// Malformed: the target sent a response that the protocol does not allow.
	Malformed Reason = "malformed"
	// Misplaced: the target did not continue the stream after the last event that the client has.
	Misplaced Reason = "misplaced"
)

func Reasons() []Reason {
	return []Reason{Unreachable, TargetUnavailable, Interrupted, Continued, Resumed, WeightsReplaced, Unresponsive, Unmatched, Oversized, Malformed, Misplaced}
}

// MaxAttempts is the maximum number of times that one request is sent, including the
// first.
const MaxAttempts = 4

// Budget limits retries to a share of recent requests. It is not safe for concurrent
// use.
type Budget struct {
	ratio     float64
	perSecond float64
	burst     float64
	balance   float64
	last      time.Time
}

// defaultBurst is the maximum number of retries that accumulate while there are few
// requests, unless SetRateAndBurst sets another maximum.
const defaultBurst = 20

// NewBudget returns a budget of ratio retries per request plus perSecond retries per
// second, which serve entries with few requests.
func NewBudget(ratio, perSecond float64, now time.Time) *Budget {
	return &Budget{ratio: ratio, perSecond: perSecond, burst: defaultBurst, balance: defaultBurst / 2, last: now}
}

// SetRateAndBurst sets how many retries per second are allowed in addition to the
// ratio, and how many may accumulate. Where many processes share one limit, their
// accumulated retries add up to a single burst.
func (b *Budget) SetRateAndBurst(perSecond, burst float64, now time.Time) {
	b.refill(now)
	b.perSecond = perSecond
	b.burst = burst
	b.balance = min(b.balance, burst)
}

func (b *Budget) refill(now time.Time) {
	b.add(b.perSecond * now.Sub(b.last).Seconds())
	b.last = now
}

func (b *Budget) add(retries float64) {
	b.balance = min(b.balance+retries, b.burst)
}

// RecordRequest adds one request to the budget.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.add(b.ratio)
}

// Take consumes one retry and reports whether the budget had one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Allowed reports whether a request that failed with r may be sent again after the
// given number of attempts.
func Allowed(r *refusal.Error, idempotent bool, attempts int) bool {
	if attempts >= MaxAttempts {
		return false
	}
	switch r.Kind {
	case refusal.Stopping, refusal.TargetNotReady, refusal.NoTarget, refusal.TargetFailed, refusal.ResumeUnavailable:
		return r.Outcome == refusal.NotRun || idempotent
	}
	// A full queue is final: the target that refused was the cheapest of all
	// candidates.
	return false
}
