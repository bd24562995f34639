package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
)

// pulse tells the other nodes, many times a second and by datagrams, this one's
// part of the targets' load, and takes theirs. A choice is as good as what it
// knows of the prompts that wait at each target, which changes within tens of
// milliseconds; a call by HTTP each time costs a small machine ten times as
// much. A datagram that is lost leaves the one before it in force.
type pulse struct {
	name  string
	fleet *fleet.Fleet
	view  *view
	log   logrus.FieldLogger
	conn  *net.UDPConn
}

// Figures of the pulse.
const (
	// pulseEvery is the pause between two pulses, and pulsePerPeer stretches it
	// where there are many: a node then sends and gets about 200 datagrams a
	// second, 60 KB/s, however many there are.
	pulseEvery   = 50 * time.Millisecond
	pulsePerPeer = 5 * time.Millisecond
	// pulseLoads is how many targets a pulse names: about as many fit one packet.
	pulseLoads = 56
	// pulseBytes bounds a datagram that is read.
	pulseBytes = 4 << 10
)

// listenPulse opens the socket of pulses beside the peers' door: same address,
// same number of port.
func (n *Node) listenPulse() (*pulse, error) {
	address, err := netip.ParseAddrPort(n.doors.peers.address)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w; another process may hold the port", err)
	}
	return &pulse{name: n.name, fleet: n.view.fleet, view: n.view, log: n.log, conn: conn}, nil
}

// run sends until ctx ends, which also ends the receiving.
func (p *pulse) run(ctx context.Context) {
	go p.receive()
	defer p.conn.Close()
	for ctx.Err() == nil {
		peers := told(p.name, p.view.peers())
		p.send(peers)
		select {
		case <-time.After(max(pulseEvery, time.Duration(len(peers))*pulsePerPeer)):
		case <-ctx.Done():
		}
	}
}

func (p *pulse) send(peers []string) {
	if len(peers) == 0 {
		return
	}
	message := &keelv1.LoadPulse{Sender: p.name, Loads: encodeLoads(p.fleet.Occupied(pulseLoads))}
	datagram, err := proto.Marshal(message)
	if err != nil {
		p.log.WithError(err).WithField("event", "pulse_failed").Error("the load could not be encoded; the others do without it")
		return
	}
	for _, url := range peers {
		address, err := netip.ParseAddrPort(strings.TrimPrefix(url, "http://"))
		if err != nil {
			continue
		}
		// A datagram that can't be sent is like one that is lost: the next says more.
		_, _ = p.conn.WriteToUDPAddrPort(datagram, address)
	}
}

func (p *pulse) receive() {
	buffer := make([]byte, pulseBytes)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Loopback reports a peer without a socket as an error of the next
			// reading, which says nothing of this socket.
			continue
		}
		p.take(buffer[:n])
	}
}

func (p *pulse) take(datagram []byte) {
	var message keelv1.LoadPulse
	if err := proto.Unmarshal(datagram, &message); err != nil {
		p.log.WithError(err).WithField("event", "pulse_unread").Warn("a datagram is no pulse; it is left out")
		return
	}
	p.fleet.HeardLoad(message.Sender, decodeLoads(message.Loads), time.Now())
}

func encodeLoads(all []fleet.Occupancy) []*keelv1.TargetLoad {
	out := make([]*keelv1.TargetLoad, 0, len(all))
	for _, o := range all {
		out = append(out, &keelv1.TargetLoad{
			Target: o.Target, Inflight: uint32(o.Inflight), Long: uint32(o.Long), PrefillTokens: uint32(max(0, o.Prefill)),
		})
	}
	return out
}

func decodeLoads(all []*keelv1.TargetLoad) []fleet.Occupancy {
	out := make([]fleet.Occupancy, 0, len(all))
	for _, w := range all {
		out = append(out, fleet.Occupancy{
			Target: w.Target, Inflight: int(w.Inflight), Long: int(w.Long), Prefill: int(w.PrefillTokens),
		})
	}
	return out
}
