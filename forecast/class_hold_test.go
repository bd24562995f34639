package forecast

import (
	"testing"
	"time"
)

// Guards against slot times of one class that follow from the runs of another, and against
// a process that ignores what its peers observed.
func TestSlotHoldIsLearnedByClass(t *testing.T) {
	old, fresh := New(), New()
	for range 40 {
		old.ObserveClassRun(0, 10, 350*time.Millisecond, start)
		old.ObserveClassRun(2, 58, 3*time.Second, start)
	}
	old.ObservePrefill(PrefillSample{UncachedTokens: 100, PromptTokens: 100, TimeToFirstToken: time.Second}, start)
	w, ok := old.Report("lm", start)
	if !ok {
		t.Fatal("no report")
	}
	fresh.ApplyReport("old", w, start)
	for _, e := range []*Estimator{old, fresh} {
		urgent, _ := e.ExpectedClassHold(0, 10)
		draft, _ := e.ExpectedClassHold(2, 58)
		if urgent.Round(time.Millisecond) != 350*time.Millisecond || draft.Round(time.Millisecond) != 3*time.Second {
			t.Errorf("slot times %v and %v, want 350 ms and 3 s", urgent, draft)
		}
		if _, ok := e.ExpectedClassHold(1, 58); ok {
			t.Error("a slot time is known for a class without runs")
		}
	}
}
