package forecast

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// trueEngine is the engine behind the samples of a test.
type trueEngine struct {
	fixed, token, pairs float64
}

func (m trueEngine) timeToFirstToken(r PrefillSample) time.Duration {
	f := r.features()
	return seconds(m.fixed + m.token*f[1] + m.pairs*f[2])
}

// observe adds n samples 20 ms apart, of prompts with 100 to 40,000 tokens and 10% noise.
func observe(e *Estimator, m trueEngine, n int, from time.Time, random *rand.Rand) time.Time {
	for range n {
		r := PrefillSample{UncachedTokens: 100 + random.IntN(300)}
		if random.IntN(3) == 0 {
			r.UncachedTokens = 3000 + random.IntN(37000)
		}
		r.PromptTokens = r.UncachedTokens + random.IntN(15000)
		r.TimeToFirstToken = time.Duration(float64(m.timeToFirstToken(r)) * (0.9 + 0.2*random.Float64()))
		e.ObservePrefill(r, from)
		from = from.Add(20 * time.Millisecond)
	}
	return from
}

func checkEstimates(t *testing.T, e *Estimator, m trueEngine, at time.Time, within float64) {
	t.Helper()
	for _, r := range []PrefillSample{{UncachedTokens: 300, PromptTokens: 300}, {UncachedTokens: 4000, PromptTokens: 17000}, {UncachedTokens: 17000, PromptTokens: 17000}, {UncachedTokens: 40000, PromptTokens: 40000}} {
		want := m.timeToFirstToken(r).Seconds()
		got := (e.BaseLatency(at) + e.PrefillTime(r.UncachedTokens, r.PromptTokens, at)).Seconds()
		if got < want*(1-within) || got > want*(1+within) {
			t.Errorf("%+v: estimated %.3f s, want %.3f s", r, got, want)
		}
	}
}

// Guards against estimates that do not fit prompts of every size within a few seconds, for
// the three known engines and others.
func TestCoefficientsConvergeWithinSeconds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := trueEngine{
			fixed: rapid.Float64Range(0.002, 0.2).Draw(rt, "fixed s"),
			token: rapid.Float64Range(0.004, 0.08).Draw(rt, "s a thousand tokens"),
			pairs: rapid.Float64Range(0, 0.002).Draw(rt, "s a million pairs"),
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		e := New()
		at := observe(e, m, 250, start, random)
		checkEstimates(t, e, m, at, 0.2)
	})
}

// Guards against estimates that still reflect the former engines ten seconds after they
// were replaced under load.
func TestReplacedEnginesAreFollowed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	e := New()
	fast, slow := trueEngine{0.05, 0.01, 0.0002}, trueEngine{0.1, 0.022, 0.0005}
	at := observe(e, fast, 1000, start, random)
	checkEstimates(t, e, fast, at, 0.2)
	at = observe(e, slow, 500, at, random)
	checkEstimates(t, e, slow, at, 0.2)
	at = observe(e, fast, 500, at, random)
	checkEstimates(t, e, fast, at, 0.2)
}

// Guards against learning queueing time as prefill time in a burst: engines would seem ten
// times slower, and refusing more requests would not shorten the waits of the rest.
func TestQueueingIsNotLearnedAsPrefill(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	e := New()
	m := trueEngine{0.09, 0.02, 0.0004}
	at := observe(e, m, 300, start, random)
	for range 500 {
		r := PrefillSample{UncachedTokens: 4000, PromptTokens: 17000, QueuedTokens: 8000 + random.IntN(50000)}
		r.TimeToFirstToken = 4 * m.timeToFirstToken(r)
		e.ObservePrefill(r, at)
		at = at.Add(10 * time.Millisecond)
	}
	checkEstimates(t, e, m, at, 0.2)
}

// Guards against estimates distorted when one sample in ten is off by five times or more,
// because a target stood still or a prompt was cached without being known.
func TestOutliersChangeLittle(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	e := New()
	m := trueEngine{0.09, 0.02, 0.0004}
	at := start
	for range 60 {
		at = observe(e, m, 18, at, random)
		stuck := PrefillSample{UncachedTokens: 15000, PromptTokens: 15000, TimeToFirstToken: 4 * time.Second}
		cached := PrefillSample{UncachedTokens: 15000, PromptTokens: 15000, TimeToFirstToken: 95 * time.Millisecond}
		e.ObservePrefill(stuck, at)
		e.ObservePrefill(cached, at)
	}
	checkEstimates(t, e, m, at, 0.25)
}

// Guards against a restarted process that does not know the estimates of its peers, or
// counts repeated reports more than once.
func TestNewProcessLearnsFromPeers(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 1))
	m := trueEngine{0.09, 0.02, 0.0004}
	old, fresh := New(), New()
	at := observe(old, m, 300, start, random)
	old.ObserveRun(480, time.Second, at)
	old.WeightLoads.Observe(2 * time.Second)
	if fresh.HasEnoughSamples() {
		t.Error("an estimator without samples has enough samples")
	}
	for range 5 {
		w, ok := old.Report("lm", at)
		if !ok {
			t.Fatal("no report")
		}
		fresh.ApplyReport("old/1", w, at)
	}
	checkEstimates(t, fresh, m, at, 0.2)
	if held, ok := fresh.ExpectedSlotHold(480); !ok || held < 900*time.Millisecond || held > 1100*time.Millisecond {
		t.Errorf("expected slot hold %v, want about 1 s", held)
	}
	if !fresh.HasEnoughSamples() || fresh.WeightLoads.LoadDuration() != 2*time.Second {
		t.Errorf("enough samples %v, load duration %v", fresh.HasEnoughSamples(), fresh.WeightLoads.LoadDuration())
	}
}

// Guards against falling back to the defaults after an hour without requests.
func TestIdleTimeKeepsCoefficients(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	m := trueEngine{0.09, 0.02, 0.0004}
	e := New()
	at := observe(e, m, 300, start, random).Add(time.Hour)
	observe(e, m, 1, at, random)
	checkEstimates(t, e, m, at, 0.2)
}
