package fleet

import (
	"testing"
	"time"
)

// Guards against a limit and a rest that end with the target's entry in the list, which
// lapses around an outage of the store and is written anew.
func TestWordsOutliveTheListsEntry(t *testing.T) {
	f, a := limitedFleet()
	f.Remove("b")
	entry := Target{ID: "a", Born: 1, Service: "desk", Address: "a:1", Zone: "z1", Slots: 4}
	f.Receive(a, limitNotice(2), t0, t0)
	f.RecordBackoff(a, 3*time.Second, t0)
	f.Remove("a")
	f.Put(entry)
	if f.Limit(a) != (Limit{Declared: true, Rate: 2}) || f.RemainingBackoff(a, t0.Add(time.Second)) != 2*time.Second {
		t.Errorf("limit %+v, rest left %v", f.Limit(a), f.RemainingBackoff(a, t0.Add(time.Second)))
	}
	if _, ok := f.Choose(Query{Service: "desk"}, t0.Add(time.Second)); ok {
		t.Error("it is asked within its rest")
	}
	f.Remove("a")
	entry.Born = 2
	f.Put(entry)
	if later := entry.Instance(); f.Limit(later).Declared || f.RemainingBackoff(later, t0) != 0 {
		t.Error("a later life has the former one's words")
	}
}
