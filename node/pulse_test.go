package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
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
			all, _ := second.view.fleet.Inflight(r)
			sum += all
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

// Anything may arrive at a port. Bytes that are no pulse are left out, and one
// of a target that is not known changes nothing.
func FuzzPulse(f *testing.F) {
	good, err := proto.Marshal(&keelv1.LoadPulse{Sender: "n", Loads: []*keelv1.TargetLoad{{Target: "r", Inflight: 3, PrefillTokens: 9}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("no pulse"))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		p := &pulse{fleet: fleet.New("z"), log: log}
		p.take(datagram)
		if n := len(p.fleet.IDs()); n != 0 {
			t.Errorf("a pulse made %d targets", n)
		}
	})
}
