package fleet

import (
	"testing"
	"time"
)

// Guards against a target that announced its shutdown and is used again after an older or
// rewritten list entry, or by a process that only learnt of it from another.
func TestShutdownOutlivesListEntry(t *testing.T) {
	entry := Target{ID: "a", Born: 1, Service: "desk", Address: "a:1", Zone: "z1", Slots: 4}
	instance := entry.Instance()
	takesWork := func(f *Fleet, now time.Time) bool {
		c, ok := f.Choose(Query{Service: "desk"}, now)
		return ok && c.Target.ID == "a"
	}
	f, other := New("z1"), New("z1")
	f.Put(entry)
	other.Put(entry)
	if !f.RecordShutdown(instance, t0) || takesWork(f, t0) {
		t.Fatal("the target is chosen after it announced its shutdown")
	}
	f.Put(entry)
	if takesWork(f, t0.Add(time.Second)) {
		t.Error("a list entry makes the target available again")
	}
	if result := other.MergeTargetUpdates(f.TargetUpdates(t0.Add(time.Second)), t0.Add(time.Second)); len(result.ShuttingDown) != 1 || takesWork(other, t0.Add(time.Second)) {
		t.Errorf("another process that learnt of %v still chooses the target", result.ShuttingDown)
	}
	if updates := other.TargetUpdates(t0.Add(time.Second)); len(updates) != 0 {
		t.Errorf("the other process passes on a received shutdown: %v", updates)
	}
	f.Remove("a")
	f.Put(entry)
	if takesWork(f, t0.Add(2*time.Second)) || f.UnlistedShutdowns() != 1 {
		t.Error("an entry that is written anew makes the target available again")
	}
	f.Observe(Instance{ID: "a", Born: 2}, time.Time{})
	if !takesWork(f, t0.Add(3*time.Second)) {
		t.Error("a later instance is not chosen")
	}
}
