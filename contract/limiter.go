// Package contract holds each customer's limits at one entry. An entry
// enforces its share of a limit, so no call crosses the network on the way of
// a request; docs/design/contracts.md says how far over a limit a customer
// can get.
package contract

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits are a customer's limits over all entries; 0 is none.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Streams           int
}

// Share returns the part of l that one of entries enforces. Streams are
// rounded up, so that every entry can serve at least one.
func (l Limits) Share(entries int) Limits {
	n := max(1, entries)
	return Limits{
		RequestsPerSecond: l.RequestsPerSecond / float64(n),
		TokensPerSecond:   l.TokensPerSecond / float64(n),
		Streams:           (l.Streams + n - 1) / n,
	}
}

// Exceeded names the limit that a request met.
type Exceeded string

// The limits that a request can meet.
const (
	None     Exceeded = ""
	Requests Exceeded = "requests"
	Tokens   Exceeded = "tokens"
	Streams  Exceeded = "streams"
)

// burst is how long a customer may save its rate up.
const burst = time.Second

// Limiter is one customer's use at one entry. It is not safe for concurrent use.
type Limiter struct {
	limits   Limits
	requests *rate.Limiter
	tokens   *rate.Limiter
	streams  int
}

// NewLimiter returns an account under the given share of limits.
func NewLimiter(l Limits) *Limiter {
	a := &Limiter{requests: rate.NewLimiter(rate.Inf, 0), tokens: rate.NewLimiter(rate.Inf, 0)}
	a.SetLimits(l, time.Time{})
	return a
}

// SetLimits changes the limits; use so far counts on.
func (a *Limiter) SetLimits(l Limits, now time.Time) {
	if l == a.limits && !now.IsZero() {
		return
	}
	a.limits = l
	set(a.requests, l.RequestsPerSecond, now)
	set(a.tokens, l.TokensPerSecond, now)
}

func set(limiter *rate.Limiter, perSecond float64, now time.Time) {
	if perSecond == 0 {
		limiter.SetLimitAt(now, rate.Inf)
		return
	}
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, max(1, int(perSecond*burst.Seconds())))
}

// Acquire takes one request of tokens in, or says which limit it met and when
// to come back. After None, End must follow.
func (a *Limiter) Acquire(tokens int, now time.Time) (Exceeded, time.Duration) {
	if a.limits.Streams > 0 && a.streams >= a.limits.Streams {
		return Streams, burst
	}
	if wait := peek(a.tokens, tokens, now); wait > 0 {
		return Tokens, wait
	}
	if wait := peek(a.requests, 1, now); wait > 0 {
		return Requests, wait
	}
	take(a.tokens, tokens, now)
	take(a.requests, 1, now)
	a.streams++
	return None, 0
}

// peek returns how long n would have to wait. A request larger than the burst
// passes once the bucket is full, and leaves it in debt.
func peek(limiter *rate.Limiter, n int, now time.Time) time.Duration {
	if limiter.Limit() == rate.Inf {
		return 0
	}
	missing := float64(min(n, limiter.Burst())) - limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

func take(limiter *rate.Limiter, n int, now time.Time) {
	if limiter.Limit() == rate.Inf {
		return
	}
	for step := limiter.Burst(); n > 0; n -= step {
		limiter.ReserveN(now, min(n, step))
	}
}

// Charge charges tokens that became known after Begin, such as those generated.
func (a *Limiter) Charge(tokens int, now time.Time) {
	take(a.tokens, tokens, now)
}

// Release ends one request that Begin took in.
func (a *Limiter) Release() {
	a.streams--
}
