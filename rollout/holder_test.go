package rollout

import (
	"context"
	"sync"
	"testing"
	"time"

	"acaciakeel/fleet"
)

// recordingClient notes the recordingClient that leave.
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

// expiringLeader is an office that ends soon.
type expiringLeader struct{ alwaysLeader }

func (expiringLeader) Remaining() time.Duration { return 50 * time.Millisecond }

// blockedClient is a way on which orders are blockedClient up for good.
type blockedClient struct{ recordingClient }

func (h *blockedClient) Order(ctx context.Context, _ fleet.Order) (fleet.OrderResult, error) {
	<-ctx.Done()
	return fleet.OrderLost, ctx.Err()
}

// The holder looks at its office and sends an order, whose way takes longer than the
// office lasts. Another process takes the office and orders the same runner; arriving
// after that, the first order would come under a lower fence. It ends with the office.
func TestOrderIsCanceledWhenLeadershipEnds(t *testing.T) {
	f := fleet.New("z")
	r := fleet.Runner{ID: "r", Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
	f.Put(r)
	h := NewController("n", Config{Leadership: expiringLeader{}, Client: &blockedClient{}, Fleet: f, Notify: func() {}}, discardLogger())
	// The test ends by its own time-out if the order does not.
	h.updateRunner(context.Background(), Decision{Runner: r}, "m", 2)
}

// updateOne brings one runner with the given requests at work to weights 2 and
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
		t.Fatalf("%d orders", len(o.orders))
	}
	return o.orders[0]
}

// A runner has a few drafts left that run for seconds, and all its other slots
// stand empty until they end. They are cut off, as each goes on elsewhere after
// its last event; but never a run that can't, whose user would get half an
// answer, and none where nothing long holds the runner up.
func TestOnlyResumableRunsAreTruncated(t *testing.T) {
	draft := fleet.Stay{Long: true, Resumable: true}
	for _, test := range []struct {
		name  string
		stays []fleet.Stay
		want  bool
	}{
		{"drafts alone", []fleet.Stay{draft, draft}, true},
		{"a draft beside a check that can't go on", []fleet.Stay{draft, {}}, false},
		{"a draft at its last attempt", []fleet.Stay{{Long: true}}, false},
		{"short runs", []fleet.Stay{{Resumable: true}}, false},
		{"nothing", nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if got := updateOne(t, test.stays...).Truncate; got != test.want {
				t.Errorf("cut off: %v, want %v", got, test.want)
			}
		})
	}
}
