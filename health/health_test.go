package health

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against a target that comes back while a request waits for it, and is not asked before the
// request gives up.
func TestWaitingRequestIsAllowedWithinItsLimit(t *testing.T) {
	const wait, pause, limit = 10 * time.Second, 200 * time.Millisecond, 500 * time.Millisecond
	for failures := deadThreshold; failures < 12; failures++ {
		var target Tracker
		for range failures {
			target.RecordFailure(start)
		}
		last := start
		for now := start; now.Sub(start) < wait; now = now.Add(pause) {
			if target.AllowRequestWithin(limit, now) {
				if target.AllowRequestWithin(limit, now) {
					t.Fatal("two probes were allowed at a time")
				}
				target.RecordFailure(now)
				last = now
			}
			if now.Sub(last) > limit+pause {
				t.Fatalf("after %d failures: no probe for %v", failures, now.Sub(last))
			}
		}
		if target.AllowRequest(last.Add(limit)) {
			t.Errorf("after %d failures: other requests probe as often", failures)
		}
	}
}

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
