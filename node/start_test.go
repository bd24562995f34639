package node

import (
	"io"
	"net"
	"strconv"
	"testing"

	"github.com/sirupsen/logrus"

	"acaciakeel/platform"
)

// A port is taken by another process, so that the node can't start and its process
// ends. Its front door was open by then: clients connected, sent, and lost both.
func TestTakenPortLeavesTheFrontClosed(t *testing.T) {
	stream, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stream.Close() })
	datagrams, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { datagrams.Close() })
	taken := stream.Addr().String()
	for name, take := range map[string]func(*platform.NodeSettings, *Options){
		"ready":   func(s *platform.NodeSettings, _ *Options) { s.Listen.Ready = taken },
		"metrics": func(_ *platform.NodeSettings, o *Options) { o.MetricsPort = port(t, taken) },
		"pulse":   func(s *platform.NodeSettings, _ *Options) { s.Ports = []int{port(t, datagrams.LocalAddr().String())} },
	} {
		t.Run(name, func(t *testing.T) {
			settings := platform.NodeSettings{
				Name: "n", IP: "127.0.0.1", Ports: []int{0}, Listen: platform.Listen{Front: "127.0.0.1:0", Ready: "127.0.0.1:0"},
				Store: platform.StoreConfig{Address: "127.0.0.1:1"},
			}
			var options Options
			take(&settings, &options)
			log := logrus.New()
			log.SetOutput(io.Discard)
			n := New(settings, options, log)
			if err := n.Start(); err == nil {
				n.cancel()
				t.Fatal("the node started with a port taken")
			}
			if n.doors.front != nil {
				t.Errorf("the front is open at %s", n.FrontAddress())
			}
		})
	}
}

func port(t *testing.T, address string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
