package fleet

import (
	"testing"
	"time"
)

// Guards against a back-off that is cut short, and against a burst of requests at its
// end.
func TestBackoffLastsAndEndsGradually(t *testing.T) {
	f, a := limitedFleet()
	f.Remove("b")
	open := func(after time.Duration) bool {
		_, ok := f.Choose(Query{Service: "desk"}, t0.Add(after))
		return ok
	}
	if !f.RecordBackoff(a, 3*time.Second, t0) || f.RecordBackoff(a, time.Second, t0.Add(100*time.Millisecond)) {
		t.Fatal("the first notice starts a back-off and the second does not")
	}
	f.RecordAccepted(a, t0.Add(-time.Second))
	f.RecordAccepted(a, t0.Add(200*time.Millisecond))
	f.RecordWeights(a, "m", 7, t0)
	if open(1500*time.Millisecond) || open(2900*time.Millisecond) {
		t.Error("the target is chosen during its back-off")
	}
	if held, ok := f.RetryAfter(Query{Service: "desk"}, t0.Add(time.Second)); !ok || !held.Backoff || held.For != 2*time.Second {
		t.Errorf("a second later it is held back for %+v (%v), want 2 s", held, ok)
	}
	if !open(3 * time.Second) {
		t.Fatal("the target is not chosen after its back-off")
	}
	f.Begin(a, RequestLoad{}, t0.Add(3*time.Second))
	if open(3100 * time.Millisecond) {
		t.Error("the target is chosen for a second request before the first one shows that its back-off is over")
	}
	f.RecordAccepted(a, t0.Add(3*time.Second))
	if !open(3200 * time.Millisecond) {
		t.Error("the target is not chosen though it took a request")
	}
}
