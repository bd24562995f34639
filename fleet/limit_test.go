package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"acaciakeel/quota"
)

var t0 = time.Unix(1_000_000, 0)

// limitedFleet returns a view of two targets that enforces limits.
func limitedFleet() (*Fleet, Instance) {
	f := New("z1")
	book := quota.NewLimiter(LimitTolerance, nil, func() bool { return true }, t0.Add(-time.Minute))
	f.EnforceLimits(book, rand.New(rand.NewPCG(1, 1)))
	for _, id := range []string{"a", "b"} {
		f.Put(Target{ID: id, Born: 1, Service: "desk", Address: id + ":1", Zone: "z1", Slots: 4})
	}
	return f, Instance{ID: "a", Born: 1}
}

func limitOf(rate float64) Notice { return Notice{Limit: Limit{Declared: true, Rate: rate}} }

// Guards against a limit lifted by a response that was requested before it was declared,
// by a list entry, by a malformed value, or by an older update of another process.
func TestLimitOutlivesOlderMessages(t *testing.T) {
	f, a := limitedFleet()
	f.Receive(a, limitOf(2), t0, t0.Add(time.Second))
	for what, apply := range map[string]func(){
		"a response to an earlier request": func() { f.Receive(a, Notice{}, t0, t0.Add(2*time.Second)) },
		"a list entry":                     func() { f.Put(Target{ID: "a", Born: 1, Service: "desk", Address: "a:1", Zone: "z1", Slots: 4}) },
		"a malformed value": func() {
			f.Receive(a, Notice{LimitMalformed: true}, t0.Add(2*time.Second), t0.Add(3*time.Second))
		},
		"an older update of another process": func() {
			f.MergeTargetUpdates([]TargetUpdate{{Target: a, Limit: &LimitUpdate{Age: 5 * time.Second}}}, t0.Add(4*time.Second))
		},
		"a response of a former instance": func() { f.Receive(Instance{ID: "a", Born: -1}, Notice{}, t0.Add(5*time.Second), t0.Add(6*time.Second)) },
	} {
		if apply(); f.Limit(a) != (Limit{Declared: true, Rate: 2}) {
			t.Fatalf("%s lifted the limit", what)
		}
	}
	otherMalformed := Notice{Malformed: []string{"rest"}}
	if _, changed := f.Receive(a, otherMalformed, t0.Add(7*time.Second), t0.Add(8*time.Second)); !changed || f.Limit(a).Declared {
		t.Error("a response to a later request that declares no limit must lift it, even if another field of its notice is malformed")
	}
}

// Guards against a limit that the next instance of a target inherits.
func TestLimitBelongsToAnInstance(t *testing.T) {
	f, a := limitedFleet()
	f.Receive(a, limitOf(2), t0, t0)
	later := Instance{ID: "a", Born: 2}
	if f.Observe(later, time.Time{}); f.Limit(later).Declared {
		t.Error("a new instance has the former one's limit")
	}
}

// Guards against requests beyond a limit, and against a limit of zero whose end nobody
// would ever see.
func TestChoiceKeepsLimits(t *testing.T) {
	f, a := limitedFleet()
	b := Instance{ID: "b", Born: 1}
	f.Receive(a, limitOf(1), t0, t0)
	f.Receive(b, limitOf(0), t0, t0)
	sent, now := map[string]int{}, t0
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		if c, ok := f.Choose(Query{Service: "desk"}, now); ok {
			f.Begin(c.Target.Instance(), RequestLoad{}, now).End()
			sent[c.Target.ID]++
		}
	}
	if sent["a"] < 18 || sent["a"] > 24 || sent["b"] < 1 || sent["b"] > 4 {
		t.Errorf("in 20 s %v were sent to a target that takes one per second and to one that takes none", sent)
	}
	now = now.Add(10 * time.Millisecond)
	held, ok := f.RetryAfter(Query{Service: "desk"}, now)
	wait := held.For
	if !ok || held.Backoff || wait <= 0 || wait > LimitTolerance.Window {
		t.Fatalf("retry after %v (%v)", wait, ok)
	}
	if _, ok := f.Choose(Query{Service: "desk"}, now.Add(wait)); !ok {
		t.Errorf("no target has room after the retry delay of %v", wait)
	}
}
