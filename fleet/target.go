// Package fleet is one process's view of the targets: the platform's list of them,
// combined with what the process's own traffic shows and what other processes report.
// Except for CacheWatcher and ReplacementChecker it does no I/O, and nearly all times are
// arguments.
package fleet

import (
	"errors"
	"time"

	"acaciakeel/clock"
)

// Target is a target as the platform lists it.
type Target struct {
	// ID stays the same when the target restarts. Born is the Unix millisecond of its
	// start; 0 if not stated.
	ID      string
	Born    int64
	Service string
	// Address is IP:PORT; another target may get it after this one has ended.
	Address string
	Zone    string
	// Slots is how many requests the target runs at once; 0 if not stated.
	Slots    int
	Draining bool
	// Build is the version of the target's software, which is unrelated to Weights; empty
	// if not stated.
	Build string
	// Weights is the loaded version of each model.
	Weights map[string]int64
}

// Load is the load that a target reports in a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes there at present, relative to its usual time; 0 if the
	// target does not report it.
	Slowdown float64
}

// ErrTargetReplaced means that a call was refused as one for another target than the one that has
// the address. The refusal names no request, so that it may be a late or foreign one.
var ErrTargetReplaced = errors.New("the call was refused in the name of another target; ask there who has the address")

// Status is a target's state as of some hundred milliseconds ago.
type Status struct {
	// Born is the start of the instance that reports, AskedAt when it was asked.
	Born    int64
	AskedAt time.Time
	Weights map[string]int64
	// Busy is set while the target carries out a load order.
	Busy bool
	// AcceptedOrders counts the load orders accepted since the target's start.
	AcceptedOrders int64
}

// Order tells a target to load a version of a model's weights. It is carried out only if
// the target has accepted ExpectedOrders orders so far, so that an order delayed past
// newer ones has no effect.
type Order struct {
	Target         Target
	Model          string
	WeightsVersion int64
	Holder         string
	Fence          int64
	ExpectedOrders int64
	// Truncate ends the streams of the requests that run there; otherwise they end first.
	Truncate bool
	// SendBefore is when the order may no longer be sent; 0 sets no limit.
	SendBefore clock.BootTime
}

// OrderResult is the outcome of an order.
type OrderResult string

const (
	OrderAccepted      OrderResult = "accepted"
	OrderAlreadyLoaded OrderResult = "holds"
	OrderConflict      OrderResult = "conflict"
	OrderFenced        OrderResult = "fenced"
	OrderMisdirected   OrderResult = "misdirected"
	OrderRefused       OrderResult = "refused"
	// OrderLost means that there was no answer, or one that neither accepts nor refuses; the
	// order may still be carried out, even much later.
	OrderLost OrderResult = "lost"
	// OrderNotSent means that nothing of the order was sent.
	OrderNotSent OrderResult = "not_sent"
	// OrderExpired means that nothing was sent because SendBefore had passed.
	OrderExpired OrderResult = "expired"
)

// loadTTL is for how long a target's reported load is taken as current: requests take
// tens to hundreds of milliseconds.
const loadTTL = 400 * time.Millisecond

// IDs returns the IDs of all known targets.
func (f *Fleet) IDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]string, 0, len(f.states))
	for id := range f.states {
		ids = append(ids, id)
	}
	return ids
}
