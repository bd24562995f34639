package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// pulse tells the other nodes, many times a second and by datagrams, what this
// one sends where and what it learnt, and takes what they tell. A choice is as
// good as what it knows of the prompts that wait at each target, which changes
// within tens of milliseconds; a call by HTTP each time costs a small machine
// ten times as much. Nothing rests on a pulse: a lost one leaves the one before
// it in force, and without any each node goes by what it sees itself.
type pulse struct {
	name  string
	fleet *fleet.Fleet
	view  *view
	log   logrus.FieldLogger
	now   chan struct{}
	conn  *net.UDPConn
	// toldEngines is when what was observed of engines was told last.
	toldEngines time.Time
}

func newPulse(name string, f *fleet.Fleet, v *view, log logrus.FieldLogger) *pulse {
	return &pulse{name: name, fleet: f, view: v, log: log, now: make(chan struct{}, 1)}
}

// Figures of the pulse.
const (
	// pulseEvery is the pause between two pulses, and pulsePerPeer stretches it
	// where there are many: a node then sends and gets about 200 datagrams a
	// second, 60 to 100 KB/s, however many there are.
	pulseEvery   = 50 * time.Millisecond
	pulsePerPeer = 5 * time.Millisecond
	// pulseSlow is the pause in fleets so large that each node hears of a small
	// part of the others only.
	pulseSlow = time.Second
	// enginesEvery is how often what was observed of engines is told: what a
	// process observed in half a second changes little of what all know.
	enginesEvery = 500 * time.Millisecond
	// pulseGather is how long news that is to go out at once waits for more.
	pulseGather = 20 * time.Millisecond
	// pulseLoads is how many targets a pulse names: about as many fit one packet,
	// at 33 bytes each where all figures are there and ids have 12 letters.
	pulseLoads = 44
	// pulseBytes bounds a datagram that is read: the most that UDP carries.
	pulseBytes = 64 << 10
	// peersMost is how many peers a node tells: all of them in fleets of today. In
	// larger ones the cost of a node is bounded, and each hears of about as many.
	peersMost = 24
	// peersFar is how many where pulses are slow: with the 900 bytes of a node
	// with 13 requests a second these make 11 KB/s, under the 12 KB/s that control
	// may take.
	peersFar = 12
)

// told returns the peers that a node tells, the same ones as long as they are
// there, so that each hears the same nodes all the time.
func told(self string, peers []string) []string {
	most := peersMost
	if len(peers) > fleet.ReadersMost {
		most = peersFar
	}
	hash := prefix.NameHash(self)
	slices.SortFunc(peers, func(a, b string) int {
		return cmp.Compare(prefix.Score(prefix.NameHash(a), hash), prefix.Score(prefix.NameHash(b), hash))
	})
	return peers[:min(most, len(peers))]
}

// pulsePause returns the pause between two pulses of a node with so many peers.
func pulsePause(peers int) time.Duration {
	if peers > fleet.ReadersMost {
		return pulseSlow
	}
	return max(pulseEvery, time.Duration(peers)*pulsePerPeer)
}

// soon makes the next pulse go out at once.
func (p *pulse) soon() {
	select {
	case p.now <- struct{}{}:
	default:
	}
}

// listen opens the socket.
func (p *pulse) listen(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("listen for datagrams: %w; mend ip and port_range of the settings", err)
	}
	p.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("listen for datagrams: %w; another process may hold the port", err)
	}
	return nil
}

// address returns where the others send to.
func (p *pulse) address() string {
	return p.conn.LocalAddr().String()
}

// run sends and receives until ctx ends.
func (p *pulse) run(ctx context.Context) {
	go p.receive()
	defer p.conn.Close()
	for ctx.Err() == nil {
		peers := p.view.peers()
		p.send(told(p.name, peers))
		select {
		case <-time.After(pulsePause(len(peers))):
		case <-p.now:
			// What comes together goes out together.
			time.Sleep(pulseGather)
		case <-ctx.Done():
		}
	}
}

func (p *pulse) send(peers []string) {
	// News is taken also where nobody is told, or it would pile up.
	all := p.gather(time.Now())
	if len(peers) == 0 {
		return
	}
	datagrams, err := all.datagrams(p.name)
	if err != nil {
		p.log.WithError(err).WithField("event", "pulse_failed").Error("the others choose without this node's news")
		return
	}
	for _, peer := range peers {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			p.log.WithError(err).WithFields(logrus.Fields{"event": "peer_unread", "peer": peer}).Warn("the address of a member can't be read; it is left out")
			continue
		}
		for _, datagram := range datagrams {
			// A datagram that can't be sent is like one that is lost: the next says more.
			_, _ = p.conn.WriteToUDPAddrPort(datagram, address)
		}
	}
}

// gather takes what there is to tell now.
func (p *pulse) gather(now time.Time) news {
	all := news{loads: p.fleet.Occupied(pulseLoads), findings: p.fleet.Findings(now), caches: p.fleet.News(now), saves: p.fleet.Saves()}
	if now.Sub(p.toldEngines) >= enginesEvery {
		all.engines, p.toldEngines = p.fleet.Words(), now
	}
	if p.fleet.Off(policy.Telling) {
		all.loads = nil
	}
	return all
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
	var message keelv1.Pulse
	if err := proto.Unmarshal(datagram, &message); err != nil {
		p.log.WithError(err).WithField("event", "pulse_unread").Warn("a datagram is no pulse; it is left out")
		return
	}
	now := time.Now()
	if message.WholeLoad {
		p.fleet.HeardLoad(message.Sender, decodeLoads(message.Loads), now)
	}
	p.fleet.HeardFindings(decodeFindings(message.Findings), now)
	p.fleet.HeardCaches(message.Sender, decodeCaches(message.Caches), now)
	p.fleet.HeardSaves(decodeSaves(message.Saves), now)
	p.fleet.HeardWords(message.Sender, decodeWords(message.Engines), now)
}

// pulseAddress is where the node hears its peers: the first of the ports that
// the platform leaves to the system's own messages.
func (n *Node) pulseAddress() string {
	port := 0
	if len(n.settings.Ports) > 0 {
		port = n.settings.Ports[0]
	}
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(port))
}
