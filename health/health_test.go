package health

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// A target that fails is asked less, then left alone, probed one request at a
// time, and given its work back by degrees.
func TestOpinion(t *testing.T) {
	var target Tracker
	if target.State(start) != Live || !target.AllowRequest(start) {
		t.Fatal("a new target is live")
	}
	target.RecordFailure(start)
	if target.State(start) != Suspect || !target.AllowRequest(start) || target.Penalty(start) != maxPenalty {
		t.Error("after one failure a target is suspect")
	}
	target.RecordFailure(start)
	if target.State(start) != Dead || target.AllowRequest(start) {
		t.Error("after two failures a target is left alone")
	}
	later := start.Add(minProbeInterval)
	if !target.AllowRequest(later) || target.AllowRequest(later) {
		t.Error("one probe at a time")
	}
	target.RecordSuccess()
	if target.State(later) != Suspect {
		t.Error("a target that came back is suspect for a while")
	}
	if p := target.Penalty(start.Add(2 * penaltyHalfLife)); p != maxPenalty/4 {
		t.Errorf("penalty %v, want a quarter", p)
	}
	if target.State(start.Add(time.Minute)) != Live {
		t.Error("a penalty must fade")
	}
}
