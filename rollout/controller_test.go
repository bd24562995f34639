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

func (c *recordingClient) Report(context.Context, fleet.Target) (fleet.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := int64(1)
	if len(c.orders) > 0 {
		version = c.orders[len(c.orders)-1].WeightsVersion
	}
	return fleet.Status{Weights: map[string]int64{"m": version}}, nil
}

func (c *recordingClient) Order(_ context.Context, order fleet.Order) (fleet.OrderResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, order)
	return fleet.OrderAccepted, nil
}

type alwaysLeader struct{}

func (alwaysLeader) Held() (int64, bool)      { return 1, true }
func (alwaysLeader) Remaining() time.Duration { return time.Minute }
func (alwaysLeader) Confirm(context.Context)  {}

// expiringLeader is a leadership that ends soon.
type expiringLeader struct{ alwaysLeader }

func (expiringLeader) Remaining() time.Duration { return 50 * time.Millisecond }
func (expiringLeader) Confirm(context.Context)  {}

// blockedClient blocks each order until its context ends.
type blockedClient struct{ recordingClient }

func (c *blockedClient) Order(ctx context.Context, _ fleet.Order) (fleet.OrderResult, error) {
	<-ctx.Done()
	return fleet.OrderLost, ctx.Err()
}

// An order delayed beyond the leadership could arrive after the next leader's order,
// with a lower fencing token. It must be canceled when the leadership ends.
func TestOrderIsCanceledWhenLeadershipEnds(t *testing.T) {
	f := fleet.New("z")
	r := fleet.Target{ID: "r", Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
	f.Put(r)
	c := NewController("n", Config{Leadership: expiringLeader{}, Client: &blockedClient{}, Fleet: f, Notify: func() {}}, discardLogger())
	// If the order is not canceled, the test fails by its own time-out.
	c.updateRunner(context.Background(), Decision{Runner: r}, "m", 2)
}

// updateOne updates one runner with the given requests in progress to weights 2 and
// returns the order that it got.
func updateOne(t *testing.T, loads ...fleet.RequestLoad) fleet.Order {
	t.Helper()
	f := fleet.New("z")
	r := fleet.Target{ID: "r", Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
	f.Put(r)
	for _, load := range loads {
		f.Begin(r.Instance(), load, time.Now())
	}
	client := &recordingClient{}
	c := NewController("n", Config{Leadership: alwaysLeader{}, Client: client, Fleet: f, Notify: func() {}}, discardLogger())
	c.updateRunner(context.Background(), Decision{Runner: r}, "m", 2)
	if len(client.orders) != 1 {
		t.Fatalf("got %d orders, want 1", len(client.orders))
	}
	return client.orders[0]
}

// Truncating a run that cannot be resumed elsewhere loses its answer; leaving resumable
// long runs to end keeps a runner nearly idle for seconds.
func TestOnlyResumableRunsAreTruncated(t *testing.T) {
	longRun := fleet.RequestLoad{Long: true, Resumable: true}
	for _, test := range []struct {
		name  string
		loads []fleet.RequestLoad
		want  bool
	}{
		{"only resumable long runs", []fleet.RequestLoad{longRun, longRun}, true},
		{"a long run beside one that is not resumable", []fleet.RequestLoad{longRun, {}}, false},
		{"a long run that is not resumable", []fleet.RequestLoad{{Long: true}}, false},
		{"short runs", []fleet.RequestLoad{{Resumable: true}}, false},
		{"nothing", nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if got := updateOne(t, test.loads...).Truncate; got != test.want {
				t.Errorf("truncate = %v, want %v", got, test.want)
			}
		})
	}
}
