package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/clock"
	"acaciakeel/fleet"
	"acaciakeel/peering"
	"acaciakeel/poison"
	"acaciakeel/policy"
	"acaciakeel/prefix"
	"acaciakeel/pulses"
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
	table *poison.Table
	view  *view
	log   logrus.FieldLogger
	now   chan struct{}
	conn  *net.UDPConn
	// write sends a datagram; one that can't be sent is like one that is lost.
	write func(datagram []byte, to netip.AddrPort)
	// toldEngines is when what was observed of engines was told last.
	toldEngines time.Time
	digest      digest
	// met are the processes of the group and when each was heard last; receive alone
	// uses it.
	met   map[string]meeting
	watch watchShare
	// asideMet are those told aside at the last pulse; only the goroutine that sends uses
	// it.
	asideMet map[string]bool
	// tellNamings is until when namings of weights are told, by the clock's nanoseconds.
	tellNamings atomic.Int64
}

func newPulse(name string, f *fleet.Fleet, t *poison.Table, v *view, log logrus.FieldLogger) *pulse {
	p := &pulse{name: name, fleet: f, table: t, view: v, met: map[string]meeting{}, log: log, now: make(chan struct{}, 1)}
	p.watch = newWatchShare(prefix.NameHash(name))
	return p
}

// Figures of the pulse.
const (
	// pulseEvery is the pause between two pulses, and pulsePerPeer stretches it
	// where there are many: a node then sends and gets about 200 datagrams a
	// second, 60 to 100 KB/s, however many there are.
	pulseEvery   = 50 * time.Millisecond
	pulsePerPeer = 5 * time.Millisecond
	// pulsePerFar takes its place where there are other groups: most of the load is
	// then known by their digests, and the datagrams are better spent on these.
	pulsePerFar = 8 * time.Millisecond
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
)

// pulsePause returns the pause after a pulse that was told to so many beside the peers.
func pulsePause(plan peering.Plan, aside int) time.Duration {
	each := pulsePerPeer
	if plan.GroupCount > 1 {
		each = pulsePerFar
	}
	return max(pulseEvery, time.Duration(len(plan.Peers)+aside)*each)
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
	p.write = func(datagram []byte, to netip.AddrPort) { _, _ = p.conn.WriteToUDPAddrPort(datagram, to) }
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
		plan := p.view.plan()
		told := p.send(plan)
		select {
		case <-time.After(pulsePause(plan, told)):
		case <-p.now:
			// What comes together goes out together.
			time.Sleep(pulseGather)
		case <-ctx.Done():
		}
	}
}

// send tells the peers what there is to tell, and the other groups where it is this
// node's turn. It returns how many it told aside.
func (p *pulse) send(plan peering.Plan) int {
	now := time.Now()
	aside := p.view.aside(now)
	p.meetAside(aside, now)
	// News is taken also where nobody is told, or it would pile up.
	all := p.gather(now)
	told := p.tellAside(all, aside, plan.Joined)
	p.digest.collect(plan, all)
	// A confirmation is taken before the changes and told after them: its revision is
	// one whose changes have been told.
	all.StoreView = p.storeView()
	changes := p.watch.takeChanges()
	if len(plan.Peers) > 0 {
		addresses := addressesOf(plan.Peers)
		p.tellChanges(changes, addresses)
		all.SentAt = clock.Now()
		p.spread(all, nil, addresses)
	}
	for _, l := range p.digest.due(plan, time.Now()) {
		p.spread(p.groupNews(l), l.label(plan), l.far)
	}
	return told
}

// spread sends news to addresses; group is set where it is that of a whole group.
func (p *pulse) spread(all pulses.Update, group *keelv1.GroupNews, addresses []string) int {
	datagrams, err := all.Datagrams(p.name, group)
	if err != nil {
		p.log.WithError(err).WithField("event", "pulse_failed").Error("the others choose without this node's news")
		return 0
	}
	size := 0
	for _, datagram := range datagrams {
		size += len(datagram)
		p.sendTo(addresses, datagram)
	}
	return size
}

func (p *pulse) sendTo(addresses []string, datagram []byte) {
	for _, peer := range addresses {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			p.log.WithError(err).WithFields(logrus.Fields{"event": "peer_unread", "peer": peer}).Warn("the address of a member can't be read; it is left out")
			continue
		}
		p.write(datagram, address)
	}
}

func addressesOf(members []peering.Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Address
	}
	return out
}

// gather takes what there is to tell now.
func (p *pulse) gather(now time.Time) pulses.Update {
	all := pulses.Update{Loads: p.fleet.LocalOccupancy(pulseLoads), Findings: p.fleet.TargetUpdates(now), Caches: p.fleet.CacheUpdates(now), Saves: p.fleet.Saves(), Suspects: p.table.NextReports(now)}
	if now.Sub(p.toldEngines) >= enginesEvery {
		all.Engines, p.toldEngines = p.fleet.EngineReports(now), now
	}
	if p.fleet.Disabled(policy.LoadSharing) {
		all.Loads = nil
	}
	all.Limits, all.TargetLimits = p.view.limitBook.PeerUpdate(now), p.view.targetBook.PeerUpdate(now)
	if int64(clock.Now()) < p.tellNamings.Load() {
		all.Namings = p.namings(now)
	}
	return all
}

func (p *pulse) receive() {
	buffer := make([]byte, pulseBytes)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Loopback reports a peer without a socket as an error of the next
			// reading, which says nothing of this socket.
			continue
		}
		p.take(buffer[:n], from)
	}
}

func (p *pulse) take(datagram []byte, from netip.AddrPort) {
	var message keelv1.Pulse
	if err := proto.Unmarshal(datagram, &message); err != nil {
		p.log.WithError(err).WithField("event", "pulse_unread").Warn("a datagram is no pulse; it is left out")
		return
	}
	if message.Group != nil {
		p.takeGroup(&message)
		return
	}
	now := time.Now()
	p.digest.heard(message.Sender, now)
	p.meet(message.Sender, from, now)
	if message.WholeLoad {
		p.fleet.MergeOccupancy(message.Sender, pulses.DecodeLoads(message.Loads), now)
	}
	p.takeLimits(&message, now)
	p.takeStore(&message)
	p.heardNamings(&message, now)
	p.digest.keep(pulses.Update{
		Findings: p.heardFindings(&message, now),
		Caches:   p.fleet.MergeCacheUpdates(message.Sender, pulses.DecodeCaches(message.Caches), now),
		Saves:    p.heardSaves(&message, now),
		Suspects: p.heardSuspects(&message, now),
	})
	p.fleet.MergeEngineReports(message.Sender, pulses.DecodeEngines(message.Engines), now)
}

// Figures of meetings.
const (
	// metFor is for how long a process that is not heard is remembered: far longer than a
	// choked link keeps its pulses away, so that these do not make it a new one.
	metFor = time.Minute
	// answerEvery is how often one that is not told yet is answered if nothing changed: 24
	// of a group do so, a kilobyte each.
	answerEvery = 250 * time.Millisecond
	// namingsFor is for how long namings are told once a process that has just started
	// was heard: some pulses, of which a few may be lost.
	namingsFor = time.Second
)

// meeting is when a process was heard last and when it was answered, with what version
// of what is held against contents.
type meeting struct {
	heard, answered time.Time
	version         int
}

// meet has a process that has just started be told of what is held against contents. It
// serves as soon as it has its configuration, and tells the others, but these tell it
// nothing until the store has told them of it, up to half a second later. A request that
// ends targets ended two more in that time, so it is answered directly.
func (p *pulse) meet(name string, from netip.AddrPort, now time.Time) {
	m, known := p.met[name]
	if !known {
		p.retell(now)
	}
	m.heard = now
	version := p.table.Version()
	if due := version != m.version || now.Sub(m.answered) >= answerEvery; due && p.answer(name, from, now) {
		m.answered, m.version = now, version
	}
	p.met[name] = m
	maps.DeleteFunc(p.met, func(_ string, m meeting) bool { return now.Sub(m.heard) > metFor })
}

// retell has what is held against contents, and namings, told once more, for a process
// that is heard or seen for the first time.
func (p *pulse) retell(now time.Time) {
	p.table.ScheduleResend(now)
	p.tellNamings.Store(int64(clock.Now().Add(namingsFor)))
}

// answer tells a process that is not among those that this one tells, and reports whether
// there was anything to tell.
func (p *pulse) answer(name string, to netip.AddrPort, now time.Time) bool {
	held, namings := p.table.BootstrapReports(now), pulses.EncodeNamings(p.namings(now))
	limits, targets := p.view.limitBook.FullUpdate(now), p.view.targetBook.FullUpdate(now)
	if len(held)+len(namings)+len(limits.Reports)+len(targets.Reports) == 0 || p.view.plan().HasPeer(p.view.keys.members+name) {
		return false
	}
	messages := []*keelv1.Pulse{{Sender: p.name, Suspects: pulses.EncodeSuspects(held), Namings: namings}}
	for _, w := range pulses.EncodeLimits(limits) {
		messages = append(messages, &keelv1.Pulse{Sender: p.name, Limits: w})
	}
	for _, w := range pulses.EncodeLimits(targets) {
		messages = append(messages, &keelv1.Pulse{Sender: p.name, TargetLimits: w})
	}
	for _, message := range messages {
		datagram, err := pulses.Encode(message)
		if err != nil {
			p.log.WithError(err).WithField("event", "pulse_failed").Error("an entry that starts does not know of suspects, of limits, nor since when weights are wanted")
			return false
		}
		p.write(datagram, to)
	}
	return true
}

// namings returns what an entry that starts needs to know of namings.
func (p *pulse) namings(now time.Time) []fleet.DesiredVersion {
	return p.fleet.DesiredHistory(p.view.oldWeights, now)
}

// toldLag is how old a word on namings may be beside what it says.
const toldLag = 100 * time.Millisecond

func (p *pulse) heardNamings(message *keelv1.Pulse, now time.Time) {
	for _, n := range p.fleet.MergeDesiredHistory(pulses.DecodeNamings(message.Namings), now.Add(-toldLag)) {
		p.log.WithFields(logrus.Fields{"event": "namings_heard", "from": message.Sender, "model": n.Model, "weights": n.Version, "age_ms": n.Age.Milliseconds()}).Info("another entry tells since when the weights are wanted")
	}
}

func (p *pulse) heardFindings(message *keelv1.Pulse, now time.Time) []fleet.TargetUpdate {
	all := pulses.DecodeFindings(message.Findings)
	p.logHeard(p.fleet.MergeTargetUpdates(all, now), message.Sender)
	return all
}

func (p *pulse) heardSuspects(message *keelv1.Pulse, now time.Time) []poison.Report {
	all := pulses.DecodeSuspects(message.Suspects)
	p.table.ApplyReports(all, now)
	return all
}

func (p *pulse) heardSaves(message *keelv1.Pulse, now time.Time) []fleet.Saves {
	all := pulses.DecodeSaves(message.Saves)
	p.fleet.MergeSaves(all, now)
	return all
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
