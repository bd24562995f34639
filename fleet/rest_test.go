package fleet

import (
	"testing"
	"time"
)

// Guards against a rest that is cut short, and against a rush at its end.
func TestARestLastsAndEndsByDegrees(t *testing.T) {
	f, a := limitedFleet()
	f.Remove("b")
	open := func(after time.Duration) bool {
		_, ok := f.Choose(Query{Service: "desk"}, noon.Add(after))
		return ok
	}
	if !f.Rests(a, 3*time.Second, noon) || f.Rests(a, time.Second, noon.Add(100*time.Millisecond)) {
		t.Fatal("the first word is news and the second is not")
	}
	f.Took(a, noon.Add(-time.Second))
	f.Took(a, noon.Add(200*time.Millisecond))
	f.Learn(a, "m", 7, noon)
	if open(1500*time.Millisecond) || open(2900*time.Millisecond) {
		t.Error("it is asked within its rest")
	}
	if held, ok := f.HeldBack(Query{Service: "desk"}, noon.Add(time.Second)); !ok || !held.Rest || held.For != 2*time.Second {
		t.Errorf("a second later it is held back for %+v (%v), want 2 s", held, ok)
	}
	if !open(3 * time.Second) {
		t.Fatal("it is not asked after its rest")
	}
	f.Begin(a, Stay{}, noon.Add(3*time.Second))
	if open(3100 * time.Millisecond) {
		t.Error("it is asked by a second request before the first one shows that its rest is over")
	}
	f.Took(a, noon.Add(3*time.Second))
	if !open(3200 * time.Millisecond) {
		t.Error("it is left alone though it took a request")
	}
}
