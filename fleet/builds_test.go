package fleet

import (
	"slices"
	"testing"
	"time"
)

// bound returns a query for the continuation of a stream that a software version began.
func bound(build string) Query {
	return Query{Service: "lm", Build: build, BuildBound: true}
}

// choices returns the targets that a query gets while each is tried in turn.
func choices(f *Fleet, q Query, now time.Time) []string {
	var out []string
	for {
		c, ok := f.Choose(q, now)
		if !ok {
			slices.Sort(out)
			return out
		}
		out = append(out, c.Target.ID)
		q.Tried = append(q.Tried, c.Target.Instance())
	}
}

// Guards against streams continued at any target of a service whatever version began them.
func TestBoundRequestGoesToItsVersion(t *testing.T) {
	f, now := New("z"), time.Now()
	for id, build := range map[string]string{"a": "v1", "b": "v2", "c": "v1", "d": ""} {
		f.Put(Target{ID: id, Service: "lm", Build: build})
	}
	for build, want := range map[string][]string{"v1": {"a", "c"}, "v2": {"b"}, "": {"d"}, "v3": nil} {
		if got := choices(f, bound(build), now); !slices.Equal(got, want) {
			t.Errorf("version %q goes to %v, want %v", build, got, want)
		}
	}
	if got := choices(f, Query{Service: "lm"}, now); len(got) != 4 {
		t.Errorf("a request that is not bound goes to %v, want all", got)
	}
}

// Guards against streams that are lost although their version serves: its only target failed a
// few requests and counts as dead.
func TestBoundRequestMayGoToAFailingTarget(t *testing.T) {
	f, now := New("z"), time.Now()
	f.Put(Target{ID: "a", Service: "lm", Build: "v1"})
	f.Put(Target{ID: "b", Service: "lm", Build: "v2"})
	for range 20 {
		f.RecordFailure(Instance{ID: "a"}, now)
	}
	if got := choices(f, bound("v1"), now); !slices.Equal(got, []string{"a"}) {
		t.Errorf("the stream goes to %v, want a", got)
	}
}

// Guards against streams continued at a target that restarted under its ID with other software
// before its new entry arrived.
func TestBoundRequestAvoidsATargetThatMayHaveRestarted(t *testing.T) {
	f, now := New("z"), time.Now()
	target := Target{ID: "a", Born: 1000, Service: "lm", Build: "v1"}
	f.Put(target)
	f.RecordInterruption(target.Instance(), now.Add(time.Second))
	if got := choices(f, bound("v1"), now.Add(time.Second)); got != nil {
		t.Errorf("after a failure the stream goes to %v", got)
	}
	if got := f.UnconfirmedTargets(bound("v1"), now.Add(time.Second)); len(got) != 1 {
		t.Errorf("%d targets are to be asked which instance they are, want 1", len(got))
	}
	if got := choices(f, bound("v1"), now.Add(time.Second+restartWindow)); len(got) != 1 {
		t.Error("a target is avoided for ever after a failure")
	}
	f.Observe(Instance{ID: "a", Born: 2000}, time.Time{})
	later := now.Add(time.Minute)
	if got := choices(f, bound("v1"), later); got != nil {
		t.Errorf("after a restart the stream goes to %v", got)
	}
	if _, ok := f.ConfirmedBuild(target, false, later); ok {
		t.Error("the version of a target that restarted meanwhile counts as confirmed")
	}
	f.Put(Target{ID: "a", Born: 2000, Service: "lm", Build: "v2"})
	if got := choices(f, bound("v2"), later); len(got) != 1 {
		t.Errorf("the listed target gets %v", got)
	}
}

// Guards against a process that is cut off from the store and continues streams at targets that
// have restarted with other software since.
func TestBoundRequestIsNotSentByAnOutdatedList(t *testing.T) {
	f := New("z")
	listed, other := Target{ID: "a", Born: 1000, Service: "lm", Build: "v1"}, Target{ID: "b", Service: "lm", Build: "v1"}
	f.Put(listed)
	f.Put(other)
	q := bound("v1")
	q.ListOutdated = true
	later := time.Now().Add(silenceWindow + time.Second)
	if got := choices(f, q, later); !slices.Equal(got, []string{"b"}) {
		t.Errorf("the stream goes to %v, want b, which gets a new ID with each start", got)
	}
	if _, ok := f.ConfirmedBuild(listed, true, later); ok {
		t.Error("the version of a target that was not heard from counts as confirmed")
	}
}

// Guards against a version that is forgotten with its last target, while clients may still
// resume its streams.
func TestBuildsOutlastTheirTargets(t *testing.T) {
	f := New("z")
	f.Put(Target{ID: "a", Service: "lm", Build: "v1"})
	f.Put(Target{ID: "b", Service: "lm", Build: "v2"})
	f.Put(Target{ID: "c", Service: "desk", Build: "v7"})
	f.Remove("a")
	f.Put(Target{ID: "b", Service: "lm", Build: "v3"})
	now := time.Now()
	if got := f.Builds("lm", now); !slices.Equal(got, []string{"v1", "v2", "v3"}) {
		t.Errorf("versions %v, want v1, v2 and v3", got)
	}
	if got := f.Builds("lm", now.Add(buildRetention+time.Second)); !slices.Equal(got, []string{"v3"}) {
		t.Errorf("versions %v, want v3", got)
	}
	if !f.BuildListed("lm", "v3") || f.BuildListed("lm", "v1") || f.BuildListed("lm", "v7") {
		t.Error("the listed versions are not those of the targets")
	}
}

// Guards against a stream that goes on at a target which has restarted with other software: an answer
// that was long on its way does not prove which instance the target is now.
func TestLateAnswerProvesNoInstance(t *testing.T) {
	f := New("here")
	target := Target{ID: "a", Zone: "here", Service: "s", Address: "a:1", Slots: 8, Build: "v1", Born: 1}
	f.Put(target)
	now := time.Now()
	f.Observe(target.Instance(), now.Add(-time.Second))
	if !f.NeedsIdentity(target.Instance(), true, now) {
		t.Error("an answer to a question of a second ago proves the instance of now")
	}
	f.Observe(target.Instance(), now)
	if f.NeedsIdentity(target.Instance(), true, now) {
		t.Error("the target has just been asked, and is asked again")
	}
}
