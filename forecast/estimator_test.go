package forecast

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// trueEngine is an engine of a test.
type trueEngine struct {
	fixed, token, pairs float64
}

func (m trueEngine) timeToFirstToken(r PrefillSample) time.Duration {
	f := r.features()
	return seconds(m.fixed + m.token*f[1] + m.pairs*f[2])
}

// observe lets an engine meet n prompts a few milliseconds apart, of 100 to
// 40,000 tokens, with noise of a tenth.
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
			t.Errorf("%+v: %.3f s expected, %.3f s is right", r, got, want)
		}
	}
}

// The three engines that the project has met, and whatever else: a few seconds
// of prompts tell how long the next one takes, of any size.
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

// Engines are replaced by others of half the speed while traffic goes on. What
// was learnt of the old ones must be gone within ten seconds.
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

// A burst keeps every prompt waiting behind ten times its own tokens, which a
// process knows in part only. Were the waits taken for reading, the engines
// would count as ten times slower, more would be refused, and the few left
// would still have waited. The figures stay.
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

// A runner stands still for seconds, and some prompts were cached though nobody
// knew. One observation in ten is off by five times or more, either way.
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

// An entry starts anew beside others: it knows what they know from their first
// words on, and a word that comes again counts once.
func TestNewProcessLearnsFromPeers(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 1))
	m := trueEngine{0.09, 0.02, 0.0004}
	old, fresh := New(), New()
	at := observe(old, m, 300, start, random)
	old.ObserveRun(480, time.Second, at)
	old.WeightLoads.Observe(2 * time.Second)
	if fresh.HasEnoughSamples() {
		t.Error("an engine of which nothing was seen counts as known")
	}
	for range 5 {
		w, ok := old.Report("lm", at)
		if !ok {
			t.Fatal("nothing to tell")
		}
		fresh.ApplyReport("old/1", w, at)
	}
	checkEstimates(t, fresh, m, at, 0.2)
	if held, ok := fresh.ExpectedSlotHold(480); !ok || held < 900*time.Millisecond || held > 1100*time.Millisecond {
		t.Errorf("a run is expected to take %v", held)
	}
	if !fresh.HasEnoughSamples() || fresh.WeightLoads.LoadDuration() != 2*time.Second {
		t.Errorf("known %v, a load takes %v", fresh.HasEnoughSamples(), fresh.WeightLoads.LoadDuration())
	}
}

// After an hour without a request the figures are those of an hour ago, not the
// guess of the first minute.
func TestIdleTimeKeepsCoefficients(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	m := trueEngine{0.09, 0.02, 0.0004}
	e := New()
	at := observe(e, m, 300, start, random).Add(time.Hour)
	observe(e, m, 1, at, random)
	checkEstimates(t, e, m, at, 0.2)
}
