// Package quota keeps customers within limits, and the requests to targets within
// those that these name, that hold over all processes together, without a call on the
// way of a request. Each process counts what all of them let in, as far as they told
// it, and lets a request in while the limit has room. What it can't have heard yet is covered by the margin that the deployment
// allows over a limit; for processes that it does not hear it leaves their part of
// the limit. It knows no network: whoever holds a Book carries its words.
// docs/design/quotas.md says what else was weighed.
package quota

import (
	"fmt"
	"math"
	"time"
)

// Unit is what a limit counts.
type Unit string

// The units.
const (
	Requests Unit = "requests"
	Tokens   Unit = "tokens"
)

// Limit is how much of a customer's requests all processes together let in. The zero
// Limit is none.
type Limit struct {
	// Rate is how much a second; 0 is no limit.
	Rate float64
	// Burst is how much may be saved up.
	Burst float64
	Unit  Unit
	// DefaultTokens is the tokens of a request that does not say how many it has.
	DefaultTokens float64
}

// enabled reports whether there is a limit.
func (l Limit) enabled() bool { return l.Rate > 0 }

// minBurst is what may be saved up at least: with less a request would find nothing.
// It stays within the tenth by which deployments let a window be exceeded.
const minBurst = 250 * time.Millisecond

// withMinBurst returns the limit with a burst that lets requests in.
func (l Limit) withMinBurst() Limit {
	l.Burst = max(l.Burst, l.Rate*minBurst.Seconds())
	return l
}

// maxValue bounds the figures of a limit: far beyond any deployment, and small
// enough for sums over a day to be exact.
const maxValue = 1e12

// Check returns what is wrong with a limit.
func (l Limit) Check() error {
	for name, value := range map[string]float64{"rate": l.Rate, "burst": l.Burst, "uncounted": l.DefaultTokens} {
		if math.IsNaN(value) || value < 0 || value > maxValue {
			return fmt.Errorf("the limit's %s is %v; give a number from 0 to %v", name, value, maxValue)
		}
	}
	if l.Unit != Requests && l.Unit != Tokens {
		return fmt.Errorf("the limit counts %q; write %s or %s", l.Unit, Requests, Tokens)
	}
	return nil
}

// Size is a request's tokens; Known is false where it does not say.
type Size struct {
	Tokens int
	Known  bool
}

// maxTokens bounds what one request counts.
const maxTokens = 1 << 40

// cost returns what a request of a size counts.
func (l Limit) cost(s Size) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case !s.Known:
		return l.DefaultTokens
	}
	return float64(min(max(0, s.Tokens), maxTokens))
}

// Tolerance are what the deployment allows over a limit.
type Tolerance struct {
	// Window is the span over which a limit is judged.
	Window time.Duration
	// Overrun is the share of a limit, Slack the amount beside it, by which a window
	// may be exceeded.
	Overrun float64
	Slack   float64
}

// margin returns how far over a limit a window may be.
func (b Tolerance) margin(l Limit) float64 {
	return b.Overrun*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}
