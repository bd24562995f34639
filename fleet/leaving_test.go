package fleet

import (
	"testing"
	"time"
)

// Guards against a target that said that it leaves and is taken back in by an older word
// of the list, by an entry written anew, or at another process that only heard of it.
func TestLeavingOutlivesTheList(t *testing.T) {
	entry := Runner{ID: "a", Born: 1, Service: "desk", Address: "a:1", Zone: "z1", Slots: 4}
	life := entry.Life()
	takesWork := func(f *Fleet, now time.Time) bool {
		c, ok := f.Choose(Query{Service: "desk"}, now)
		return ok && c.Runner.ID == "a"
	}
	f, other := New("z1"), New("z1")
	f.Put(entry)
	other.Put(entry)
	if !f.Leaves(life, noon) || takesWork(f, noon) {
		t.Fatal("it gets work after it said that it leaves")
	}
	f.Put(entry)
	if takesWork(f, noon.Add(time.Second)) {
		t.Error("the list's word takes it back in")
	}
	if heard := other.HeardFindings(f.Findings(noon.Add(time.Second)), noon.Add(time.Second)); len(heard.Leaving) != 1 || takesWork(other, noon.Add(time.Second)) {
		t.Errorf("another process that was told %v goes on", heard.Leaving)
	}
	if told := other.Findings(noon.Add(time.Second)); len(told) != 0 {
		t.Errorf("it passes on what it only heard: %v", told)
	}
	f.Remove("a")
	f.Put(entry)
	if takesWork(f, noon.Add(2*time.Second)) || f.LeavingUnlisted() != 1 {
		t.Error("an entry that is written anew takes it back in")
	}
	f.Hear(Instance{ID: "a", Born: 2})
	if !takesWork(f, noon.Add(3*time.Second)) {
		t.Error("a later life gets no work")
	}
}
