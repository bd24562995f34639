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
	entry := Runner{ID: "a", Born: 1, Service: "desk", Address: "a:1", Zone: "z1", Slots: 4}
	f.Noticed(a, limitNotice(2), noon, noon)
	f.Rests(a, 3*time.Second, noon)
	f.Remove("a")
	f.Put(entry)
	if f.Limit(a) != (Limit{Named: true, Rate: 2}) || f.RestLeft(a, noon.Add(time.Second)) != 2*time.Second {
		t.Errorf("limit %+v, rest left %v", f.Limit(a), f.RestLeft(a, noon.Add(time.Second)))
	}
	if _, ok := f.Choose(Query{Service: "desk"}, noon.Add(time.Second)); ok {
		t.Error("it is asked within its rest")
	}
	f.Remove("a")
	entry.Born = 2
	f.Put(entry)
	if later := entry.Life(); f.Limit(later).Named || f.RestLeft(later, noon) != 0 {
		t.Error("a later life has the former one's words")
	}
}
