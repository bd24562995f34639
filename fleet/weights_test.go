package fleet

import (
	"testing"
	"time"
)

func weightsOf(f *Fleet, id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[id].version("m")
}

// Guards against a version that nobody named being believed of the list or of another process.
func TestStatedWeightsAreNamedOnes(t *testing.T) {
	now := time.Now()
	l := Instance{ID: "a", Born: 10}
	for name, state := range map[string]func(*Fleet, int64){
		"the list": func(f *Fleet, v int64) {
			f.Put(Target{ID: "a", Born: 10, Service: "s", Weights: map[string]int64{"m": v}})
		},
		"another process": func(f *Fleet, v int64) {
			f.MergeTargetUpdates([]TargetUpdate{{Target: l, Weights: map[string]int64{"m": v}}}, now)
		},
	} {
		f := New("z")
		f.Put(Target{ID: "a", Born: 10, Service: "s", Weights: map[string]int64{"m": 1}})
		f.RecordDesired("m", 3, now, false)
		if state(f, 1<<53); f.Targets("s")[0].Weights["m"] != 1 {
			t.Errorf("%s: version %d is believed", name, f.Targets("s")[0].Weights["m"])
		}
		if state(f, 3); f.Targets("s")[0].Weights["m"] != 3 {
			t.Errorf("%s: the named version is not believed", name)
		}
	}
}

// Guards against a guess by another process's word that holds although the target states another
// version.
func TestOwnAnswerEndsAGuess(t *testing.T) {
	l := Instance{ID: "a", Born: 10}
	f := New("z")
	f.Put(Target{ID: "a", Born: 10, Service: "s", Weights: map[string]int64{"m": 2}})
	f.RecordDesired("m", 2, time.Now(), false)
	asked := time.Now()
	f.MergeTargetUpdates([]TargetUpdate{{Target: l, Weights: map[string]int64{"m": 3}}}, time.Now())
	if f.RecordAnsweredWeights(l, "m", 2, asked, time.Now()); weightsOf(f, "a") != 3 {
		t.Error("a process that is cut off does not follow the others")
	}
	if f.RecordAnsweredWeights(l, "m", 2, time.Now(), time.Now()); weightsOf(f, "a") != 2 {
		t.Error("the target's answer to a later question is not believed")
	}
}

// Guards against a false version that holds although the target states another one, and against a
// true one that an answer which was on its way takes back.
func TestOwnAnswerLowersWeights(t *testing.T) {
	l := Instance{ID: "a", Born: 10}
	f := New("z")
	asked := time.Now()
	f.Put(Target{ID: "a", Born: 10, Service: "s", Weights: map[string]int64{"m": 7}})
	f.RecordAnsweredWeights(l, "m", 1, asked, time.Now())
	if got := weightsOf(f, "a"); got != 7 {
		t.Errorf("version %d after an answer to an earlier question, want 7", got)
	}
	f.RecordAnsweredWeights(l, "m", 0, time.Now(), time.Now())
	if got := weightsOf(f, "a"); got != 7 {
		t.Errorf("version %d after an answer that states none, want 7", got)
	}
	f.RecordAnsweredWeights(l, "m", 1, time.Now(), time.Now())
	if got := weightsOf(f, "a"); got != 1 {
		t.Errorf("version %d after an answer to a later question, want 1", got)
	}
	if f.Put(Target{ID: "a", Born: 10, Service: "s", Weights: map[string]int64{"m": 2}}); weightsOf(f, "a") != 2 {
		t.Error("versions do not grow any more")
	}
}
