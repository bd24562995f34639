package rollout

import (
	"context"
	"sync"
	"testing"
	"time"

	"acaciakeel/fleet"
)

// orders notes the orders that leave.
type orders struct {
	mu   sync.Mutex
	sent []fleet.Order
}

func (o *orders) Report(context.Context, fleet.Target) (fleet.Status, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	version := int64(1)
	if len(o.sent) > 0 {
		version = o.sent[len(o.sent)-1].WeightsVersion
	}
	return fleet.Status{Weights: map[string]int64{"m": version}}, nil
}

func (o *orders) Order(_ context.Context, order fleet.Order) (fleet.OrderResult, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent = append(o.sent, order)
	return fleet.OrderAccepted, nil
}

type always struct{}

func (always) Held() (int64, bool)      { return 1, true }
func (always) Remaining() time.Duration { return time.Minute }

// lapsing is an office that ends soon.
type lapsing struct{ always }

func (lapsing) Remaining() time.Duration { return 50 * time.Millisecond }

// held is a way on which orders are held up for good.
type held struct{ orders }

func (h *held) Order(ctx context.Context, _ fleet.Order) (fleet.OrderResult, error) {
	<-ctx.Done()
	return fleet.OrderLost, ctx.Err()
}

// The holder looks at its office and sends an order, whose way takes longer than the
// office lasts. Another process takes the office and orders the same runner; arriving
// after that, the first order would come under a lower fence. It ends with the office.
func TestAnOrderEndsWithTheOffice(t *testing.T) {
	f := fleet.New("z")
	r := fleet.Target{ID: "r", Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
	f.Put(r)
	h := NewController("n", Config{Leadership: lapsing{}, Client: &held{}, Fleet: f, Notify: func() {}}, quiet())
	// The test ends by its own time-out if the order does not.
	h.bring(context.Background(), Turn{Runner: r}, "m", 2)
}

// bringOne brings one runner with the given requests at work to weights 2 and
// returns the order that it got.
func bringOne(t *testing.T, stays ...fleet.RequestLoad) fleet.Order {
	t.Helper()
	f := fleet.New("z")
	r := fleet.Target{ID: "r", Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
	f.Put(r)
	for _, s := range stays {
		f.Begin(r.Instance(), s, time.Now())
	}
	o := &orders{}
	h := NewController("n", Config{Leadership: always{}, Client: o, Fleet: f, Notify: func() {}}, quiet())
	h.bring(context.Background(), Turn{Runner: r}, "m", 2)
	if len(o.sent) != 1 {
		t.Fatalf("%d orders", len(o.sent))
	}
	return o.sent[0]
}

// A runner has a few drafts left that run for seconds, and all its other slots
// stand empty until they end. They are cut off, as each goes on elsewhere after
// its last event; but never a run that can't, whose user would get half an
// answer, and none where nothing long holds the runner up.
func TestOnlyRunsThatGoOnElsewhereAreCutOff(t *testing.T) {
	draft := fleet.RequestLoad{Long: true, Resumable: true}
	for _, test := range []struct {
		name  string
		stays []fleet.RequestLoad
		want  bool
	}{
		{"drafts alone", []fleet.RequestLoad{draft, draft}, true},
		{"a draft beside a check that can't go on", []fleet.RequestLoad{draft, {}}, false},
		{"a draft at its last attempt", []fleet.RequestLoad{{Long: true}}, false},
		{"short runs", []fleet.RequestLoad{{Resumable: true}}, false},
		{"nothing", nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if got := bringOne(t, test.stays...).Truncate; got != test.want {
				t.Errorf("cut off: %v, want %v", got, test.want)
			}
		})
	}
}
