package rollout

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"acaciakeel/fleet"
)

// restartingRunner returns the reports in turn, the last one repeatedly, and records
// orders.
type restartingRunner struct {
	mu      sync.Mutex
	reports []fleet.Status
	orders  []fleet.Order
	result  fleet.OrderResult
	// during is called while a report is on its way; nil for nothing.
	during func()
}

func (l *restartingRunner) Report(context.Context, fleet.Target) (fleet.Status, error) {
	if l.during != nil {
		l.during()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.reports[0]
	if len(l.reports) > 1 {
		l.reports = l.reports[1:]
	}
	return r, nil
}

func (l *restartingRunner) Order(_ context.Context, o fleet.Order) (fleet.OrderResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
	return l.result, nil
}

// reportOf returns a report of an instance with weights 1, or with those given.
func reportOf(born, orders int64, weights ...int64) fleet.Status {
	return fleet.Status{Born: born, AcceptedOrders: orders, Weights: map[string]int64{"m": append(slices.Clone(weights), 1)[0]}}
}

// leaderFunc calls the function before it reports that the leadership is held.
type leaderFunc func()

func (o leaderFunc) Held() (int64, bool) {
	o()
	return 1, true
}

func (o leaderFunc) Remaining() time.Duration { return time.Minute }
func (o leaderFunc) Confirm(context.Context)  {}

// fleetWithRunner returns a fleet with one runner, in the instance that started at
// 10.
func fleetWithRunner() (*fleet.Fleet, fleet.Target) {
	f := fleet.New("z")
	r := fleet.Target{ID: "r", Born: 10, Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
	f.Put(r)
	return f, r
}

func modelOfLM() map[string][]string { return map[string][]string{"m": {"lm"}} }

func testController(f *fleet.Fleet, client *restartingRunner, onHeld func()) *Controller {
	return NewController("n", Config{Leadership: leaderFunc(onHeld), Client: client, Fleet: f, Services: modelOfLM, Notify: func() {}}, discardLogger())
}

// A runner restarts between its report and the order. With the order count of the
// earlier instance, the order could be refused, or carried out after newer ones.
func TestNoOrderAfterRunnerRestarts(t *testing.T) {
	f, r := fleetWithRunner()
	client := &restartingRunner{reports: []fleet.Status{reportOf(10, 3)}, result: fleet.OrderAccepted}
	testController(f, client, func() { f.Observe(fleet.Instance{ID: "r", Born: 20}, time.Time{}) }).updateRunner(t.Context(), Decision{Runner: r}, "m", 2)
	if len(client.orders) != 0 {
		t.Errorf("an order was sent with the order count %d of the earlier instance", client.orders[0].ExpectedOrders)
	}
}

// A report may come from another instance than the listed one: a later one replaces
// it, an earlier one that was asked before must change nothing and lead to no order.
func TestReportFromAnotherInstance(t *testing.T) {
	f, r := fleetWithRunner()
	client := &restartingRunner{reports: []fleet.Status{reportOf(20, 0)}, result: fleet.OrderAlreadyLoaded}
	c := testController(f, client, func() {})
	c.updateRunner(t.Context(), Decision{Runner: r}, "m", 2)
	if len(client.orders) != 0 || !f.IsCurrent(fleet.Instance{ID: "r", Born: 20}) {
		t.Fatalf("got %d orders before the new instance was planned for, want 0", len(client.orders))
	}
	client.reports = []fleet.Status{reportOf(20, 7, 9)}
	client.during = func() { f.Observe(fleet.Instance{ID: "r", Born: 30}, time.Now()) }
	c.updateRunner(t.Context(), Decision{Runner: f.Targets("lm")[0]}, "m", 2)
	if v := f.Targets("lm")[0].Weights["m"]; len(client.orders) != 0 || v > 1 || !f.IsCurrent(fleet.Instance{ID: "r", Born: 30}) {
		t.Errorf("a report of an earlier instance led to %d orders and weights %d", len(client.orders), v)
	}
	client.reports, client.during = []fleet.Status{reportOf(30, 0)}, nil
	c.updateRunner(t.Context(), Decision{Runner: f.Targets("lm")[0]}, "m", 2)
	if len(client.orders) != 1 || client.orders[0].ExpectedOrders != 0 || client.orders[0].Target.Born != 30 {
		t.Errorf("sent %+v, want one order to the new instance with order count 0", client.orders)
	}
}

// A runner restarts while it carries out an order and returns with its old weights. The
// order must neither block a new one nor be taken as completed.
func TestOrderEndsWhenRunnerRestarts(t *testing.T) {
	f, r := fleetWithRunner()
	f.RecordDesired("m", 2, time.Now(), false)
	client := &restartingRunner{reports: []fleet.Status{reportOf(10, 3), reportOf(20, 0)}, result: fleet.OrderAccepted}
	c := testController(f, client, func() {})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.startOrder(ctx, Decision{Runner: r}, "m", 2)
	now := f.Targets("lm")
	// The new start time is recorded just before the weights.
	for end := time.Now().Add(10 * time.Second); (now[0].Born != 20 || now[0].Weights["m"] == 0) && time.Now().Before(end); now = f.Targets("lm") {
		time.Sleep(time.Millisecond)
	}
	if v := now[0].Weights["m"]; v != 1 {
		t.Fatalf("new instance has weights %d, want 1", v)
	}
	if due := runnersToOrder(c.planInput("m", 2, []string{"lm"})); len(due) != 1 || due[0].Born != 20 {
		t.Errorf("runners to order: %+v, want the new instance", due)
	}
}

// The response to an order arrives after the runner has restarted. Applied to the new
// instance, it would record weights that were never loaded, or remove the runner.
func TestLateOrderResponseIsIgnored(t *testing.T) {
	for _, result := range []fleet.OrderResult{fleet.OrderAlreadyLoaded, fleet.OrderMisdirected} {
		f, r := fleetWithRunner()
		client := &slowClient{restartingRunner: restartingRunner{reports: []fleet.Status{reportOf(10, 3)}, result: result}, before: func() {
			f.Put(fleet.Target{ID: "r", Born: 20, Service: "lm", Address: "r:1", Weights: map[string]int64{"m": 1}})
		}}
		NewController("n", Config{Leadership: alwaysLeader{}, Client: client, Fleet: f, Notify: func() {}}, discardLogger()).updateRunner(t.Context(), Decision{Runner: r}, "m", 2)
		if now := f.Targets("lm"); len(now) != 1 || now[0].Weights["m"] != 1 {
			t.Errorf("result %s for an earlier instance changed the runners to %+v", result, now)
		}
	}
}

// slowClient calls the function before it responds to an order.
type slowClient struct {
	restartingRunner
	before func()
}

func (s *slowClient) Order(ctx context.Context, o fleet.Order) (fleet.OrderResult, error) {
	s.before()
	return s.restartingRunner.Order(ctx, o)
}
