package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciakeel/policy"
)

// draftRun and urgentRun are requests of the two streaming routes of deployment K in
// docs/design/scarce-capacity.md.
var (
	draftRun  = RequestLoad{UncachedTokens: 628, PromptTokens: 826, MaxOutputTokens: 58, HeldTokens: 800, Class: 2}
	urgentRun = RequestLoad{UncachedTokens: 2890, PromptTokens: 9190, MaxOutputTokens: 10, HeldTokens: 6000, Class: 0}
)

// completeRuns has a target complete n runs of a kind, each with the given time between its
// first event and its end.
func completeRuns(f *Fleet, id string, load RequestLoad, held time.Duration, n int, at time.Time) {
	var runs []*ActiveRequest
	for range n {
		runs = append(runs, f.Begin(Instance{ID: id}, load, at))
	}
	for _, r := range runs {
		r.FirstEvent(at.Add(20 * time.Millisecond))
	}
	for _, r := range runs {
		r.Complete(at.Add(20*time.Millisecond + held))
		r.End()
	}
}

// fullOfDrafts returns a view with one target that runs 32 drafts of 3 s each, while 64
// more wait.
func fullOfDrafts(off policy.Disabled) *Fleet {
	f := New("z")
	f.Disable(off)
	r := target("a", 1)
	r.Slots = 32
	f.Put(r)
	completeRuns(f, "a", draftRun, 3*time.Second, 40, start.Add(-4*time.Second))
	for i := range 96 {
		run := f.Begin(Instance{ID: "a"}, draftRun, start)
		if i < 32 {
			run.FirstEvent(start)
		}
	}
	return f
}

func waitOf(f *Fleet, class int) time.Duration {
	q := query()
	q.Class, q.InputTokens, q.MaxOutputTokens, q.Capacity = class, 9190, 10, 104014
	return f.expectedWait(q, f.states["a"], 6300, start)
}

// Guards against refusing urgent requests because of less urgent ones that wait, which
// their target admits later. An urgent request of deployment K is refused above 250 ms.
func TestUrgentRequestsWaitForOneSlot(t *testing.T) {
	f := fullOfDrafts(nil)
	if wait := waitOf(f, 0); wait <= 0 || wait > 250*time.Millisecond {
		t.Errorf("an urgent request is expected to wait %v at a target full of drafts", wait)
	}
	if wait := waitOf(fullOfDrafts(policy.Disabled{policy.PriorityWaits: true}), 0); wait < 2*time.Second {
		t.Errorf("an urgent request is expected to wait %v if all that waits counts", wait)
	}
	for range 32 {
		f.Begin(Instance{ID: "a"}, urgentRun, start)
	}
	if wait := waitOf(f, 0); wait < time.Second {
		t.Errorf("an urgent request is expected to wait %v behind 32 urgent ones", wait)
	}
}

// Guards against a constant slot time: drafts that hold a slot for 3 s were expected to
// wait 2 s where they waited 5 to 7 s, and work continued to be sent there.
func TestExpectedWaitFollowsObservedSlotTime(t *testing.T) {
	want := 6 * time.Second // 64 wait, and 32 slots become free every 3 s.
	if wait := waitOf(fullOfDrafts(nil), 2); wait < want*8/10 || wait > want*14/10 {
		t.Errorf("a draft is expected to wait %v, want about %v", wait, want)
	}
	if wait := waitOf(fullOfDrafts(policy.Disabled{policy.LearnedSlotTime: true}), 2); wait > 2*time.Second {
		t.Errorf("a draft is expected to wait %v with the constant slot time", wait)
	}
	f := New("z")
	f.Put(target("a", 1))
	completeRuns(f, "a", draftRun, 3*time.Second, 2, start.Add(-4*time.Second))
	if held := f.slotTime(f.states["a"], Occupancy{Inflight: 1}, start); held != meanSlotTime {
		t.Errorf("slot time %v after two runs, want %v", held, meanSlotTime)
	}
}

// Guards against urgent requests that displace others although another target has memory.
func TestUrgentRequestsPreferFreeMemory(t *testing.T) {
	f := New("z")
	f.Put(target("full", 1))
	f.Put(target("free", 1))
	for _, id := range []string{"full", "free"} {
		load := draftRun
		load.HeldTokens = map[string]int{"full": 30000, "free": 1000}[id]
		for range 3 {
			f.Begin(Instance{ID: id}, load, start).FirstEvent(start)
		}
	}
	q := query()
	q.InputTokens, q.Capacity = 9190, 95750
	if cost := f.displacementCost(q, f.states["full"], 0, start); cost <= 0 {
		t.Errorf("displacing drafts costs %v", cost)
	}
	if c, ok := f.Choose(q, start); !ok || c.Target.ID != "free" {
		t.Errorf("chose %s", c.Target.ID)
	}
	q.Class = 2
	if cost := f.displacementCost(q, f.states["full"], 0, start); cost != 0 {
		t.Errorf("a draft displaces others of its class at a cost of %v", cost)
	}
}

// Guards against less urgent requests that are expected to start while more urgent ones
// keep arriving and taking the slots, and against a wait without bound.
func TestLessUrgentWaitGrowsWithUrgentArrivals(t *testing.T) {
	before := fullOfDrafts(nil)
	after := fullOfDrafts(nil)
	for range 16 {
		after.Begin(Instance{ID: "a"}, urgentRun, start).FirstEvent(start)
	}
	a, b := waitOf(before, 2), waitOf(after, 2)
	if b < a*3/2 || b > a*2*maxWaitGrowth {
		t.Errorf("expected wait %v, and %v with half of the slots taken by urgent requests", a, b)
	}
}

// Guards against decisions that change where all requests have one class: load by class
// must then give the same wait as the totals.
func TestOneClassWaitsAsWithoutClasses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		class := PriorityClass(rapid.IntRange(0, 9).Draw(rt, "priority"))
		views := []*Fleet{New("z"), New("z")}
		views[1].Disable(policy.Disabled{policy.PriorityWaits: true})
		for _, f := range views {
			f.Put(target("a", 1))
		}
		for range rapid.IntRange(0, 40).Draw(rt, "requests") {
			load := RequestLoad{
				UncachedTokens: rapid.IntRange(0, 9000).Draw(rt, "uncached"), PromptTokens: 9000, Class: class,
				MaxOutputTokens: rapid.IntRange(1, 60).Draw(rt, "output"), HeldTokens: rapid.IntRange(1, 9000).Draw(rt, "held"),
			}
			started := rapid.Bool().Draw(rt, "started")
			for _, f := range views {
				if r := f.Begin(Instance{ID: "a"}, load, start); started {
					r.FirstEvent(start)
				}
			}
		}
		reported := Load{Running: rapid.IntRange(0, 8).Draw(rt, "running"), Waiting: rapid.IntRange(0, 24).Draw(rt, "waiting")}
		var waits []time.Duration
		for _, f := range views {
			f.RecordLoad(Instance{ID: "a"}, reported, start)
			peer := Occupancy{Target: Instance{ID: "a"}, Inflight: 3, PrefillTokens: 1800, HeldTokens: 2400}
			peer.Classes[class] = ClassLoad{3, 1800, 2400}
			f.MergeOccupancy("peer", []Occupancy{peer}, start)
			waits = append(waits, waitOf(f, class))
		}
		if waits[0] != waits[1] {
			rt.Errorf("expected wait %v by class, %v without", waits[0], waits[1])
		}
	})
}

// Guards against load that stays counted in a class after its requests have ended, or that
// is missing for requests of some class if it was reported without classes.
func TestLoadByClassIsBalanced(t *testing.T) {
	f := New("z")
	f.Put(target("a", 1))
	one, two := f.Begin(Instance{ID: "a"}, draftRun, start), f.Begin(Instance{ID: "a"}, urgentRun, start)
	f.MergeOccupancy("old build", []Occupancy{{Target: Instance{ID: "a"}, Inflight: 2, PrefillTokens: 100, HeldTokens: 500}}, start)
	total := f.states["a"].totalOccupancy(start)
	if got := total.upTo(0); got != (ClassLoad{3, 100 + urgentRun.UncachedTokens, 500 + urgentRun.HeldTokens}) {
		t.Errorf("load of the most urgent class %+v", got)
	}
	if got := total.upTo(2); got != (ClassLoad{total.Inflight, total.PrefillTokens, total.HeldTokens}) {
		t.Errorf("load of all classes %+v, totals %+v", got, total)
	}
	one.FirstEvent(start)
	one.End()
	two.End()
	if f.states["a"].classes != [PriorityClasses]ClassLoad{} {
		t.Errorf("load %+v remains", f.states["a"].classes)
	}
}
