package fleet

import (
	"testing"
	"time"
)

// A runner refuses, as its weights are others, and does not say which. An entry
// takes it for loaded with the newest version, and is wrong: it has the one
// before. Were that told as a fact, no holder would ever order the runner, and
// nothing would run there: weights only grow. The guess stays with who made it,
// and ends with the first word of the true version.
func TestGuessedWeightsAreNotTold(t *testing.T) {
	entry, holder := named(New("z"), runner("r", 1)), named(New("z"), runner("r", 1))
	for _, f := range []*Fleet{entry, holder} {
		f.RecordDesired("m", 2, start, false)
		f.RecordDesired("m", 3, start, false)
	}
	entry.GuessWeights(Instance{ID: "r"}, "m")
	if c, ok := entry.Choose(query(), start); !ok || c.WeightsVersion != 3 {
		t.Errorf("the guess does not steer: weights %d", c.WeightsVersion)
	}
	holder.MergeTargetUpdates(entry.TargetUpdates(start), start)
	for name, f := range map[string]*Fleet{"entry": entry, "holder": holder} {
		if got := f.Targets("lm")[0].Weights["m"]; got != 1 {
			t.Errorf("%s would order by weights %d, want 1", name, got)
		}
	}
	entry.RecordWeights(Instance{ID: "r"}, "m", 2, start)
	if c, _ := entry.Choose(query(), start); c.WeightsVersion != 2 {
		t.Errorf("weights %d after the runner said 2", c.WeightsVersion)
	}
}

// An order keeps a runner busy. One entry meets that and tells the others, many
// times a second. Were they to tell it on, each with the delay of the way, the
// runner would count as busy for as long as there are two entries: it stood idle
// for seconds after its order, while the others drowned.
func TestBusyDoesNotEcho(t *testing.T) {
	a, b := named(New("z"), runner("r", 1)), named(New("z"), runner("r", 1))
	a.RecordBusy(Instance{ID: "r"}, start.Add(700*time.Millisecond))
	const delay = 30 * time.Millisecond
	now := start
	for range 40 {
		b.MergeTargetUpdates(a.TargetUpdates(now), now.Add(delay))
		a.MergeTargetUpdates(b.TargetUpdates(now.Add(delay)), now.Add(2*delay))
		now = now.Add(100 * time.Millisecond)
	}
	for name, f := range map[string]*Fleet{"who met it": a, "who heard it": b} {
		if _, ok := f.Choose(query(), now); !ok {
			t.Errorf("%s: busy %v after the order of 700 ms", name, now.Sub(start))
		}
	}
}
