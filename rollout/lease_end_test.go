package rollout

import (
	"context"
	"testing"
	"time"

	"acaciakeel/clock"
	"acaciakeel/fleet"
)

// endingLease is a leadership whose lease ends after a time.
type endingLease struct {
	remaining time.Duration
	// fence is the fencing token now, 0 if the lock is not held.
	fence int64
}

func (l endingLease) Held() (int64, bool)      { return l.fence, l.fence != 0 }
func (l endingLease) Remaining() time.Duration { return l.remaining }
func (l endingLease) Confirm(context.Context)  {}

// Guards against an order that is on its way when the leader is killed or its lease ends: it
// arrives after those of the next leader, with a lower fencing token.
func TestOrderArrivesBeforeTheLeaseEnds(t *testing.T) {
	const transit = 1200 * time.Millisecond
	for _, test := range []struct {
		name  string
		lease endingLease
		want  fleet.OrderResult
	}{
		{"in time", endingLease{1500 * time.Millisecond, 7}, fleet.OrderAccepted},
		{"may arrive after the lease", endingLease{1100 * time.Millisecond, 7}, fleet.OrderExpired},
		{"lease has ended", endingLease{0, 7}, fleet.OrderExpired},
		{"lock lost since it was checked", endingLease{2 * time.Second, 0}, fleet.OrderExpired},
		{"lock acquired again since it was checked", endingLease{2 * time.Second, 9}, fleet.OrderExpired},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := &recordingClient{}
			c := NewController("n", Config{Leadership: test.lease, Client: client, Fleet: fleet.New("z"), Notify: func() {}, OrderTransit: transit}, discardLogger())
			begun := clock.Now()
			result, err := c.sendOrder(t.Context(), fleet.Order{Fence: 7})
			if result != test.want || err != nil {
				t.Fatalf("%s (%v), want %s", result, err, test.want)
			}
			if test.want != fleet.OrderAccepted {
				if n := len(client.orders); n != 0 {
					t.Errorf("%d orders were sent", n)
				}
				return
			}
			latest := clock.Now().Add(test.lease.remaining - transit)
			if end := client.orders[0].SendBefore; end < begun.Add(test.lease.remaining-transit) || end > latest {
				t.Errorf("may be sent until %v, want %v at the latest", time.Duration(end), time.Duration(latest))
			}
		})
	}
}
