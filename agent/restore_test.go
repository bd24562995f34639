package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/internal/standin/history"
	"acaciakeel/ledger"
	"acaciakeel/order"
	"acaciakeel/refusal"
	"acaciakeel/store"
	"acaciakeel/target"
)

// newTestOrders returns the controller of orders to the engine beside an agent.
func newTestOrders(s *history.Service, incarnation string) *orderController {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	settings := DefaultSettings()
	settings.Platform.URL = "http://127.0.0.1:1"
	settings.Target.Name, settings.Target.URL = "own", "http://127.0.0.1:1"
	a := New(settings, log)
	a.incarnation = incarnation
	return &orderController{agent: a, store: s.NewClient()}
}

// Guards against two orders with one fencing number, and a lower one after a higher one: the record
// of the first order is gone with the copy from which the service came back.
func TestFencingNumbersRiseOverOlderCopy(t *testing.T) {
	s := history.NewService()
	saved := s.Copy()
	last := int64(0)
	for i := range 6 {
		o := newTestOrders(s, fmt.Sprint("agent-", i))
		fence, _, ok := o.writeRecord(t.Context(), "v2")
		if !ok || fence <= last {
			t.Errorf("order %d: fencing number %d after %d, sent: %t", i, fence, last, ok)
		}
		last = fence
		o.markDone(t.Context(), fence, "v2")
		if i%2 == 0 {
			s.Restore(saved)
			// Fencing numbers tell milliseconds apart.
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// Guards against more loads at once than there are slots, and against a holder that loads with a slot
// that it has lost: the slots taken since the copy are free again.
func TestSlotsLostWithOlderCopyAreWaitedOut(t *testing.T) {
	s := history.NewService()
	saved := s.Copy()
	first, second := newTestOrders(s, "first"), newTestOrders(s, "second")
	first.acquireSlot(t.Context(), 1)
	second.acquireSlot(t.Context(), 1)
	if first.slot == "" || second.slot != "" {
		t.Fatalf("slots %q and %q", first.slot, second.slot)
	}
	s.Restore(saved)
	second.nextSlotTry = time.Time{}
	second.acquireSlot(t.Context(), 1)
	if second.slot != "" {
		t.Error("the second agent takes the slot in which the first may load")
	}
	if _, _, ok := first.writeRecord(t.Context(), "v2"); ok || first.slot != "" {
		t.Errorf("the first agent sends an order with the slot %q that it has lost", first.slot)
	}
}

// Guards against orders that an engine refuses until the agent's clock has passed that of an earlier
// agent, whose record is gone.
func TestFencingNumberIsAboveThatOfTheEngine(t *testing.T) {
	o := newTestOrders(history.NewService(), "agent")
	ahead := order.NextToken(time.Now().Add(time.Hour), "earlier", 0)
	o.agent.runner.setEngineState(engineState{up: true, fence: knownFence(uint64(ahead))}, time.Now())
	if fence, _, ok := o.writeRecord(t.Context(), "v2"); !ok || fence <= ahead {
		t.Errorf("fencing number %d, the engine had %d", fence, ahead)
	}
	if known := knownFence(1 << 63); known != 0 {
		t.Errorf("a damaged number is taken for %d", known)
	}
}

// Guards against records of an earlier version of the agent, without a fencing number, that are
// taken for none.
func TestRecordWithoutFencingNumber(t *testing.T) {
	for value, want := range map[string]int64{
		`{"incarnation":"x","done":true}`:  1234,
		`{"incarnation":"x","token":9000}`: 9000,
		`{"incarnation":"x","token":-9}`:   0,
		`{"incarnation":"x","token":"9"}`:  0,
	} {
		if got := recordedToken(store.Entry{Value: []byte(value), Revision: store.At(2, 1234)}); got != want {
			t.Errorf("%s: %d, want %d", value, got, want)
		}
	}
}

// callAgents are two agents beside one service, which counts its calls.
type callAgents struct {
	history *history.Service
	calls   atomic.Int32
	url     string
}

func newCallAgents(t *testing.T) *callAgents {
	t.Helper()
	a := &callAgents{history: history.NewService()}
	service := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { a.calls.Add(1) }))
	t.Cleanup(service.Close)
	a.url = service.URL
	return a
}

// start returns the executor of an agent that is an hour old.
func (a *callAgents) start(name string, home bool) *callExecutor {
	hour := time.Now().Add(-time.Hour)
	return &callExecutor{
		service:     target.NewService(a.url),
		claims:      &claimStore{store: a.history.NewClient(), self: claim{Target: name, Incarnation: name}, ttl: 24 * time.Hour},
		started:     hour,
		margin:      2 * time.Second,
		incarnation: name,
		slots:       1,
		metrics:     newMetrics(prometheus.NewRegistry()),
		homeStatus:  func(ledger.Key) (bool, time.Time) { return home, hour },
		ledger:      ledger.New(ledger.Limits{MaxRecords: 1000, MaxAnswerBytes: 1000, Retention: time.Hour, TombstoneRetention: time.Hour}),
	}
}

func onceRequest(key string) *keelv1.CallRequest {
	return &keelv1.CallRequest{RequestId: key, Customer: "c", Service: "s", IdempotencyKey: key, Method: http.MethodPost, Path: "/"}
}

// Guards against a call that runs twice: its claim is gone with the copy from which the service
// came back, and another agent gets it.
func TestCallWhoseClaimIsLostRunsOnce(t *testing.T) {
	for _, home := range []bool{false, true} {
		t.Run(fmt.Sprint("at the home ", home), func(t *testing.T) {
			a := newCallAgents(t)
			saved := a.history.Copy()
			first, second := a.start("first", !home), a.start("second", home)
			if answer := first.call(t.Context(), onceRequest("k")); answer.Refusal != nil {
				t.Fatal(answer.Refusal)
			}
			a.history.Restore(saved)
			answer := second.call(t.Context(), onceRequest("k"))
			if n := a.calls.Load(); n != 1 {
				t.Errorf("sent %d times", n)
			}
			if answer.Refusal == nil || answer.Refusal.Outcome != string(refusal.Unknown) {
				t.Errorf("status %d, refusal %v, want an unknown outcome", answer.Status, answer.Refusal)
			}
		})
	}
}

// Guards against a call whose claim is gone with the copy, and that runs again once its agent has
// forgotten it.
func TestLostClaimsArePutBack(t *testing.T) {
	a := newCallAgents(t)
	saved := a.history.Copy()
	first := a.start("first", true)
	for i := range 5 {
		if answer := first.call(t.Context(), onceRequest(fmt.Sprint("k", i))); answer.Refusal != nil {
			t.Fatal(answer.Refusal)
		}
	}
	a.history.Restore(saved)
	// A call with a key of its own shows the agent that the history was replaced.
	first.call(t.Context(), onceRequest("other"))
	for range 10 {
		first.claimUnclaimed(t.Context())
	}
	client := a.history.NewClient()
	for i := range 5 {
		key := ledger.Key{Customer: "c", Service: "s", IdempotencyKey: fmt.Sprint("k", i)}
		if _, err := client.Get(t.Context(), claimKey(key)); err != nil {
			t.Errorf("the claim of call %d: %v", i, err)
		}
	}
}

// Guards against lost claims that an agent never puts back because nothing that it asks the service
// shows the replaced history.
func TestMissingClaimShowsReplacedHistory(t *testing.T) {
	for name, releasedLatest := range map[string]bool{"latest held": false, "latest released": true} {
		t.Run(name, func(t *testing.T) {
			a := newCallAgents(t)
			saved := a.history.Copy()
			c := a.start("own", true)
			c.claims.store.(*history.Client).Blind = true
			if answer := c.call(t.Context(), onceRequest("k")); answer.Refusal != nil {
				t.Fatal(answer.Refusal)
			}
			if releasedLatest {
				c.service = target.NewService("http://127.0.0.1:1")
				c.call(t.Context(), onceRequest("unsent"))
			}
			later := time.Now().Add(verifyInterval)
			c.verifyClaims(t.Context(), later)
			if c.history != 0 {
				t.Fatal("a replaced history is noticed where there is none")
			}
			a.history.Restore(saved)
			c.verifyClaims(t.Context(), later.Add(verifyInterval))
			c.claimUnclaimed(t.Context())
			_, err := a.history.NewClient().Get(t.Context(), claimKey(ledger.Key{Customer: "c", Service: "s", IdempotencyKey: "k"}))
			if err != nil {
				t.Errorf("the claim: %v", err)
			}
		})
	}
}

// Guards against a history that counts as replaced, so that calls are refused, because a claim that was
// looked for had expired: the agent had no calls for longer than claims last.
func TestExpiredClaimShowsNoReplacedHistory(t *testing.T) {
	a := newCallAgents(t)
	c := a.start("own", true)
	c.claims.ttl = time.Minute
	if answer := c.call(t.Context(), onceRequest("early")); answer.Refusal != nil {
		t.Fatal(answer.Refusal)
	}
	client := a.history.NewClient()
	key := claimKey(ledger.Key{Customer: "c", Service: "s", IdempotencyKey: "early"})
	entry, err := client.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Delete(t.Context(), key, entry.Revision); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		c.verifyClaims(t.Context(), time.Now().Add(2*time.Minute+time.Duration(i)*verifyInterval))
		if c.history != 0 {
			t.Fatalf("look %d: history %d", i, c.history)
		}
	}
}

// Guards against keys that stay unusable after the service came back, and against a call sent again
// at an agent that cannot know whether another one has run it.
func TestCallsAreTakenOnceClaimsAreSettled(t *testing.T) {
	for name, test := range map[string]struct {
		home     bool
		replaced time.Duration
		key      string
		sent     bool
	}{
		"claims are put back":                 {true, time.Second, "k", false},
		"at the home, settled":                {true, putBackTime + time.Second, "k", true},
		"elsewhere, clients may repeat":       {false, putBackTime + time.Second, "k", false},
		"elsewhere, settled":                  {false, clientRetryWindow + time.Second, "k", true},
		"at the home, of a time it can prove": {true, time.Second, uuid.Must(uuid.NewV7()).String(), true},
	} {
		t.Run(name, func(t *testing.T) {
			a := newCallAgents(t)
			c := a.start("own", test.home)
			c.noticeHistory(1, time.Now().Add(-test.replaced))
			c.claims.store.(*history.Client).AdvanceHistory(1)
			answer := c.call(t.Context(), onceRequest(test.key))
			if (a.calls.Load() == 1) != test.sent {
				t.Errorf("sent %d times, refusal %v", a.calls.Load(), answer.Refusal)
			}
			if !test.sent && (answer.Refusal == nil || answer.Refusal.Outcome != string(refusal.Unknown)) {
				t.Errorf("status %d, refusal %v, want an unknown outcome", answer.Status, answer.Refusal)
			}
			again := onceRequest(test.key)
			again.Attempt, c.replacedAt = 1, time.Now().Add(-time.Hour)
			if answer := c.call(t.Context(), again); answer.Refusal != nil || a.calls.Load() != 1 {
				t.Errorf("later: sent %d times, refusal %v", a.calls.Load(), answer.Refusal)
			}
		})
	}
}

// Guards against a burst of writes to a service that has just come back, and against claims put back
// in an order in which the calls that are repeated first come last.
func TestPutBackIsBoundedAndLatestFirst(t *testing.T) {
	const calls = putBackPerSweep + 10
	a := newCallAgents(t)
	saved := a.history.Copy()
	c := a.start("own", true)
	for i := range calls {
		if answer := c.call(t.Context(), onceRequest(fmt.Sprint("k", i))); answer.Refusal != nil {
			t.Fatal(answer.Refusal)
		}
	}
	a.history.Restore(saved)
	c.claims.store.(*history.Client).AdvanceHistory(1)
	c.noticeHistory(1, time.Now())
	client := a.history.NewClient()
	put := func() (n int, oldest bool) {
		listing, err := client.List(t.Context(), claimPrefix)
		if err != nil {
			t.Fatal(err)
		}
		_, err = client.Get(t.Context(), claimKey(ledger.Key{Customer: "c", Service: "s", IdempotencyKey: "k0"}))
		return len(listing.Entries), err == nil
	}
	c.claimUnclaimed(t.Context())
	if n, oldest := put(); n != putBackPerSweep || oldest {
		t.Errorf("%d claims in the first sweep, the oldest: %t", n, oldest)
	}
	c.claimUnclaimed(t.Context())
	if n, _ := put(); n != calls {
		t.Errorf("%d claims of %d", n, calls)
	}
	if keys := c.ledger.Unclaimed(); len(keys) != 0 {
		t.Errorf("still without a claim: %v", keys)
	}
}
