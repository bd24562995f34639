// Package quota enforces limits that hold over all processes together: those of customers,
// and those that targets set for the requests sent to them. No request waits for a network
// call. Each process counts what all of them admit, as far as they have reported it, and
// admits a request while the limit has room. The margin that the deployment allows over a
// limit covers usage not reported yet; processes that can't be reached keep their share of
// the limit. The package does no I/O: the caller sends and delivers the updates.
// docs/design/quotas.md describes the alternatives.
package quota

import (
	"fmt"
	"math"
	"time"
)

// Unit is the unit of a limit.
type Unit string

const (
	Requests Unit = "requests"
	Tokens   Unit = "tokens"
)

// Limit is the amount that all processes together may admit for an account. The zero Limit
// means no limit.
type Limit struct {
	// Rate is the amount per second; 0 means no limit.
	Rate float64
	// Burst is the amount that may be saved up.
	Burst float64
	Unit  Unit
	// DefaultTokens is the charge for a request that does not state its tokens.
	DefaultTokens float64
}

func (l Limit) enabled() bool { return l.Rate > 0 }

// minBurst is the least burst, as time at the limit's rate; with less, no request would
// find room. It stays within the tenth of a limit by which deployments allow a window to be
// exceeded.
const minBurst = 250 * time.Millisecond

// withMinBurst returns the limit with its burst raised to the minimum.
func (l Limit) withMinBurst() Limit {
	l.Burst = max(l.Burst, l.Rate*minBurst.Seconds())
	return l
}

// maxValue bounds the numbers of a limit: far beyond any deployment, and small enough that
// sums over a day are exact.
const maxValue = 1e12

// Check returns an error if the limit is invalid.
func (l Limit) Check() error {
	for name, value := range map[string]float64{"rate": l.Rate, "burst": l.Burst, "uncounted": l.DefaultTokens} {
		if math.IsNaN(value) || value < 0 || value > maxValue {
			return fmt.Errorf("limit %s is %v: must be a number from 0 to %v", name, value, maxValue)
		}
	}
	if l.Unit != Requests && l.Unit != Tokens {
		return fmt.Errorf("unknown limit unit %q: must be %s or %s", l.Unit, Requests, Tokens)
	}
	return nil
}

// Size is the number of tokens of a request. Known is false if the request does not state
// it.
type Size struct {
	Tokens int
	Known  bool
}

// maxTokens bounds the charge of one request.
const maxTokens = 1 << 40

// cost returns the charge for a request of the given size.
func (l Limit) cost(s Size) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case !s.Known:
		return l.DefaultTokens
	}
	return float64(min(max(0, s.Tokens), maxTokens))
}

// Tolerance is the excess over a limit that the deployment allows.
type Tolerance struct {
	// Window is the interval over which compliance is measured.
	Window time.Duration
	// Overrun is the relative and Slack the absolute excess allowed in a window.
	Overrun float64
	Slack   float64
}

// margin returns the allowed excess over the limit in a window.
func (b Tolerance) margin(l Limit) float64 {
	return b.Overrun*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}
