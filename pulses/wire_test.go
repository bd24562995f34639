package pulses

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
)

func classedLoad(id string, classes ...fleet.ClassLoad) fleet.Occupancy {
	o := fleet.Occupancy{Target: fleet.Instance{ID: id, Born: 1_700_000_000_000}}
	for i, c := range classes {
		o.Classes[i] = c
		o.Inflight, o.PrefillTokens, o.HeldTokens = o.Inflight+c.Inflight, o.PrefillTokens+c.PrefillTokens, o.HeldTokens+c.HeldTokens
	}
	return o
}

// Guards against load by class that is lost or assigned to another target on its way, and
// against datagrams of deployments with one class that grow.
func TestLoadsByClassRoundTrip(t *testing.T) {
	loads := []fleet.Occupancy{
		classedLoad("a", fleet.ClassLoad{Inflight: 2, PrefillTokens: 30, HeldTokens: 400}, fleet.ClassLoad{}, fleet.ClassLoad{Inflight: 5, PrefillTokens: 60, HeldTokens: 700}),
		classedLoad("b", fleet.ClassLoad{}, fleet.ClassLoad{}, fleet.ClassLoad{}, fleet.ClassLoad{Inflight: 1, PrefillTokens: 1, HeldTokens: 1}),
	}
	if got := DecodeLoads(encodeLoads(loads)); !slices.Equal(got, loads) {
		t.Errorf("%+v arrived, want %+v", got, loads)
	}
	g := &keelv1.GroupNews{}
	addGroupLoads(g, loads)
	if got := DecodeGroupLoads(g); !slices.Equal(got, loads) {
		t.Errorf("%+v arrived in a digest, want %+v", got, loads)
	}
	urgent := classedLoad("c", fleet.ClassLoad{Inflight: 2, PrefillTokens: 30, HeldTokens: 400})
	if w := encodeLoads([]fleet.Occupancy{urgent})[0]; len(w.ClassInflight)+len(w.ClassPrefillTokens)+len(w.ClassHeld) != 0 {
		t.Errorf("load of the most urgent class alone is sent as %v", w)
	}
}

// Guards against a digest whose datagrams exceed one packet once loads have classes.
func TestDigestWithClassesFitsPackets(t *testing.T) {
	var loads []fleet.Occupancy
	for i := range 300 {
		c := fleet.ClassLoad{Inflight: 40, PrefillTokens: 90_000, HeldTokens: 100_000}
		loads = append(loads, classedLoad(string(rune('a'+i%26))+"-0123456789", c, c, c, c))
	}
	datagrams, err := Update{Loads: loads}.Datagrams("sender/0123456789", &keelv1.GroupNews{Group: 1, Groups: 2})
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	for _, d := range datagrams {
		if len(d) > 1472 {
			t.Errorf("datagram of %d bytes", len(d))
		}
		m := &keelv1.Pulse{}
		if err := proto.Unmarshal(d, m); err != nil {
			t.Fatal(err)
		}
		got += len(DecodeGroupLoads(m.Group))
	}
	if got != len(loads) {
		t.Errorf("%d loads arrived, want %d", got, len(loads))
	}
}

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
