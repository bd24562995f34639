package fleet

import (
	"testing"
	"time"
)

// Guards against a limit and a back-off that end with the target's list entry, which
// lapses during an outage of the store and is written anew.
func TestLimitAndBackoffOutliveListEntry(t *testing.T) {
	f, a := limitedFleet()
	f.Remove("b")
	entry := Target{ID: "a", Born: 1, Service: "desk", Address: "a:1", Zone: "z1", Slots: 4}
	f.Receive(a, limitOf(2), t0, t0)
	f.RecordBackoff(a, 3*time.Second, t0)
	f.Remove("a")
	f.Put(entry)
	if f.Limit(a) != (Limit{Declared: true, Rate: 2}) || f.RemainingBackoff(a, t0.Add(time.Second)) != 2*time.Second {
		t.Errorf("limit %+v, remaining back-off %v", f.Limit(a), f.RemainingBackoff(a, t0.Add(time.Second)))
	}
	if _, ok := f.Choose(Query{Service: "desk"}, t0.Add(time.Second)); ok {
		t.Error("the target is chosen during its back-off")
	}
	f.Remove("a")
	entry.Born = 2
	f.Put(entry)
	if later := entry.Instance(); f.Limit(later).Declared || f.RemainingBackoff(later, t0) != 0 {
		t.Error("a later instance has the former one's limit or back-off")
	}
}
