// Package contract enforces a customer's limits at one entry. Each entry
// enforces its own share of a limit, so admitting a request needs no network
// call; docs/design/contracts.md says by how much a customer can exceed a limit
// as a result.
package contract

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits are a customer's limits, summed over all entries, or the share of them
// that one entry enforces. A limit of 0 means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Streams           int
}

// Share returns the part of l that each of the given number of entries enforces.
// The limit of streams is rounded up, so that every entry can serve at least
// one.
func (l Limits) Share(entries int) Limits {
	n := max(1, entries)
	return Limits{
		RequestsPerSecond: l.RequestsPerSecond / float64(n),
		TokensPerSecond:   l.TokensPerSecond / float64(n),
		Streams:           (l.Streams + n - 1) / n,
	}
}

// Exceeded names the limit that a request would exceed.
type Exceeded string

// The limits that a request can exceed.
const (
	None     Exceeded = ""
	Requests Exceeded = "requests"
	Tokens   Exceeded = "tokens"
	Streams  Exceeded = "streams"
)

// burstWindow is the time over which unused rate accumulates: a bucket holds at
// most what the rate yields in that time.
const burstWindow = time.Second

// Limiter tracks one customer's usage at one entry and enforces the entry's share
// of the customer's limits. It is not safe for concurrent use.
type Limiter struct {
	limits   Limits
	requests *rate.Limiter
	tokens   *rate.Limiter
	streams  int
}

// NewLimiter returns a limiter that enforces l, which must be a share already.
func NewLimiter(l Limits) *Limiter {
	limiter := &Limiter{requests: rate.NewLimiter(rate.Inf, 0), tokens: rate.NewLimiter(rate.Inf, 0)}
	limiter.SetLimits(l, time.Time{})
	return limiter
}

// SetLimits changes the limits. Usage up to now still counts.
func (limiter *Limiter) SetLimits(l Limits, now time.Time) {
	if l == limiter.limits && !now.IsZero() {
		return
	}
	limiter.limits = l
	setRate(limiter.requests, l.RequestsPerSecond, now)
	setRate(limiter.tokens, l.TokensPerSecond, now)
}

func setRate(bucket *rate.Limiter, ratePerSecond float64, now time.Time) {
	if ratePerSecond == 0 {
		bucket.SetLimitAt(now, rate.Inf)
		return
	}
	bucket.SetLimitAt(now, rate.Limit(ratePerSecond))
	bucket.SetBurstAt(now, max(1, int(ratePerSecond*burstWindow.Seconds())))
}

// Acquire admits a request with the given number of prompt tokens, or returns
// the limit that it would exceed and the time after which to retry. If it
// returns None, the caller must call Release when the request ends.
func (limiter *Limiter) Acquire(tokens int, now time.Time) (Exceeded, time.Duration) {
	if limiter.limits.Streams > 0 && limiter.streams >= limiter.limits.Streams {
		return Streams, burstWindow
	}
	if wait := waitTime(limiter.tokens, tokens, now); wait > 0 {
		return Tokens, wait
	}
	if wait := waitTime(limiter.requests, 1, now); wait > 0 {
		return Requests, wait
	}
	consume(limiter.tokens, tokens, now)
	consume(limiter.requests, 1, now)
	limiter.streams++
	return None, 0
}

// waitTime returns how long a request for the given units would have to wait. A
// request larger than the bucket is admitted once the bucket is full, and leaves
// it with a negative balance.
func waitTime(bucket *rate.Limiter, units int, now time.Time) time.Duration {
	if bucket.Limit() == rate.Inf {
		return 0
	}
	missing := float64(min(units, bucket.Burst())) - bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(bucket.Limit()) * float64(time.Second))
}

func consume(bucket *rate.Limiter, units int, now time.Time) {
	if bucket.Limit() == rate.Inf {
		return
	}
	for chunk := bucket.Burst(); units > 0; units -= chunk {
		bucket.ReserveN(now, min(units, chunk))
	}
}

// Charge consumes tokens whose number became known only after Acquire, such as
// generated ones.
func (limiter *Limiter) Charge(tokens int, now time.Time) {
	consume(limiter.tokens, tokens, now)
}

// Release ends a request that Acquire admitted.
func (limiter *Limiter) Release() {
	limiter.streams--
}
