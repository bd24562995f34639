package rollout

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"acaciakeel/clock"
	"acaciakeel/fleet"
)

// outstandingOrders tracks the orders that may still arrive at their runners. The lock may be
// given up only once there are none: the next holder's orders would overtake them.
type outstandingOrders struct {
	// transit is for how long after it was sent an order may arrive.
	transit time.Duration

	mu sync.Mutex
	// stopped is the fencing token up to which no further orders are given.
	stopped int64
	// latest is the fencing token of the latest order.
	latest int64
	// inProgress counts the calls that have not ended; changed is closed when that changes.
	inProgress int
	changed    chan struct{}
	// arrivesUntil is until when an order that got no answer of its runner may still arrive.
	arrivesUntil time.Time
}

func newOutstandingOrders(transit time.Duration) *outstandingOrders {
	return &outstandingOrders{transit: transit, changed: make(chan struct{})}
}

// begin reports whether an order with a fencing token may be given, and counts it. An order of an
// earlier hold that may still arrive would arrive after one with a higher token.
func (o *outstandingOrders) begin(fence int64, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	earlier := fence > o.latest && (o.inProgress > 0 || now.Before(o.arrivesUntil))
	if fence <= o.stopped || fence < o.latest || earlier {
		return false
	}
	o.latest = fence
	o.inProgress++
	return true
}

// end records that the call of an order has ended.
func (o *outstandingOrders) end(result fleet.OrderResult, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inProgress--
	// A refusal in another runner's name need not be that of the order.
	if result == fleet.OrderLost || result == fleet.OrderMisdirected {
		o.arrivesUntil = now.Add(o.transit)
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// stop ends the orders with a fencing token.
func (o *outstandingOrders) stop(fence int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = max(o.stopped, fence)
}

// state returns how many calls are in progress, for how long orders without an answer may still
// arrive, and a channel that is closed at the end of the next call.
func (o *outstandingOrders) state(now time.Time) (inProgress int, arrivesFor time.Duration, changed <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inProgress, o.arrivesUntil.Sub(now), o.changed
}

var errOrdersOutstanding = errors.New("orders that were sent may still arrive")

// SettleOrders ends the orders of the current hold of the lock and returns once none of them can
// arrive any more; if ctx ends before that, it returns an error and the lock must not be given up.
// Orders of a later hold are not affected.
func (c *Controller) SettleOrders(ctx context.Context) error {
	fence, _ := c.leadership.Held()
	return c.outstanding.settle(ctx, fence)
}

// EndOrders is SettleOrders for this and all later holds of the lock.
func (c *Controller) EndOrders(ctx context.Context) error {
	return c.outstanding.settle(ctx, math.MaxInt64)
}

func (o *outstandingOrders) settle(ctx context.Context, fence int64) error {
	o.stop(fence)
	for {
		inProgress, arrivesFor, changed := o.state(time.Now())
		switch {
		case inProgress > 0:
			select {
			case <-changed:
			case <-ctx.Done():
				return errOrdersOutstanding
			}
		case arrivesFor <= 0:
			return nil
		case ctx.Err() != nil:
			return errOrdersOutstanding
		default:
			clock.Sleep(ctx, arrivesFor)
		}
	}
}
