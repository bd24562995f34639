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

// Two entries choose among the same runners. What one sends, the other must know
// within a moment, or both put prompts behind each other at the same runner while
// others are idle; and it must hear of the end as well.
func TestLoadIsToldToTheOthers(t *testing.T) {
	w := newWorld(t)
	second := w.startNode("n1")
	for _, r := range w.runners {
		r.SetPace(200 * time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			w.send("POST", "/draft/x", "", prompt())
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

// An entry hears of a runner's new life. The next datagrams that it sends must
// tell the others, whose lists are late; and what one that has heard nothing yet
// still tells of the former life must change nothing there.
func TestLivesAreTold(t *testing.T) {
	shared := prefix.Chain{Tokens: 900, Boundaries: []prefix.Boundary{{Hash: 1, Tokens: 400}, {Hash: 2, Tokens: 900}}}
	start := func() (*peerExchange, *fleet.Fleet) {
		f := fleet.New("z")
		f.Put(fleet.Target{ID: "r", Born: 10, Service: "lm", Address: "r:1", Weights: map[string]int64{model: 1}})
		f.Begin(fleet.Instance{ID: "r", Born: 10}, fleet.RequestLoad{Chain: shared, UncachedTokens: 900}, time.Now())
		return newPeerExchange("n", f, poison.New(nil), &view{customerLimiter: testBook(), targetLimiter: testBook()}, nil), f
	}
	tell := func(from, to *peerExchange) {
		datagrams, err := from.collectUpdate(time.Now()).Datagrams("from", nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range datagrams {
			to.handle(d, netip.AddrPort{})
		}
	}
	knows, known := start()
	late, told := start()
	life := fleet.Instance{ID: "r", Born: 20}
	known.Observe(life)
	tell(late, knows)
	if load := known.Occupancy(life); load.Inflight != 0 || load.PrefillTokens != 0 {
		t.Errorf("the former life's load %+v was taken for the new one's", load)
	}
	tell(knows, late)
	if !told.IsCurrent(life) || told.Occupancy(life).Inflight != 0 {
		t.Errorf("after one round the other holds %+v with load %+v", told.Targets("lm"), told.Occupancy(life))
	}
	caches := []fleet.CacheUpdate{{Address: "r:1", Target: life, Boot: 2, Next: 3}}
	if got := pulses.DecodeCaches(pulses.EncodeCaches(caches)); len(got) != 1 || got[0].Target != life {
		t.Errorf("%+v arrived, want the life %+v", got, life)
	}
}

// Anything may arrive at a port. Bytes that are no pulse are left out, and one
// of a target that is not known changes nothing.
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
		p := newPeerExchange("n", fleet.New("z"), poison.New(nil), &view{customerLimiter: testBook(), targetLimiter: testBook()}, log)
		p.handle(datagram, netip.AddrPort{})
		if n := len(p.fleet.IDs()); n != 0 {
			t.Errorf("a pulse made %d targets", n)
		}
	})
}

// Many parts are read within one pulse, after new weights. No datagram may grow
// over a packet, where one lost piece loses all of it, and nothing may be missing.
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

// A node is alone. It tells nobody, and what it would have told must not pile up
// in its memory over days.
func TestAloneNothingPilesUp(t *testing.T) {
	f := fleet.New("z")
	f.Put(fleet.Target{ID: "r", Service: "lm", Address: "r:1", Weights: map[string]int64{model: 1}})
	parts := []prefix.Boundary{{Hash: 1, Tokens: 400}, {Hash: 2, Tokens: 900}}
	f.Begin(fleet.Instance{ID: "r"}, fleet.RequestLoad{Chain: prefix.Chain{Tokens: 900, Boundaries: parts}}, time.Now())
	p := newPeerExchange("n", f, poison.New(nil), &view{customerLimiter: testBook(), targetLimiter: testBook()}, nil)
	p.send(peering.Plan{})
	if n := len(f.TargetUpdates(time.Now())); n != 0 {
		t.Errorf("%d findings are kept for nobody", n)
	}
}

// What an entry observed of engines arrives as it was told, to the digits that a
// float32 has; a word of another shape, as of a later version, is left out.
func TestWordsOfEnginesArrive(t *testing.T) {
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
		t.Errorf("%+v arrived of a word of another shape", got)
	}
}
