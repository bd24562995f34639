package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// trueSteps is the engine behind the pauses of a test: prefill adds its time to a pause up to
// as many chunks as an event takes steps.
type trueSteps struct{ idle, perRunning, limit float64 }

func (m trueSteps) pause(r PauseSample) float64 {
	return m.idle + m.perRunning*float64(r.Running) + min(r.OwnPrefill.Seconds(), m.limit)
}

func (m trueSteps) observe(e *Estimator, n int, from time.Time, random *rand.Rand) time.Time {
	for range n {
		r := PauseSample{Running: random.IntN(60)}
		if random.IntN(4) == 0 {
			r.OwnPrefill = time.Duration(random.Float64() * float64(time.Second))
		}
		r.Pause = time.Duration(m.pause(r) * (0.9 + 0.2*random.Float64()) * float64(time.Second))
		e.ObservePause(r, from)
		from = from.Add(5 * time.Millisecond)
	}
	return from
}

// Guards against expected pauses that miss the limit up to which prefill lengthens them, for
// the engines of both deployments and others.
func TestPausesAreLearned(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := trueSteps{
			idle:       rapid.Float64Range(0.01, 0.1).Draw(rt, "idle s"),
			perRunning: rapid.Float64Range(0, 0.001).Draw(rt, "s a run"),
			limit:      rapid.Float64Range(0.1, 0.6).Draw(rt, "limit s"),
		}
		e := New()
		at := m.observe(e, 4000, start, rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)))
		for _, own := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, time.Second} {
			r := PauseSample{OwnPrefill: own, Running: 30}
			want := m.pause(r)
			got, deviation := e.ExpectedPause(r, at)
			if math.Abs(got.Seconds()-want) > 0.02+0.2*want || deviation <= 0 || deviation > 200*time.Millisecond {
				rt.Errorf("with %v to prefill: expected %v with a deviation of %v, want %.3f s", own, got, deviation, want)
			}
		}
	})
}

// Guards against a process without streams of its own that doesn't know the others' pauses,
// against reports that count more than once or for ever, and against groups that pass on what
// they received from other groups.
func TestPausesAreShared(t *testing.T) {
	m := trueSteps{idle: 0.04, perRunning: 0.0001, limit: 0.16}
	old, fresh := New(), New()
	at := m.observe(old, 2000, start, rand.New(rand.NewPCG(1, 1)))
	r := PauseSample{OwnPrefill: time.Second, Running: 30}
	old.ObserveRun(100, time.Second, at)
	old.WeightLoads.Observe(time.Second)
	report, ok := old.Report("lm", at)
	if !ok || report.Pauses.Weight == 0 {
		t.Fatal("no pauses in the report")
	}
	want, _ := old.ExpectedPause(r, at)
	for range 5 {
		fresh.ApplyReport("old/1", report, at)
	}
	if got, _ := fresh.ExpectedPause(r, at); math.Abs((got - want).Seconds()) > 0.005 {
		t.Errorf("expected %v, want %v as at the process that observed it", got, want)
	}
	group, _ := fresh.GroupReport("lm", at)
	if math.Abs(group.Pauses.Weight-report.Pauses.Weight) > 0.01 {
		t.Errorf("a group's report has a weight of %.1f, that of its only member with samples is %.1f", group.Pauses.Weight, report.Pauses.Weight)
	}
	other := New()
	other.ApplyGroupReport(2, group, at)
	if passed, _ := other.GroupReport("lm", at); passed.Pauses.Weight != 0 {
		t.Error("a group passes on pauses of another group")
	}
	if got, _ := New().ExpectedPause(r, at); math.Abs((got - want).Seconds()) < 0.05 {
		t.Errorf("expected %v without samples, which is as good as learnt", got)
	}
}

// Guards against streams that stood still, or a clock that stepped, in the fit of pauses.
func TestOddPausesAreIgnored(t *testing.T) {
	m := trueSteps{idle: 0.04, limit: 0.16}
	e := New()
	random := rand.New(rand.NewPCG(1, 1))
	at := m.observe(e, 500, start, random)
	r := PauseSample{Running: 30}
	before, _ := e.ExpectedPause(r, at)
	for range 100 {
		e.ObservePause(PauseSample{Running: 30, Pause: time.Hour}, at)
		e.ObservePause(PauseSample{Running: 30, Pause: -time.Second}, at)
	}
	if after, _ := e.ExpectedPause(r, at.Add(time.Second)); math.Abs((after - before).Seconds()) > 0.002 {
		t.Errorf("expected %v, %v before odd pauses", after, before)
	}
}

// Guards against the bound of one route that is taken for that of all requests.
func TestBoundedStreams(t *testing.T) {
	e := New()
	if got := e.BoundedStreams(); got != (BoundedStreams{}) {
		t.Errorf("%+v without requests", got)
	}
	for i := range 100 {
		bound := time.Duration(0)
		if i%4 == 0 {
			bound = 300 * time.Millisecond
		}
		e.ObserveStreamBound(bound, start.Add(time.Duration(i)*10*time.Millisecond))
	}
	if got := e.BoundedStreams(); math.Abs(got.Share-0.25) > 0.03 || math.Abs(got.Bound.Seconds()-0.3) > 0.001 {
		t.Errorf("%+v, want a quarter with 300 ms", got)
	}
}
