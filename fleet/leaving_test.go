package fleet

import (
	"testing"
	"time"
)

// Guards against a target that said that it leaves and is taken back in by an older word
// of the list, by an entry written anew, or at another process that only heard of it.
func TestLeavingOutlivesTheList(t *testing.T) {
	entry := Target{ID: "a", Born: 1, Service: "desk", Address: "a:1", Zone: "z1", Slots: 4}
	life := entry.Instance()
	takesWork := func(f *Fleet, now time.Time) bool {
		c, ok := f.Choose(Query{Service: "desk"}, now)
		return ok && c.Target.ID == "a"
	}
	f, other := New("z1"), New("z1")
	f.Put(entry)
	other.Put(entry)
	if !f.RecordShutdown(life, t0) || takesWork(f, t0) {
		t.Fatal("it gets work after it said that it leaves")
	}
	f.Put(entry)
	if takesWork(f, t0.Add(time.Second)) {
		t.Error("the list's word takes it back in")
	}
	if heard := other.MergeTargetUpdates(f.TargetUpdates(t0.Add(time.Second)), t0.Add(time.Second)); len(heard.ShuttingDown) != 1 || takesWork(other, t0.Add(time.Second)) {
		t.Errorf("another process that was told %v goes on", heard.ShuttingDown)
	}
	if told := other.TargetUpdates(t0.Add(time.Second)); len(told) != 0 {
		t.Errorf("it passes on what it only heard: %v", told)
	}
	f.Remove("a")
	f.Put(entry)
	if takesWork(f, t0.Add(2*time.Second)) || f.UnlistedShutdowns() != 1 {
		t.Error("an entry that is written anew takes it back in")
	}
	f.Observe(Instance{ID: "a", Born: 2})
	if !takesWork(f, t0.Add(3*time.Second)) {
		t.Error("a later life gets no work")
	}
}
