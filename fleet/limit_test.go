package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"acaciakeel/quota"
)

var noon = time.Unix(1_000_000, 0)

// limitedFleet is a view of two targets that keeps limits.
func limitedFleet() (*Fleet, Instance) {
	f := New("z1")
	book := quota.NewLimiter(TargetBounds, nil, func() bool { return true }, noon.Add(-time.Minute))
	f.KeepLimits(book, rand.New(rand.NewPCG(1, 1)))
	for _, id := range []string{"a", "b"} {
		f.Put(Runner{ID: id, Born: 1, Service: "desk", Address: id + ":1", Zone: "z1", Slots: 4})
	}
	return f, Instance{ID: "a", Born: 1}
}

func limitNotice(rate float64) Notice { return Notice{Limit: Limit{Named: true, Rate: rate}} }

// Guards against a limit that is lifted by an answer made before it was named, by the
// list's next word, by a value that can't be read, or by an older word of another entry.
func TestALimitOutlivesOlderWords(t *testing.T) {
	f, a := limitedFleet()
	f.Noticed(a, limitNotice(2), noon, noon.Add(time.Second))
	for what, word := range map[string]func(){
		"an answer that was asked for before": func() { f.Noticed(a, Notice{}, noon, noon.Add(2*time.Second)) },
		"the list":                            func() { f.Put(Runner{ID: "a", Born: 1, Service: "desk", Address: "a:1", Zone: "z1", Slots: 4}) },
		"a value that says nothing": func() {
			f.Noticed(a, Notice{LimitUnread: true}, noon.Add(2*time.Second), noon.Add(3*time.Second))
		},
		"an older word of another entry": func() {
			f.HeardFindings([]Finding{{Target: a, Limit: &ToldLimit{Age: 5 * time.Second}}}, noon.Add(4*time.Second))
		},
		"a word of a former life": func() {
			f.Noticed(Instance{ID: "a", Born: -1}, Notice{}, noon.Add(5*time.Second), noon.Add(6*time.Second))
		},
	} {
		if word(); f.Limit(a) != (Limit{Named: true, Rate: 2}) {
			t.Fatalf("%s ended the limit", what)
		}
	}
	otherUnread := Notice{Unread: []string{"rest"}}
	if _, changed := f.Noticed(a, otherUnread, noon.Add(7*time.Second), noon.Add(8*time.Second)); !changed || f.Limit(a).Named {
		t.Error("an answer that was asked for later and names none ends it, also where another word of it can't be read")
	}
}

// Guards against a limit that is taken over by the next life of a target.
func TestALimitBelongsToALife(t *testing.T) {
	f, a := limitedFleet()
	f.Noticed(a, limitNotice(2), noon, noon)
	later := Instance{ID: "a", Born: 2}
	if f.Hear(later); f.Limit(later).Named {
		t.Error("a new life has the former one's limit")
	}
}

// Guards against requests beyond a limit, and against one of nothing that nobody would
// ever hear the end of.
func TestChoiceKeepsToLimits(t *testing.T) {
	f, a := limitedFleet()
	b := Instance{ID: "b", Born: 1}
	f.Noticed(a, limitNotice(1), noon, noon)
	f.Noticed(b, limitNotice(0), noon, noon)
	sent, now := map[string]int{}, noon
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		if c, ok := f.Choose(Query{Service: "desk"}, now); ok {
			f.Begin(c.Runner.Life(), Stay{}, now).End()
			sent[c.Runner.ID]++
		}
	}
	if sent["a"] < 18 || sent["a"] > 24 || sent["b"] < 1 || sent["b"] > 4 {
		t.Errorf("in 20 s %v were sent to a target that takes one a second and to one that takes nothing", sent)
	}
	now = now.Add(10 * time.Millisecond)
	held, ok := f.HeldBack(Query{Service: "desk"}, now)
	wait := held.For
	if !ok || held.Rest || wait <= 0 || wait > TargetBounds.Window {
		t.Fatalf("come back after %v (%v)", wait, ok)
	}
	if _, ok := f.Choose(Query{Service: "desk"}, now.Add(wait)); !ok {
		t.Errorf("after the %v that were told there is no room", wait)
	}
}
