package node

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
	"acaciakeel/forecast"
	"acaciakeel/peering"
	"acaciakeel/poison"
	"acaciakeel/prefix"
	"acaciakeel/pulses"
)

// Guards against two nodes that queue prompts behind each other at one runner while others are
// idle: each must learn of the other's requests, and of their end.
func TestLoadReachesOtherNodes(t *testing.T) {
	w := newEnv(t)
	second := w.startNode("n1")
	for _, r := range w.runners {
		r.SetPace(200 * time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			w.send("POST", "/draft/x", "", promptHeaders())
		}
	}()
	known := func() int {
		sum := 0
		for _, r := range second.view.fleet.IDs() {
			sum += second.view.fleet.Occupancy(fleet.Instance{ID: r}).Inflight
		}
		return sum
	}
	w.until("the second node knows of the first one's request", func() bool { return known() > 0 })
	cancel()
	for _, r := range w.runners {
		r.SetPace(0)
	}
	w.until("the second node knows that it has ended", func() bool { return known() == 0 })
}

// Guards against nodes whose lists are late and that keep load and cache of a runner's
// previous start, or apply them to the new one when they are reported late.
func TestRestartsArePropagated(t *testing.T) {
	shared := prefix.Chain{Tokens: 900, Boundaries: []prefix.Boundary{{Hash: 1, Tokens: 400}, {Hash: 2, Tokens: 900}}}
	start := func() (*peerExchange, *fleet.Fleet) {
		f := fleet.New("z")
		f.Put(fleet.Target{ID: "r", Born: 10, Service: "lm", Address: "r:1", Weights: map[string]int64{model: 1}})
		f.Begin(fleet.Instance{ID: "r", Born: 10}, fleet.RequestLoad{Chain: shared, UncachedTokens: 900}, time.Now())
		return newPeerExchange("n", f, poison.New(nil), &view{customerLimiter: testLimiter(), targetLimiter: testLimiter()}, nil), f
	}
	deliver := func(from, to *peerExchange) {
		datagrams, err := from.collectUpdate(time.Now()).Datagrams("from", nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range datagrams {
			to.handle(d, netip.AddrPort{})
		}
	}
	informed, informedFleet := start()
	late, lateFleet := start()
	restarted := fleet.Instance{ID: "r", Born: 20}
	informedFleet.Observe(restarted, time.Time{})
	deliver(late, informed)
	if load := informedFleet.Occupancy(restarted); load.Inflight != 0 || load.PrefillTokens != 0 {
		t.Errorf("the previous start's load %+v was counted for the new one", load)
	}
	deliver(informed, late)
	if !lateFleet.IsCurrent(restarted) || lateFleet.Occupancy(restarted).Inflight != 0 {
		t.Errorf("after one round the other node has %+v with load %+v", lateFleet.Targets("lm"), lateFleet.Occupancy(restarted))
	}
	caches := []fleet.CacheUpdate{{Address: "r:1", Target: restarted, Boot: 2, Next: 3}}
	if got := pulses.DecodeCaches(pulses.EncodeCaches(caches)); len(got) != 1 || got[0].Target != restarted {
		t.Errorf("%+v arrived, want the target %+v", got, restarted)
	}
}

// Datagrams that are no Pulse message are dropped; load of an unknown target changes nothing.
func FuzzPulse(f *testing.F) {
	good, err := proto.Marshal(&keelv1.Pulse{Sender: "n", WholeLoad: true, Loads: []*keelv1.TargetLoad{{Target: "r", Inflight: 3, PrefillTokens: 9}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("no pulse"))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		p := newPeerExchange("n", fleet.New("z"), poison.New(nil), &view{customerLimiter: testLimiter(), targetLimiter: testLimiter()}, log)
		p.handle(datagram, netip.AddrPort{})
		if n := len(p.fleet.IDs()); n != 0 {
			t.Errorf("a datagram added %d targets", n)
		}
	})
}

// Guards against datagrams larger than a packet, where the loss of one fragment loses all, and
// against data lost between them, when many parts are prefilled at once after new weights.
func TestPulseFitsPackets(t *testing.T) {
	var all pulses.Update
	for i := range 40 {
		all.Loads = append(all.Loads, fleet.Occupancy{Target: fleet.Instance{ID: fmt.Sprintf("i-%09d", i), Born: 1 << 40}, Inflight: 40, Long: 30, PrefillTokens: 20000})
		parts := make([]fleet.Part, 12)
		all.Findings = append(all.Findings, fleet.TargetUpdate{Target: fleet.Instance{ID: fmt.Sprintf("i-%09d", i), Born: 1 << 40}, Parts: parts})
		all.Caches = append(all.Caches, fleet.CacheUpdate{Address: fmt.Sprintf("10.0.0.%d:80", i), Target: fleet.Instance{ID: fmt.Sprintf("i-%09d", i), Born: 1 << 40}, Boot: 1, Next: 1 << 30, Stored: parts})
	}
	datagrams, err := all.Datagrams("node", nil)
	if err != nil {
		t.Fatal(err)
	}
	var sum keelv1.Pulse
	for i, d := range datagrams {
		if len(d) > 1400 {
			t.Errorf("datagram %d has %d bytes", i, len(d))
		}
		var one keelv1.Pulse
		if err := proto.Unmarshal(d, &one); err != nil {
			t.Fatal(err)
		}
		if one.WholeLoad != (i == 0) {
			t.Errorf("datagram %d claims whole load: %v", i, one.WholeLoad)
		}
		proto.Merge(&sum, &one)
	}
	if len(sum.Loads) != 40 || len(sum.Findings) != 40 || len(sum.Caches) != 40 {
		t.Errorf("%d loads, %d findings, %d caches arrive of 40 each", len(sum.Loads), len(sum.Findings), len(sum.Caches))
	}
}

// Guards against updates that accumulate in the memory of a node that has no peers.
func TestSingleNodeKeepsNoBacklog(t *testing.T) {
	f := fleet.New("z")
	f.Put(fleet.Target{ID: "r", Service: "lm", Address: "r:1", Weights: map[string]int64{model: 1}})
	parts := []prefix.Boundary{{Hash: 1, Tokens: 400}, {Hash: 2, Tokens: 900}}
	f.Begin(fleet.Instance{ID: "r"}, fleet.RequestLoad{Chain: prefix.Chain{Tokens: 900, Boundaries: parts}}, time.Now())
	p := newPeerExchange("n", f, poison.New(nil), &view{customerLimiter: testLimiter(), targetLimiter: testLimiter()}, nil)
	p.send(peering.Plan{})
	if n := len(f.TargetUpdates(time.Now())); n != 0 {
		t.Errorf("%d findings are kept without peers", n)
	}
}

// Guards against engine reports that change in encoding beyond the precision of a float32, and
// against accepting a report of another shape, as of a later version.
func TestEngineReportsRoundTrip(t *testing.T) {
	w := forecast.Report{
		Service:     "lm",
		SlotHold:    forecast.TimePerToken{Seconds: 12.5, Tokens: 4800},
		WeightLoads: forecast.WeightLoads{IdleDuration: 2100 * time.Millisecond, Samples: 7},
		OfferedLoad: forecast.OfferedLoad{Light: 0.5, Heavy: 4.25, HeavyRate: 12},
	}
	for i := range w.Sums.Cross {
		w.Sums.Cross[i] = float64(i) + 0.5
	}
	for i := range w.Sums.Right {
		w.Sums.Right[i] = float64(i) * 2
	}
	w.Sums.Weight = 40
	if got := pulses.DecodeEngines(pulses.EncodeEngines([]forecast.Report{w})); len(got) != 1 || got[0] != w {
		t.Errorf("%+v arrived, want %+v", got, w)
	}
	other := pulses.EncodeEngines([]forecast.Report{w})
	other[0].Right = other[0].Right[1:]
	if got := pulses.DecodeEngines(other); len(got) != 0 {
		t.Errorf("%+v arrived from a report of another shape", got)
	}
}
