package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"acaciakeel/quota"
)

var t0 = time.Unix(1_000_000, 0)

// limitedFleet is a view of two targets that keeps limits.
func limitedFleet() (*Fleet, Instance) {
	f := New("z1")
	book := quota.NewLimiter(LimitTolerance, nil, func() bool { return true }, t0.Add(-time.Minute))
	f.EnforceLimits(book, rand.New(rand.NewPCG(1, 1)))
	for _, id := range []string{"a", "b"} {
		f.Put(Target{ID: id, Born: 1, Service: "desk", Address: id + ":1", Zone: "z1", Slots: 4})
	}
	return f, Instance{ID: "a", Born: 1}
}

func limitNotice(rate float64) Notice { return Notice{Limit: Limit{Declared: true, Rate: rate}} }

// Guards against a limit that is lifted by an answer made before it was named, by the
// list's next word, by a value that can't be read, or by an older word of another entry.
func TestALimitOutlivesOlderWords(t *testing.T) {
	f, a := limitedFleet()
	f.Receive(a, limitNotice(2), t0, t0.Add(time.Second))
	for what, word := range map[string]func(){
		"an answer that was asked for before": func() { f.Receive(a, Notice{}, t0, t0.Add(2*time.Second)) },
		"the list":                            func() { f.Put(Target{ID: "a", Born: 1, Service: "desk", Address: "a:1", Zone: "z1", Slots: 4}) },
		"a value that says nothing": func() {
			f.Receive(a, Notice{LimitMalformed: true}, t0.Add(2*time.Second), t0.Add(3*time.Second))
		},
		"an older word of another entry": func() {
			f.MergeTargetUpdates([]TargetUpdate{{Target: a, Limit: &LimitUpdate{Age: 5 * time.Second}}}, t0.Add(4*time.Second))
		},
		"a word of a former life": func() { f.Receive(Instance{ID: "a", Born: -1}, Notice{}, t0.Add(5*time.Second), t0.Add(6*time.Second)) },
	} {
		if word(); f.Limit(a) != (Limit{Declared: true, Rate: 2}) {
			t.Fatalf("%s ended the limit", what)
		}
	}
	otherUnread := Notice{Malformed: []string{"rest"}}
	if _, changed := f.Receive(a, otherUnread, t0.Add(7*time.Second), t0.Add(8*time.Second)); !changed || f.Limit(a).Declared {
		t.Error("an answer that was asked for later and names none ends it, also where another word of it can't be read")
	}
}

// Guards against a limit that is taken over by the next life of a target.
func TestALimitBelongsToALife(t *testing.T) {
	f, a := limitedFleet()
	f.Receive(a, limitNotice(2), t0, t0)
	later := Instance{ID: "a", Born: 2}
	if f.Observe(later); f.Limit(later).Declared {
		t.Error("a new life has the former one's limit")
	}
}

// Guards against requests beyond a limit, and against one of nothing that nobody would
// ever hear the end of.
func TestChoiceKeepsToLimits(t *testing.T) {
	f, a := limitedFleet()
	b := Instance{ID: "b", Born: 1}
	f.Receive(a, limitNotice(1), t0, t0)
	f.Receive(b, limitNotice(0), t0, t0)
	sent, now := map[string]int{}, t0
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		if c, ok := f.Choose(Query{Service: "desk"}, now); ok {
			f.Begin(c.Target.Instance(), RequestLoad{}, now).End()
			sent[c.Target.ID]++
		}
	}
	if sent["a"] < 18 || sent["a"] > 24 || sent["b"] < 1 || sent["b"] > 4 {
		t.Errorf("in 20 s %v were sent to a target that takes one a second and to one that takes nothing", sent)
	}
	now = now.Add(10 * time.Millisecond)
	held, ok := f.RetryAfter(Query{Service: "desk"}, now)
	wait := held.For
	if !ok || held.Backoff || wait <= 0 || wait > LimitTolerance.Window {
		t.Fatalf("come back after %v (%v)", wait, ok)
	}
	if _, ok := f.Choose(Query{Service: "desk"}, now.Add(wait)); !ok {
		t.Errorf("after the %v that were told there is no room", wait)
	}
}
