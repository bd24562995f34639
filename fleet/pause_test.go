package fleet

import (
	"fmt"
	"testing"
	"time"

	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// withoutPauses switches off all that the choice takes from pauses and speeds.
var withoutPauses = policy.Disabled{policy.EventPauses: true, policy.TargetSpeeds: true, policy.TargetSlowdowns: true}

// lateStreams runs both kinds of streams at targets of a model, and returns what is measured
// of them after six seconds.
func lateStreams(m engineModel, load float64, off policy.Disabled, during func(e *engineSim)) (prompts, drafts simResult) {
	for seed := range 2 {
		e := newEngineSim(m, 6, 15, load, uint64(seed+1), off)
		e.run(6 * time.Second)
		if during != nil {
			during(e)
		}
		e.measure()
		e.run(15 * time.Second)
		prompts.add(e.prompts)
		drafts.add(e.drafts)
	}
	return prompts, drafts
}

func (r *simResult) add(other simResult) {
	r.sent += other.sent
	r.ended += other.ended
	r.lateFirst += other.lateFirst
	r.latePause += other.latePause
}

// firstTolerance is by how much the part of late first events may differ: about twice the
// deviation of the differences between runs with a thousand prompts.
const firstTolerance = 0.015

// pauseShare is the part of the streams with a pause beyond the bound, firstShare of those
// whose first event is later than their objective.
func (r simResult) pauseShare() float64 { return float64(r.latePause) / float64(max(1, r.ended)) }
func (r simResult) firstShare() float64 { return float64(r.lateFirst) / float64(max(1, r.sent)) }

func (r simResult) String() string {
	return fmt.Sprintf("%d sent, %.3f late to the first event, %.3f with a pause beyond the bound", r.sent, r.firstShare(), r.pauseShare())
}

// slowK is the first deployment's engine with the second one's slow times: without them, its
// steps never add up to its bound.
func slowK() engineModel {
	m := engineK
	m.slowShare, m.slowFactor, m.slowTime = engineA.slowShare, engineA.slowFactor, engineA.slowTime
	return m
}

// Guards against streams whose events wait for the prompts of others beyond the bound of
// their route, and against prompts that are late because streams are spared. At its usual
// load, at most a twentieth of the streams may have such a pause: callers take a response with
// one as late.
func TestFewerStreamsExceedTheirBound(t *testing.T) {
	for _, test := range []struct {
		name  string
		model engineModel
		load  float64
		most  float64
		less  float64
	}{
		{"steps of 27 ms, usual load", engineA, 1, 0.05, 0.4},
		{"steps of 27 ms, wave", engineA, 1.55, 0.1, 0.4},
		{"steps of 81 ms, wave", slowK(), 1.5, 0.05, 0.9},
	} {
		prompts, drafts := lateStreams(test.model, test.load, nil, nil)
		promptsOff, draftsOff := lateStreams(test.model, test.load, withoutPauses, nil)
		t.Logf("%s: prompts %v; drafts %v", test.name, prompts, drafts)
		t.Logf("%s, without pauses and speeds: prompts %v; drafts %v", test.name, promptsOff, draftsOff)
		late, lateOff := float64(prompts.latePause+drafts.latePause), float64(promptsOff.latePause+draftsOff.latePause)
		if late > test.less*lateOff {
			t.Errorf("%s: %v streams with a pause beyond the bound, %v without pauses and speeds", test.name, late, lateOff)
		}
		if prompts.firstShare()+prompts.pauseShare() > promptsOff.firstShare()+promptsOff.pauseShare() {
			t.Errorf("%s: more prompts are late in either way: %v, without pauses and speeds %v", test.name, prompts, promptsOff)
		}
		if prompts.pauseShare() > test.most || drafts.pauseShare() > test.most {
			t.Errorf("%s: %.3f of the prompts and %.3f of the drafts have a pause beyond the bound", test.name, prompts.pauseShare(), drafts.pauseShare())
		}
		if prompts.firstShare() > promptsOff.firstShare()+firstTolerance || drafts.firstShare() > draftsOff.firstShare()+firstTolerance {
			t.Errorf("%s: more late first events: prompts %.3f, %.3f without; drafts %.3f, %.3f without", test.name, prompts.firstShare(), promptsOff.firstShare(), drafts.firstShare(), draftsOff.firstShare())
		}
	}
}

// Guards against a division of targets that does not follow their loss: a third of them takes
// no more requests, so the load of the rest is half as high again.
func TestDivisionFollowsLossOfTargets(t *testing.T) {
	lose := func(e *engineSim) {
		for i, engine := range e.engines {
			if i%3 == 0 {
				for _, f := range e.views {
					lost := f.states[engine.id].target
					lost.Draining = true
					f.Put(lost)
				}
			}
		}
		e.run(time.Second)
	}
	m := engineA
	m.durations = []float64{1}
	prompts, drafts := lateStreams(m, 0.9, nil, lose)
	promptsOff, draftsOff := lateStreams(m, 0.9, withoutPauses, lose)
	t.Logf("prompts %v; drafts %v; without pauses and speeds: prompts %v; drafts %v", prompts, drafts, promptsOff, draftsOff)
	late, lateOff := prompts.latePause+drafts.latePause, promptsOff.latePause+draftsOff.latePause
	if 2*late > lateOff || prompts.firstShare() > promptsOff.firstShare()+firstTolerance {
		t.Errorf("%d streams with a pause beyond the bound, %d without pauses and speeds; prompts late %.3f, %.3f", late, lateOff, prompts.firstShare(), promptsOff.firstShare())
	}
}

// Guards against a division that stays as it was when the mix of requests or the targets
// change.
func TestDivisionFollowsDemand(t *testing.T) {
	f := nineTargets()
	for _, id := range []string{"j", "k", "l"} {
		f.Put(target(id, 1))
	}
	now := start
	send := func(heavyEvery int) int {
		for i := range 600 {
			q := lightQuery(i)
			if i%heavyEvery == 0 {
				q = heavyQuery(i)
			}
			q.MaxEventGap = 300 * time.Millisecond
			f.Choose(q, now)
			now = now.Add(20 * time.Millisecond)
		}
		return f.reservedCount(now)
	}
	// A heavy prompt takes as long as 30 light ones.
	mostlyHeavy, balanced := send(10), send(30)
	if mostlyHeavy < 2 || mostlyHeavy > 4 || balanced < 5 || balanced > 7 {
		t.Errorf("%d of 12 targets for light requests with a quarter of the demand, %d with half of it", mostlyHeavy, balanced)
	}
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		lost := target(id, 1)
		lost.Draining = true
		f.Put(lost)
	}
	if n := f.reservedCount(now); n < 2 || n > 3 {
		t.Errorf("%d of the remaining 6 targets for light requests with half of the demand", n)
	}
	send(5000)
	if n := send(5000); n != 0 {
		t.Errorf("%d targets reserved though hardly any heavy requests come", n)
	}
}

// reservedCount returns how many of the usable targets are reserved for light requests with
// a bound.
func (f *Fleet) reservedCount(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group("lm")
	var indices []int32
	for i, s := range g.states {
		if !s.target.Draining {
			indices = append(indices, int32(i))
		}
	}
	q := lightQuery(0)
	q.MaxEventGap = 300 * time.Millisecond
	return len(f.reservedForLight(q, g, indices, now))
}

// Guards against any change of the cost for routes without a bound.
func TestCostWithoutBoundIsUnchanged(t *testing.T) {
	for _, off := range []policy.Disabled{nil, {policy.EventPauses: true}} {
		f := withTargets(New("z"), target("a", 1))
		f.Disable(off)
		f.MergeOccupancy("other", []Occupancy{{Target: Instance{ID: "a"}, Inflight: 9, Long: 7, PrefillTokens: 30000}}, start)
		s := f.states["a"]
		q := heavyQuery(0)
		if off != nil {
			q.MaxEventGap = 300 * time.Millisecond
		}
		if got := f.pauseCost(q, s, 9000, usualPace, start); got != 35*time.Millisecond {
			t.Errorf("a short run beside seven long ones costs %v, want 35 ms", got)
		}
		f.MergeOccupancy("other", []Occupancy{{Target: Instance{ID: "a"}, Long: 70}}, start)
		if got := f.pauseCost(q, s, 9000, usualPace, start); got != maxLongNeighbourCost {
			t.Errorf("a short run beside seventy long ones costs %v, want %v", got, maxLongNeighbourCost)
		}
		q.long = true
		if got := f.pauseCost(q, s, 9000, usualPace, start); got != 0 {
			t.Errorf("a long run costs %v beside other long ones", got)
		}
	}
}

// Guards against a cost of pauses that refuses a request, or outweighs its own objective.
func TestPauseCostIsBounded(t *testing.T) {
	f := withTargets(New("z"), target("a", 1))
	f.MergeOccupancy("other", []Occupancy{{Target: Instance{ID: "a"}, Inflight: 1000, Long: 1000, PrefillTokens: 1 << 30}}, start)
	q := heavyQuery(0)
	q.MaxEventGap = time.Millisecond
	for range 100 {
		f.Choose(q, start)
	}
	worst := Pace{Duration: 1 / minSpeed, Slowdown: 100}
	if got := f.pauseCost(q, f.states["a"], 1<<30, worst, start); got > q.Objective/2 || got < q.Objective/4 {
		t.Errorf("cost %v, want a quarter to half of the objective of %v", got, q.Objective)
	}
	if _, ok := f.Choose(q, start); !ok {
		t.Error("the request was refused for the pauses that it causes")
	}
	q.Objective = 0
	if got := f.pauseCost(q, f.states["a"], 1<<30, worst, start); got > q.MaxEventGap {
		t.Errorf("cost %v of a route without an objective, want at most its bound", got)
	}
}

// streamingTargets returns targets of which "busy" runs ten streams with a bound; the service
// is known from observed streams.
func streamingTargets(t *testing.T) (*Fleet, Query) {
	t.Helper()
	f := withTargets(New("z"), Target{ID: "busy", Service: "lm", Address: "busy:1", Zone: "z", Slots: 64, Weights: map[string]int64{"m": 1}},
		Target{ID: "idle", Service: "lm", Address: "idle:1", Zone: "z", Slots: 64, Weights: map[string]int64{"m": 1}})
	q := query()
	q.InputTokens, q.MaxOutputTokens, q.Objective, q.MaxEventGap = 9000, 60, 600*time.Millisecond, 300*time.Millisecond
	q.Chain = func(int64) prefix.Chain {
		own := prefix.Boundary{Hash: 1 << 40, Tokens: 9000}
		return prefix.Chain{Tokens: 9000, Boundaries: []prefix.Boundary{own}}
	}
	for range 10 {
		f.Choose(q, start)
		f.Begin(Instance{ID: "busy"}, RequestLoad{PromptTokens: 300, MaxOutputTokens: 300}, start)
	}
	return f, q
}

// Guards against a long prompt that is placed where it makes streams late, beside a target
// without any: the target is slowed down, so that its prompt adds half a second to a pause.
func TestPromptAvoidsStreamsThatItMakesLate(t *testing.T) {
	f, q := streamingTargets(t)
	costAt := func(id string) time.Duration {
		s := f.states[id]
		return f.pauseCost(q, s, 9000, f.pace(s, start), start)
	}
	if busy, idle := costAt("busy"), costAt("idle"); busy > idle+20*time.Millisecond {
		t.Errorf("cost %v beside streams that stay within their bound, %v without streams", busy, idle)
	}
	f.RecordLoad(Instance{ID: "busy"}, Load{Slots: 64, Slowdown: 2.5}, start)
	f.RecordLoad(Instance{ID: "idle"}, Load{Slots: 64, Slowdown: 2.5}, start)
	if busy, idle := costAt("busy"), costAt("idle"); busy < idle+100*time.Millisecond {
		t.Errorf("cost %v beside streams that become late, %v without streams", busy, idle)
	}
}

// Guards against a stream that is placed where prompts are prefilled all the time.
func TestStreamAvoidsPrefill(t *testing.T) {
	f, q := streamingTargets(t)
	f.MergeOccupancy("other", []Occupancy{{Target: Instance{ID: "idle"}, Inflight: 1, PrefillTokens: 60000}}, start)
	q.InputTokens = 300
	pace := Pace{Duration: 1.6, Slowdown: 1}
	now := start.Add(time.Second)
	with, without := f.pauseCost(q, f.states["idle"], 300, pace, now), f.pauseCost(q, f.states["busy"], 300, pace, now)
	if with < without+50*time.Millisecond {
		t.Errorf("cost %v where prompts are prefilled, %v where none is", with, without)
	}
}

// Guards against streams that are packed where each other's prompts make them late, and
// against runs that are spread though packing does no harm.
func TestStreamsArePackedWithinTheirBound(t *testing.T) {
	most := func(m engineModel, off policy.Disabled) int {
		m.promptRate /= 100
		e := newEngineSim(m, 3, 15, 0.7, 1, off)
		e.run(8 * time.Second)
		most := 0
		for _, engine := range e.engines {
			most = max(most, len(engine.running))
		}
		return most
	}
	// Streams of 3.5 s whose prompts take 11 ms are packed, unless their bound is as short as
	// two prompts during a slow time.
	short := engineA
	short.draftEvents, short.draftRate, short.tokensPerMs, short.bound = 2*short.draftEvents, short.draftRate/2, 2*short.tokensPerMs, 200*time.Millisecond
	packed, spread := most(engineK, nil), most(short, nil)
	if packedOff := most(short, withoutPauses); packed < engineK.slots*6/10 || spread > engineA.slots/2 || packedOff < engineA.slots*6/10 {
		t.Errorf("the fullest target has %d of %d slots in use where packing does no harm, %d of %d where it makes streams late, and %d there without pauses", packed, engineK.slots, spread, engineA.slots, packedOff)
	}
}

// Guards against the speed of targets that is not learnt from streams, or confused with the
// number of streams there. Targets with few samples stay near the usual speed.
func TestSpeedIsLearnedFromEvents(t *testing.T) {
	e := newEngineSim(engineA, 6, 15, 1.5, 1, nil)
	e.run(20 * time.Second)
	for _, engine := range e.engines {
		got, weight := e.views[0].Pace(Instance{ID: engine.id}, e.now).Duration, e.views[0].states[engine.id].speed.weight
		if weight >= 40 && (got < engine.duration/1.3 || got > engine.duration*1.3) {
			t.Errorf("%s takes %.2f times as long, want %.2f", engine.id, got, engine.duration)
		}
		if engine.duration < 1 && got > 0.9 || engine.duration > 1 && got < 1.1 {
			t.Errorf("%s takes %.2f times as long after %.0f samples, want %.2f", engine.id, got, weight, engine.duration)
		}
	}
}

// Guards against equally fast targets that are chosen by the noise of their estimates.
func TestEqualTargetsHaveTheUsualSpeed(t *testing.T) {
	m := engineA
	m.durations = []float64{1}
	e := newEngineSim(m, 6, 15, 1, 1, nil)
	e.run(15 * time.Second)
	off := 0
	for _, engine := range e.engines {
		if e.views[0].Pace(Instance{ID: engine.id}, e.now).Duration != 1 {
			off++
		}
	}
	if off > 2 {
		t.Errorf("%d of %d equally fast targets are taken for faster or slower", off, len(e.engines))
	}
}

// Guards against simulations whose figures differ between runs with the same seed: comparisons
// of them would fail by chance.
func TestEngineSimulationRepeats(t *testing.T) {
	for _, off := range []policy.Disabled{nil, withoutPauses} {
		var figures [2]string
		for i := range figures {
			e := newEngineSim(slowK(), 6, 15, 1.5, 1, off)
			e.run(10 * time.Second)
			figures[i] = fmt.Sprint(e.prompts, e.drafts, e.random.Uint64())
		}
		if figures[0] != figures[1] {
			t.Errorf("two runs of a simulation differ:\n%s\n%s", figures[0], figures[1])
		}
	}
}
