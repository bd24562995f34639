package health

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against a failing target that keeps its full load, gets several probes at a time,
// or gets all its load back at once.
func TestStateTransitions(t *testing.T) {
	var target Tracker
	if target.State(start) != Live || !target.AllowRequest(start) {
		t.Fatal("a new target is not live")
	}
	target.RecordFailure(start)
	if target.State(start) != Suspect || !target.AllowRequest(start) || target.Penalty(start) != maxPenalty {
		t.Error("after one failure the target is not suspect with the full penalty")
	}
	target.RecordFailure(start)
	if target.State(start) != Dead || target.AllowRequest(start) {
		t.Error("after two failures the target is not dead or still gets requests")
	}
	later := start.Add(minProbeInterval)
	if !target.AllowRequest(later) || target.AllowRequest(later) {
		t.Error("the probe was refused, or two were allowed at a time")
	}
	target.RecordSuccess()
	if target.State(later) != Suspect {
		t.Error("a recovered target is not suspect")
	}
	if p := target.Penalty(start.Add(2 * penaltyHalfLife)); p != maxPenalty/4 {
		t.Errorf("penalty %v, want a quarter", p)
	}
	if target.State(start.Add(time.Minute)) != Live {
		t.Error("the penalty does not expire")
	}
}
