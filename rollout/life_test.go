package rollout

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"acaciakeel/fleet"
)

// restartingRunner is a runner that starts again as told: reports are answered in turn, the
// last one again and again, and orders are noted.
type restartingRunner struct {
	mu      sync.Mutex
	reports []fleet.Report
	orders  []fleet.Order
	result  fleet.OrderResult
}

func (l *restartingRunner) Report(context.Context, fleet.Runner) (fleet.Report, error) {
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

// reportOf is a report of a life on weights 1, or on those given.
func reportOf(born, orders int64, weights ...int64) fleet.Report {
	return fleet.Report{Born: born, Orders: orders, Weights: map[string]int64{"m": append(slices.Clone(weights), 1)[0]}}
}

// leaderFunc runs something before it says that the seat is held.
type leaderFunc func()

func (o leaderFunc) Held() (int64, bool) {
	o()
	return 1, true
}

func (o leaderFunc) Remaining() time.Duration { return time.Minute }

// fleetWithRunner returns a view of one runner in the life that began at 10.
func fleetWithRunner() (*fleet.Fleet, fleet.Runner) {
	f := fleet.New("z")
	r := fleet.Runner{ID: "r", Born: 10, Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
	f.Put(r)
	return f, r
}

// modelOfLM says that one service runs the model.
func modelOfLM() map[string][]string { return map[string][]string{"m": {"lm"}} }

func testController(f *fleet.Fleet, o *restartingRunner, onHeld func()) *Controller {
	return NewController("n", Config{Leadership: leaderFunc(onHeld), Client: o, Fleet: f, Services: modelOfLM, Notify: func() {}}, discardLogger())
}

// A runner reports three orders, starts again, and the news comes before the order
// leaves. It must not leave: the new life counts from nothing, so the order would be
// refused at best, and at worst be carried out after newer ones.
func TestNoOrderAfterRunnerRestarts(t *testing.T) {
	f, r := fleetWithRunner()
	o := &restartingRunner{reports: []fleet.Report{reportOf(10, 3)}, result: fleet.OrderAccepted}
	testController(f, o, func() { f.Hear(fleet.Life{ID: "r", Born: 20}) }).updateRunner(t.Context(), Decision{Runner: r}, "m", 2)
	if len(o.orders) != 0 {
		t.Errorf("an order left on the count of %d orders of a former life", o.orders[0].Orders)
	}
}

// A report comes from another life than the one that the list shows. Of a later
// one it ends the former, and the order that follows goes by the new count; of a
// former one, late, nothing is taken, and no order rests on it.
func TestReportFromAnotherIncarnation(t *testing.T) {
	f, r := fleetWithRunner()
	o := &restartingRunner{reports: []fleet.Report{reportOf(20, 0)}, result: fleet.OrderHolds}
	h := testController(f, o, func() {})
	h.updateRunner(t.Context(), Decision{Runner: r}, "m", 2)
	if len(o.orders) != 0 || !f.Holds(fleet.Life{ID: "r", Born: 20}) {
		t.Fatalf("%d orders before the new life was looked at", len(o.orders))
	}
	o.reports = []fleet.Report{reportOf(10, 7, 9)}
	h.updateRunner(t.Context(), Decision{Runner: f.Runners("lm")[0]}, "m", 2)
	if v := f.Runners("lm")[0].Weights["m"]; len(o.orders) != 0 || v != 1 {
		t.Errorf("a former life's report led to %d orders and weights %d", len(o.orders), v)
	}
	o.reports = []fleet.Report{reportOf(20, 0)}
	h.updateRunner(t.Context(), Decision{Runner: f.Runners("lm")[0]}, "m", 2)
	if len(o.orders) != 1 || o.orders[0].Orders != 0 || o.orders[0].Runner.Born != 20 {
		t.Errorf("sent %+v, want one order to the new life on no orders", o.orders)
	}
}

// A runner starts again while it carries an order out, and comes up with its old
// weights. The order has ended with its life: the holder must neither wait for it
// nor take the new life for loaded, but order anew, which it can at once.
func TestOrderEndsWhenRunnerRestarts(t *testing.T) {
	f, r := fleetWithRunner()
	f.Name("m", 2, time.Now(), false)
	o := &restartingRunner{reports: []fleet.Report{reportOf(10, 3), reportOf(20, 0)}, result: fleet.OrderAccepted}
	h := testController(f, o, func() {})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	h.startOrder(ctx, Decision{Runner: r}, "m", 2)
	now := f.Runners("lm")
	// The report's start is taken first and its weights just after.
	for end := time.Now().Add(10 * time.Second); (now[0].Born != 20 || now[0].Weights["m"] == 0) && time.Now().Before(end); now = f.Runners("lm") {
		time.Sleep(time.Millisecond)
	}
	if v := now[0].Weights["m"]; v != 1 {
		t.Fatalf("the new life is taken to have weights %d, want 1", v)
	}
	if due := runnersToOrder(h.planInput("m", 2, now)); len(due) != 1 || due[0].Born != 20 {
		t.Errorf("due are %+v, want the new life", due)
	}
}

// The answer to an order comes after its runner has started again. Taken for the
// new life's, it says that this has weights that it never loaded, or takes it out.
func TestLateOrderResponseIsIgnored(t *testing.T) {
	for _, result := range []fleet.OrderResult{fleet.OrderHolds, fleet.OrderMisdirected} {
		f, r := fleetWithRunner()
		o := &slowClient{restartingRunner: restartingRunner{reports: []fleet.Report{reportOf(10, 3)}, result: result}, before: func() {
			f.Put(fleet.Runner{ID: "r", Born: 20, Service: "lm", Address: "r:1", Weights: map[string]int64{"m": 1}})
		}}
		NewController("n", Config{Leadership: alwaysLeader{}, Client: o, Fleet: f, Notify: func() {}}, discardLogger()).updateRunner(t.Context(), Decision{Runner: r}, "m", 2)
		if now := f.Runners("lm"); len(now) != 1 || now[0].Weights["m"] != 1 {
			t.Errorf("%s of a former life left %+v", result, now)
		}
	}
}

// slowClient is a runner whose answers to orders come after something else.
type slowClient struct {
	restartingRunner
	before func()
}

func (s *slowClient) Order(ctx context.Context, o fleet.Order) (fleet.OrderResult, error) {
	s.before()
	return s.restartingRunner.Order(ctx, o)
}
