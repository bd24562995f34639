package fleet

import (
	"testing"
	"time"
)

// Guards against a guessed version that is shared as a fact: as weights only grow, no
// load order would correct a wrong one, and the target would serve nothing.
func TestGuessedWeightsAreNotShared(t *testing.T) {
	entry, holder := withTargets(New("z"), target("r", 1)), withTargets(New("z"), target("r", 1))
	for _, f := range []*Fleet{entry, holder} {
		f.RecordDesired("m", 2, start, false)
		f.RecordDesired("m", 3, start, false)
	}
	entry.GuessWeights(Instance{ID: "r"}, "m")
	if c, ok := entry.Choose(query(), start); !ok || c.WeightsVersion != 3 {
		t.Errorf("the guess does not affect the choice: weights %d", c.WeightsVersion)
	}
	holder.MergeTargetUpdates(entry.TargetUpdates(start), start)
	for name, f := range map[string]*Fleet{"entry": entry, "holder": holder} {
		if got := f.Targets("lm")[0].Weights["m"]; got != 1 {
			t.Errorf("%s would order by weights %d, want 1", name, got)
		}
	}
	entry.RecordWeights(Instance{ID: "r"}, "m", 2, start)
	if c, _ := entry.Choose(query(), start); c.WeightsVersion != 2 {
		t.Errorf("weights %d after the target reported 2", c.WeightsVersion)
	}
}

// Guards against a busy time that two processes pass back and forth, each with the delay
// of the way: the target stood idle for seconds after its order.
func TestBusyDoesNotEcho(t *testing.T) {
	a, b := withTargets(New("z"), target("r", 1)), withTargets(New("z"), target("r", 1))
	a.RecordBusy(Instance{ID: "r"}, start.Add(700*time.Millisecond))
	const delay = 30 * time.Millisecond
	now := start
	for range 40 {
		b.MergeTargetUpdates(a.TargetUpdates(now), now.Add(delay))
		a.MergeTargetUpdates(b.TargetUpdates(now.Add(delay)), now.Add(2*delay))
		now = now.Add(100 * time.Millisecond)
	}
	for name, f := range map[string]*Fleet{"who observed it": a, "who received it": b} {
		if _, ok := f.Choose(query(), now); !ok {
			t.Errorf("%s: busy %v after the order of 700 ms", name, now.Sub(start))
		}
	}
}
