// Package fleet is one process's view of the targets: what the platform's
// list says of them, joined with what the process's own traffic met. It is
// pure but for its lock: time comes in as an argument.
package fleet

import (
	"errors"
	"time"
)

// Target is a target as the platform's list shows it.
type Target struct {
	// ID is the target's, which may start again under it, and Born the Unix
	// millisecond of its start; 0 where it does not say.
	ID      string
	Born    int64
	Service string
	// Address is IP:PORT; after a target has ended another may get it.
	Address string
	Zone    string
	// Slots is how many requests it works on at once; 0 where it does not say.
	Slots    int
	Draining bool
	// Weights is the version loaded of each model.
	Weights map[string]int64
}

// Load is what a target says of itself along with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ErrTargetReplaced says that another runner has the address of the one that was
// asked: that one has ended, and is to be left out.
var ErrTargetReplaced = errors.New("another runner has the address; the one that was asked has ended and is to be left out")

// Status is a target's state as it was some hundred milliseconds ago.
type Status struct {
	// Born is the start of the life that reports.
	Born    int64
	Weights map[string]int64
	// Busy is set while it carries an order out.
	Busy bool
	// AcceptedOrders counts the orders that it accepted since its start.
	AcceptedOrders int64
}

// Order tells a runner to load a version of a model's weights. It is carried
// out only while the runner has accepted Orders orders, so that one that
// arrives late, after newer ones, does nothing.
type Order struct {
	Target         Target
	Model          string
	WeightsVersion int64
	Holder         string
	Fence          int64
	ExpectedOrders int64
	// Truncate ends the streams of the requests that run there; otherwise they
	// end first.
	Truncate bool
}

// OrderResult is what became of an order.
type OrderResult string

// The results of an order.
const (
	OrderAccepted      OrderResult = "accepted"
	OrderAlreadyLoaded OrderResult = "holds"
	OrderConflict      OrderResult = "conflict"
	OrderFenced        OrderResult = "fenced"
	OrderMisdirected   OrderResult = "misdirected"
	OrderRefused       OrderResult = "refused"
	// OrderLost: no answer; the order may be carried out, also much later.
	OrderLost OrderResult = "lost"
)

// loadValid is for how long a target's word about its load is taken for
// present: requests take tens to hundreds of milliseconds.
const loadValid = 400 * time.Millisecond
