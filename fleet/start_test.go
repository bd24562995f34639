package fleet

import (
	"testing"
	"time"
)

// newStartFleet returns a view with a target that an entry of another writer has given a later start.
func newStartFleet(t *testing.T) (f *Fleet, believed Instance) {
	t.Helper()
	f = New("z")
	f.Put(Target{ID: "a", Service: "s", Born: 1000})
	f.Put(Target{ID: "a", Service: "s", Born: 2000})
	if f.Born("a") != 2000 {
		t.Fatal("the later start does not hold")
	}
	return f, Instance{ID: "a", Born: 2000}
}

// Guards against a false start that holds although its target tells another one.
func TestOwnAnswerDisprovesALaterStart(t *testing.T) {
	f, believed := newStartFleet(t)
	f.RecordShutdown(believed, time.Now())
	if !f.Observe(Instance{ID: "a", Born: 1000}, time.Now()) || f.Born("a") != 1000 {
		t.Errorf("the target's own start is ignored: %d", f.Born("a"))
	}
	if !f.Put(Target{ID: "a", Service: "s", Born: 1000}) {
		t.Error("the target's own entry is ignored")
	}
	if f.Available(Instance{ID: "a", Born: 1000}) {
		t.Error("the target is available after it announced its shutdown")
	}
	f.MergeTargetUpdates([]TargetUpdate{{Target: believed}}, time.Now())
	if f.Born("a") != 1000 {
		t.Error("another process that has not heard brings the false start back")
	}
	if f.Observe(Instance{ID: "a", Born: 3000}, time.Now()); f.Born("a") != 3000 {
		t.Error("a later start is not believed any more")
	}
}

// Guards against a former instance that comes back by an answer which was on its way.
func TestLateAnswerDisprovesNothing(t *testing.T) {
	asked := time.Now()
	f, _ := newStartFleet(t)
	if f.Observe(Instance{ID: "a", Born: 1000}, asked) || f.Born("a") != 2000 {
		t.Error("an answer of a former instance is believed")
	}
}

// Guards against a start that is far ahead being believed of any source.
func TestStartFarAheadIsNoStart(t *testing.T) {
	now := time.Now()
	ahead := now.Add(2 * maxStartLead).UnixMilli()
	for name, say := range map[string]func(*Fleet, Instance){
		"the list":        func(f *Fleet, l Instance) { f.Put(Target{ID: l.ID, Service: "s", Born: l.Born}) },
		"an answer":       func(f *Fleet, l Instance) { f.Observe(l, now) },
		"another process": func(f *Fleet, l Instance) { f.MergeTargetUpdates([]TargetUpdate{{Target: l}}, now) },
	} {
		f := New("z")
		f.Put(Target{ID: "a", Service: "s", Born: 1000})
		if say(f, Instance{ID: "a", Born: ahead}); f.Born("a") != 1000 {
			t.Errorf("%s: start %d is believed", name, f.Born("a"))
		}
	}
	if got := KnownStart(now.Add(maxStartLead/2).UnixMilli(), now); got == 0 {
		t.Error("a start that a wrong clock here explains is not believed")
	}
}

// Guards against an earlier start that is believed of the list although the target has been heard
// from, and against one that never is.
func TestLastingEntryOfAnEarlierStart(t *testing.T) {
	f, believed := newStartFleet(t)
	own := Instance{ID: "a", Born: 1000}
	listed := time.Now()
	f.Observe(believed, listed)
	if f.AcceptEarlierStart(own, listed) {
		t.Error("the list is believed against the target itself")
	}
	if !f.AcceptEarlierStart(own, time.Now()) || f.Born("a") != 1000 {
		t.Error("the list is not believed")
	}
	if f.Observe(believed, time.Now()); f.Born("a") != 2000 {
		t.Error("the target is not believed against the list")
	}
}
