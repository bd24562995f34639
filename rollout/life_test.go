package rollout

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"acaciakeel/fleet"
)

// lives is a runner that starts again as told: reports are answered in turn, the
// last one again and again, and orders are noted.
type lives struct {
	mu      sync.Mutex
	reports []fleet.Status
	sent    []fleet.Order
	result  fleet.OrderResult
}

func (l *lives) Report(context.Context, fleet.Target) (fleet.Status, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.reports[0]
	if len(l.reports) > 1 {
		l.reports = l.reports[1:]
	}
	return r, nil
}

func (l *lives) Order(_ context.Context, o fleet.Order) (fleet.OrderResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, o)
	return l.result, nil
}

// reported is a report of a life on weights 1, or on those given.
func reported(born, orders int64, weights ...int64) fleet.Status {
	return fleet.Status{Born: born, AcceptedOrders: orders, Weights: map[string]int64{"m": append(slices.Clone(weights), 1)[0]}}
}

// office runs something before it says that the seat is held.
type office func()

func (o office) Held() (int64, bool) {
	o()
	return 1, true
}

func (o office) Remaining() time.Duration { return time.Minute }

// listed returns a view of one runner in the life that began at 10.
func listed() (*fleet.Fleet, fleet.Target) {
	f := fleet.New("z")
	r := fleet.Target{ID: "r", Born: 10, Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
	f.Put(r)
	return f, r
}

// modelOfLM says that one service runs the model.
func modelOfLM() map[string][]string { return map[string][]string{"m": {"lm"}} }

func holder(f *fleet.Fleet, o *lives, held func()) *Controller {
	return NewController("n", Config{Leadership: office(held), Client: o, Fleet: f, Services: modelOfLM, Notify: func() {}}, quiet())
}

// A runner reports three orders, starts again, and the news comes before the order
// leaves. It must not leave: the new life counts from nothing, so the order would be
// refused at best, and at worst be carried out after newer ones.
func TestNoOrderByTheCountOfAFormerLife(t *testing.T) {
	f, r := listed()
	o := &lives{reports: []fleet.Status{reported(10, 3)}, result: fleet.OrderAccepted}
	holder(f, o, func() { f.Observe(fleet.Instance{ID: "r", Born: 20}) }).bring(t.Context(), Turn{Runner: r}, "m", 2)
	if len(o.sent) != 0 {
		t.Errorf("an order left on the count of %d orders of a former life", o.sent[0].ExpectedOrders)
	}
}

// A report comes from another life than the one that the list shows. Of a later
// one it ends the former, and the order that follows goes by the new count; of a
// former one, late, nothing is taken, and no order rests on it.
func TestAReportIsOfOneLife(t *testing.T) {
	f, r := listed()
	o := &lives{reports: []fleet.Status{reported(20, 0)}, result: fleet.OrderAlreadyLoaded}
	h := holder(f, o, func() {})
	h.bring(t.Context(), Turn{Runner: r}, "m", 2)
	if len(o.sent) != 0 || !f.IsCurrent(fleet.Instance{ID: "r", Born: 20}) {
		t.Fatalf("%d orders before the new life was looked at", len(o.sent))
	}
	o.reports = []fleet.Status{reported(10, 7, 9)}
	h.bring(t.Context(), Turn{Runner: f.Targets("lm")[0]}, "m", 2)
	if v := f.Targets("lm")[0].Weights["m"]; len(o.sent) != 0 || v != 1 {
		t.Errorf("a former life's report led to %d orders and weights %d", len(o.sent), v)
	}
	o.reports = []fleet.Status{reported(20, 0)}
	h.bring(t.Context(), Turn{Runner: f.Targets("lm")[0]}, "m", 2)
	if len(o.sent) != 1 || o.sent[0].ExpectedOrders != 0 || o.sent[0].Target.Born != 20 {
		t.Errorf("sent %+v, want one order to the new life on no orders", o.sent)
	}
}

// A runner starts again while it carries an order out, and comes up with its old
// weights. The order has ended with its life: the holder must neither wait for it
// nor take the new life for loaded, but order anew, which it can at once.
func TestAnOrderEndsWithItsLife(t *testing.T) {
	f, r := listed()
	f.RecordDesired("m", 2, time.Now(), false)
	o := &lives{reports: []fleet.Status{reported(10, 3), reported(20, 0)}, result: fleet.OrderAccepted}
	h := holder(f, o, func() {})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	h.begin(ctx, Turn{Runner: r}, "m", 2)
	now := f.Targets("lm")
	// The report's start is taken first and its weights just after.
	for end := time.Now().Add(10 * time.Second); (now[0].Born != 20 || now[0].Weights["m"] == 0) && time.Now().Before(end); now = f.Targets("lm") {
		time.Sleep(time.Millisecond)
	}
	if v := now[0].Weights["m"]; v != 1 {
		t.Fatalf("the new life is taken to have weights %d, want 1", v)
	}
	if due := ordered(h.input("m", 2, now)); len(due) != 1 || due[0].Born != 20 {
		t.Errorf("due are %+v, want the new life", due)
	}
}

// The answer to an order comes after its runner has started again. Taken for the
// new life's, it says that this has weights that it never loaded, or takes it out.
func TestALateAnswerToAnOrderChangesNothing(t *testing.T) {
	for _, result := range []fleet.OrderResult{fleet.OrderAlreadyLoaded, fleet.OrderMisdirected} {
		f, r := listed()
		o := &slow{lives: lives{reports: []fleet.Status{reported(10, 3)}, result: result}, meanwhile: func() {
			f.Put(fleet.Target{ID: "r", Born: 20, Service: "lm", Address: "r:1", Weights: map[string]int64{"m": 1}})
		}}
		NewController("n", Config{Leadership: always{}, Client: o, Fleet: f, Notify: func() {}}, quiet()).bring(t.Context(), Turn{Runner: r}, "m", 2)
		if now := f.Targets("lm"); len(now) != 1 || now[0].Weights["m"] != 1 {
			t.Errorf("%s of a former life left %+v", result, now)
		}
	}
}

// slow is a runner whose answers to orders come after something else.
type slow struct {
	lives
	meanwhile func()
}

func (s *slow) Order(ctx context.Context, o fleet.Order) (fleet.OrderResult, error) {
	s.meanwhile()
	return s.lives.Order(ctx, o)
}
