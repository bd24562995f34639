package pulses

import (
	"math"
	"testing"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
)

// Guards against reports of unresponsive targets that are lost or gain age on the wire,
// against the age of a target that responds, and against an age without bound.
func TestUnresponsiveFindings(t *testing.T) {
	l := fleet.Instance{ID: "r", Born: 7}
	sent := []fleet.TargetUpdate{{Target: l, Unresponsive: true, UnresponsiveAge: 350 * time.Millisecond}, {Target: l, UnresponsiveAge: time.Second}}
	got := DecodeFindings(encodeFindings(sent))
	if len(got) != 2 || !got[0].Unresponsive || got[0].UnresponsiveAge != 350*time.Millisecond || got[0].Target != l {
		t.Errorf("received %+v", got)
	}
	if got[1].Unresponsive || got[1].UnresponsiveAge != 0 {
		t.Errorf("a responsive target was received as %+v", got[1])
	}
	old := DecodeFindings([]*keelv1.TargetFinding{{Target: "r", Unresponsive: true, UnresponsiveAgeMs: math.MaxUint32}})
	if old[0].UnresponsiveAge != maxAge {
		t.Errorf("age %v, want at most %v", old[0].UnresponsiveAge, maxAge)
	}
}
