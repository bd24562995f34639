package rollout

import (
	"context"
	"sync"
	"testing"
	"time"

	"acaciakeel/fleet"
)

// recordingClient records the orders that it is given.
type recordingClient struct {
	mu     sync.Mutex
	orders []fleet.Order
}

func (o *recordingClient) Report(context.Context, fleet.Runner) (fleet.Report, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	version := int64(1)
	if len(o.orders) > 0 {
		version = o.orders[len(o.orders)-1].Weights
	}
	return fleet.Report{Weights: map[string]int64{"m": version}}, nil
}

func (o *recordingClient) Order(_ context.Context, order fleet.Order) (fleet.OrderResult, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders = append(o.orders, order)
	return fleet.OrderAccepted, nil
}

type alwaysLeader struct{}

func (alwaysLeader) Held() (int64, bool)      { return 1, true }
func (alwaysLeader) Remaining() time.Duration { return time.Minute }

// expiringLeader is a leadership that ends soon.
type expiringLeader struct{ alwaysLeader }

func (expiringLeader) Remaining() time.Duration { return 50 * time.Millisecond }

// blockedClient blocks each order until its context ends.
type blockedClient struct{ recordingClient }

func (h *blockedClient) Order(ctx context.Context, _ fleet.Order) (fleet.OrderResult, error) {
	<-ctx.Done()
	return fleet.OrderLost, ctx.Err()
}

// An order delayed beyond the leadership could arrive after the next leader's order,
// with a lower fencing token. It must be canceled when the leadership ends.
func TestOrderIsCanceledWhenLeadershipEnds(t *testing.T) {
	f := fleet.New("z")
	r := fleet.Runner{ID: "r", Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
	f.Put(r)
	h := NewController("n", Config{Leadership: expiringLeader{}, Client: &blockedClient{}, Fleet: f, Notify: func() {}}, discardLogger())
	// If the order is not canceled, the test fails by its own time-out.
	h.updateRunner(context.Background(), Decision{Runner: r}, "m", 2)
}

// updateOne updates one runner with the given requests in progress to weights 2 and
// returns the order that it got.
func updateOne(t *testing.T, stays ...fleet.Stay) fleet.Order {
	t.Helper()
	f := fleet.New("z")
	r := fleet.Runner{ID: "r", Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
	f.Put(r)
	for _, s := range stays {
		f.Begin(r.Life(), s, time.Now())
	}
	o := &recordingClient{}
	h := NewController("n", Config{Leadership: alwaysLeader{}, Client: o, Fleet: f, Notify: func() {}}, discardLogger())
	h.updateRunner(context.Background(), Decision{Runner: r}, "m", 2)
	if len(o.orders) != 1 {
		t.Fatalf("got %d orders, want 1", len(o.orders))
	}
	return o.orders[0]
}

// Truncating a run that cannot be resumed elsewhere loses its answer; leaving resumable
// long runs to end keeps a runner nearly idle for seconds.
func TestOnlyResumableRunsAreTruncated(t *testing.T) {
	draft := fleet.Stay{Long: true, Resumable: true}
	for _, test := range []struct {
		name  string
		stays []fleet.Stay
		want  bool
	}{
		{"only resumable long runs", []fleet.Stay{draft, draft}, true},
		{"a long run beside one that is not resumable", []fleet.Stay{draft, {}}, false},
		{"a long run that is not resumable", []fleet.Stay{{Long: true}}, false},
		{"short runs", []fleet.Stay{{Resumable: true}}, false},
		{"nothing", nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if got := updateOne(t, test.stays...).Truncate; got != test.want {
				t.Errorf("truncate = %v, want %v", got, test.want)
			}
		})
	}
}
