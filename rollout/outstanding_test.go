package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"acaciakeel/fleet"
)

// answeringClient ends each order after a time with a result.
type answeringClient struct {
	recordingClient
	after  time.Duration
	result fleet.OrderResult
}

func (c *answeringClient) Order(ctx context.Context, order fleet.Order) (fleet.OrderResult, error) {
	_, _ = c.recordingClient.Order(ctx, order)
	select {
	case <-time.After(c.after):
		return c.result, nil
	case <-ctx.Done():
		return fleet.OrderLost, ctx.Err()
	}
}

// Guards against a lock that is given up while orders are on their way: they would arrive after
// those of the next holder. Times are virtual.
func TestOrdersAreSettledBeforeTheLockIsReleased(t *testing.T) {
	const transit = 1200 * time.Millisecond
	for _, test := range []struct {
		name   string
		after  time.Duration
		result fleet.OrderResult
		within time.Duration
		want   time.Duration
		fails  bool
	}{
		{"answered", 600 * time.Millisecond, fleet.OrderAccepted, 5 * time.Second, 600 * time.Millisecond, false},
		{"refused", 600 * time.Millisecond, fleet.OrderConflict, 5 * time.Second, 600 * time.Millisecond, false},
		{"not sent", 600 * time.Millisecond, fleet.OrderNotSent, 5 * time.Second, 600 * time.Millisecond, false},
		{"refused in another's name", 600 * time.Millisecond, fleet.OrderMisdirected, 5 * time.Second, 600*time.Millisecond + transit, false},
		{"without an answer", 600 * time.Millisecond, fleet.OrderLost, 5 * time.Second, 600*time.Millisecond + transit, false},
		{"in progress at the end", time.Second, fleet.OrderAccepted, 300 * time.Millisecond, 300 * time.Millisecond, true},
		{"maybe on its way at the end", 600 * time.Millisecond, fleet.OrderLost, time.Second, time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New("z")
				r := fleet.Target{ID: "r", Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
				f.Put(r)
				client := &answeringClient{after: test.after, result: test.result}
				c := NewController("n", Config{Leadership: alwaysLeader{}, Client: client, Fleet: f, Notify: func() {}, OrderTransit: transit}, discardLogger())
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go c.updateRunner(ctx, Decision{Runner: r}, "m", 2)
				synctest.Wait()
				begun := time.Now()
				settle, end := context.WithTimeout(ctx, test.within)
				defer end()
				err := c.SettleOrders(settle)
				if took := time.Since(begun); took != test.want || (err != nil) != test.fails {
					t.Errorf("settled after %v (%v), want %v, failing: %v", took, err, test.want, test.fails)
				}
				c.updateRunner(ctx, Decision{Runner: r}, "m", 3)
				if n := len(client.orders); n != 1 {
					t.Errorf("%d orders, want none after the lock is to be released", n-1)
				}
			})
		})
	}
}

// Guards against a process that gives no orders after it has acquired the lock once more.
func TestLaterHoldGivesOrders(t *testing.T) {
	o := newOutstandingOrders(0)
	o.stop(7)
	for fence, want := range map[int64]bool{6: false, 7: false, 8: true} {
		if got := o.begin(fence, time.Now()); got != want {
			t.Errorf("order with fence %d: %v, want %v", fence, got, want)
		}
	}
}

// Guards against a lower fencing token after a higher one where a process has acquired the lock
// again while its orders under the earlier hold may still arrive.
func TestOrdersOfLaterHoldFollowEarlierOnes(t *testing.T) {
	const transit = time.Second
	o, now := newOutstandingOrders(transit), time.Now()
	for range 2 {
		if !o.begin(7, now) {
			t.Fatal("an order of the present hold is not given")
		}
	}
	check := func(when string, fence int64, at time.Time, want bool) {
		t.Helper()
		if got := o.begin(fence, at); got != want {
			t.Errorf("%s: order with token %d: %t, want %t", when, fence, got, want)
		}
	}
	check("in progress", 8, now, false)
	o.end(fleet.OrderLost, now)
	o.end(fleet.OrderAccepted, now)
	check("may still arrive", 8, now.Add(transit-1), false)
	check("have arrived", 8, now.Add(transit), true)
	check("after a later one", 7, now.Add(transit), false)
}
