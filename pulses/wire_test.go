package pulses

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
)

// Guards against speeds and slowdowns that change on the way, and against figures of another
// version or a faulty sender that are out of range.
func TestPaceInFindings(t *testing.T) {
	sent := fleet.TargetUpdate{Target: fleet.Instance{ID: "r", Born: 7}, Slowdown: 2.5, SlowdownAge: 120 * time.Millisecond, Speed: 0.61, SpeedSamples: 12}
	datagrams, err := Update{Findings: []fleet.TargetUpdate{sent}}.Datagrams("a", nil)
	if err != nil || len(datagrams) != 1 {
		t.Fatal(len(datagrams), err)
	}
	var message keelv1.Pulse
	if err := proto.Unmarshal(datagrams[0], &message); err != nil {
		t.Fatal(err)
	}
	got := DecodeFindings(message.Findings)[0]
	if got.Slowdown != sent.Slowdown || got.SlowdownAge != sent.SlowdownAge || got.Speed != sent.Speed || got.SpeedSamples != sent.SpeedSamples {
		t.Errorf("sent %+v, received %+v", sent, got)
	}
	for percent, want := range map[uint32]float64{0: 0, 1: 0.01, maxPercent: maxPercent / 100, maxPercent + 1: 0, 1 << 31: 0} {
		if got := DecodeFindings([]*keelv1.TargetFinding{{Target: "r", SlowdownPercent: percent}})[0].Slowdown; got != want {
			t.Errorf("%d percent received as %v, want %v", percent, got, want)
		}
	}
	if got := encodePercent(0.001); got != 1 {
		t.Errorf("a ratio above 0 is sent as %d percent, which means none", got)
	}
}
