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

// peerExchange tells the other nodes, many times a second and by datagrams, what this
// one sends where and what it learnt, and takes what they tell. A choice is as
// good as what it knows of the prompts that wait at each target, which changes
// within tens of milliseconds; a call by HTTP each time costs a small machine
// ten times as much. Nothing rests on a peerExchange: a lost one leaves the one before
// it in force, and without any each node goes by what it sees itself.
type peerExchange struct {
	name  string
	fleet *fleet.Fleet
	table *poison.Table
	view  *view
	log   logrus.FieldLogger
	wake  chan struct{}
	conn  *net.UDPConn
	// write sends a datagram; one that can't be sent is like one that is lost.
	write func(datagram []byte, to netip.AddrPort)
	// enginesSentAt is when what was observed of engines was told last.
	enginesSentAt time.Time
	relay         groupRelay
	// contacts are the processes of the group and when each was heard last; receive alone
	// uses it.
	contacts map[string]peerContact
	watch    watchShare
	// knownExtra are those told aside at the last pulse; only the goroutine that sends uses
	// it.
	knownExtra map[string]bool
	// sendNamingsUntil is until when namings of weights are told, by the clock's nanoseconds.
	sendNamingsUntil atomic.Int64
}

func newPeerExchange(name string, f *fleet.Fleet, t *poison.Table, v *view, log logrus.FieldLogger) *peerExchange {
	p := &peerExchange{name: name, fleet: f, table: t, view: v, contacts: map[string]peerContact{}, log: log, wake: make(chan struct{}, 1)}
	p.watch = newWatchShare(prefix.NameHash(name))
	return p
}

// Figures of the pulse.
const (
	// minUpdateInterval is the pause between two pulses, and pulsePerPeer stretches it
	// where there are many: a node then sends and gets about 200 datagrams a
	// second, 60 to 100 KB/s, however many there are.
	minUpdateInterval = 50 * time.Millisecond
	intervalPerPeer   = 5 * time.Millisecond
	// intervalPerPeerGrouped takes its place where there are other groups: most of the load is
	// then known by their digests, and the datagrams are better spent on these.
	intervalPerPeerGrouped = 8 * time.Millisecond
	// engineInterval is how often what was observed of engines is told: what a
	// process observed in half a second changes little of what all know.
	engineInterval = 500 * time.Millisecond
	// updateBatchDelay is how long news that is to go out at once waits for more.
	updateBatchDelay = 20 * time.Millisecond
	// maxLoads is how many targets a pulse names: about as many fit one packet,
	// at 33 bytes each where all figures are there and ids have 12 letters.
	maxLoads = 44
	// maxDatagramBytes bounds a datagram that is read: the most that UDP carries.
	maxDatagramBytes = 64 << 10
)

// updateInterval returns the pause after a pulse that was told to so many beside the peers.
func updateInterval(plan peering.Plan, extra int) time.Duration {
	perPeer := intervalPerPeer
	if plan.GroupCount > 1 {
		perPeer = intervalPerPeerGrouped
	}
	return max(minUpdateInterval, time.Duration(len(plan.Peers)+extra)*perPeer)
}

// sendSoon makes the next pulse go out at once.
func (p *peerExchange) sendSoon() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// listen opens the socket.
func (p *peerExchange) listen(address string) error {
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
func (p *peerExchange) address() string {
	return p.conn.LocalAddr().String()
}

// run sends and receives until ctx ends.
func (p *peerExchange) run(ctx context.Context) {
	go p.receive()
	defer p.conn.Close()
	for ctx.Err() == nil {
		plan := p.view.plan()
		extra := p.send(plan)
		select {
		case <-time.After(updateInterval(plan, extra)):
		case <-p.wake:
			// What comes together goes out together.
			time.Sleep(updateBatchDelay)
		case <-ctx.Done():
		}
	}
}

// send tells the peers what there is to tell, and the other groups where it is this
// node's turn. It returns how many it told aside.
func (p *peerExchange) send(plan peering.Plan) int {
	now := time.Now()
	extra := p.view.extraRecipients(now)
	p.resendToNewRecipients(extra, now)
	// News is taken also where nobody is told, or it would pile up.
	all := p.collectUpdate(now)
	sent := p.sendExtra(all, extra, plan.Joined)
	p.relay.addOwn(plan, all)
	// A confirmation is taken before the changes and told after them: its revision is
	// one whose changes have been told.
	all.StoreView = p.storeView()
	changes := p.watch.takeChanges()
	if len(plan.Peers) > 0 {
		addresses := addressesOf(plan.Peers)
		p.sendChanges(changes, addresses)
		all.SentAt = clock.Now()
		p.sendUpdate(all, nil, addresses)
	}
	for _, l := range p.relay.dueLinks(plan, time.Now()) {
		p.sendUpdate(p.groupUpdate(l), l.header(plan), l.addresses)
	}
	return sent
}

// sendUpdate sends news to addresses; group is set where it is that of a whole group.
func (p *peerExchange) sendUpdate(all pulses.Update, group *keelv1.GroupNews, addresses []string) int {
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

func (p *peerExchange) sendTo(addresses []string, datagram []byte) {
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

// collectUpdate takes what there is to tell now.
func (p *peerExchange) collectUpdate(now time.Time) pulses.Update {
	all := pulses.Update{Loads: p.fleet.LocalOccupancy(maxLoads), Findings: p.fleet.TargetUpdates(now), Caches: p.fleet.CacheUpdates(now), Saves: p.fleet.Saves(), Suspects: p.table.NextReports(now)}
	if now.Sub(p.enginesSentAt) >= engineInterval {
		all.Engines, p.enginesSentAt = p.fleet.EngineReports(now), now
	}
	if p.fleet.Disabled(policy.LoadSharing) {
		all.Loads = nil
	}
	all.Limits, all.TargetLimits = p.view.customerLimiter.PeerUpdate(now), p.view.targetLimiter.PeerUpdate(now)
	if int64(clock.Now()) < p.sendNamingsUntil.Load() {
		all.Namings = p.namings(now)
	}
	return all
}

func (p *peerExchange) receive() {
	buffer := make([]byte, maxDatagramBytes)
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
		p.handle(buffer[:n], from)
	}
}

func (p *peerExchange) handle(datagram []byte, from netip.AddrPort) {
	var message keelv1.Pulse
	if err := proto.Unmarshal(datagram, &message); err != nil {
		p.log.WithError(err).WithField("event", "pulse_unread").Warn("a datagram is no pulse; it is left out")
		return
	}
	if message.Group != nil {
		p.receiveGroup(&message)
		return
	}
	now := time.Now()
	p.relay.memberSeen(message.Sender, now)
	p.noteContact(message.Sender, from, now)
	if message.WholeLoad {
		p.fleet.MergeOccupancy(message.Sender, pulses.DecodeLoads(message.Loads), now)
	}
	p.receiveLimits(&message, now)
	p.receiveStore(&message)
	p.receiveNamings(&message, now)
	p.relay.addPending(pulses.Update{
		Findings: p.receiveFindings(&message, now),
		Caches:   p.fleet.MergeCacheUpdates(message.Sender, pulses.DecodeCaches(message.Caches), now),
		Saves:    p.receiveSaves(&message, now),
		Suspects: p.receiveSuspects(&message, now),
	})
	p.fleet.MergeEngineReports(message.Sender, pulses.DecodeEngines(message.Engines), now)
}

// Figures of meetings.
const (
	// contactRetention is for how long a process that is not heard is remembered: far longer than a
	// choked link keeps its pulses away, so that these do not make it a new one.
	contactRetention = time.Minute
	// replyInterval is how often one that is not told yet is answered if nothing changed: 24
	// of a group do so, a kilobyte each.
	replyInterval = 250 * time.Millisecond
	// namingsResendPeriod is for how long namings are told once a process that has just started
	// was heard: some pulses, of which a few may be lost.
	namingsResendPeriod = time.Second
)

// peerContact is when a process was heard last and when it was answered, with what version
// of what is held against contents.
type peerContact struct {
	lastSeen, repliedAt time.Time
	version             int
}

// noteContact has a process that has just started be told of what is held against contents. It
// serves as soon as it has its configuration, and tells the others, but these tell it
// nothing until the store has told them of it, up to half a second later. A request that
// ends targets ended two more in that time, so it is answered directly.
func (p *peerExchange) noteContact(name string, from netip.AddrPort, now time.Time) {
	m, known := p.contacts[name]
	if !known {
		p.resendState(now)
	}
	m.lastSeen = now
	version := p.table.Version()
	if due := version != m.version || now.Sub(m.repliedAt) >= replyInterval; due && p.reply(name, from, now) {
		m.repliedAt, m.version = now, version
	}
	p.contacts[name] = m
	maps.DeleteFunc(p.contacts, func(_ string, m peerContact) bool { return now.Sub(m.lastSeen) > contactRetention })
}

// resendState has what is held against contents, and namings, told once more, for a process
// that is heard or seen for the first time.
func (p *peerExchange) resendState(now time.Time) {
	p.table.ScheduleResend(now)
	p.sendNamingsUntil.Store(int64(clock.Now().Add(namingsResendPeriod)))
}

// reply tells a process that is not among those that this one tells, and reports whether
// there was anything to tell.
func (p *peerExchange) reply(name string, to netip.AddrPort, now time.Time) bool {
	held, namings := p.table.BootstrapReports(now), pulses.EncodeNamings(p.namings(now))
	limits, targets := p.view.customerLimiter.FullUpdate(now), p.view.targetLimiter.FullUpdate(now)
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
func (p *peerExchange) namings(now time.Time) []fleet.DesiredVersion {
	return p.fleet.DesiredHistory(p.view.oldWeightsLimit, now)
}

// namingsLag is how old a word on namings may be beside what it says.
const namingsLag = 100 * time.Millisecond

func (p *peerExchange) receiveNamings(message *keelv1.Pulse, now time.Time) {
	for _, n := range p.fleet.MergeDesiredHistory(pulses.DecodeNamings(message.Namings), now.Add(-namingsLag)) {
		p.log.WithFields(logrus.Fields{"event": "namings_heard", "from": message.Sender, "model": n.Model, "weights": n.Version, "age_ms": n.Age.Milliseconds()}).Info("another entry tells since when the weights are wanted")
	}
}

func (p *peerExchange) receiveFindings(message *keelv1.Pulse, now time.Time) []fleet.TargetUpdate {
	all := pulses.DecodeFindings(message.Findings)
	p.logTargetReports(p.fleet.MergeTargetUpdates(all, now), message.Sender)
	return all
}

func (p *peerExchange) receiveSuspects(message *keelv1.Pulse, now time.Time) []poison.Report {
	all := pulses.DecodeSuspects(message.Suspects)
	p.table.ApplyReports(all, now)
	return all
}

func (p *peerExchange) receiveSaves(message *keelv1.Pulse, now time.Time) []fleet.Saves {
	all := pulses.DecodeSaves(message.Saves)
	p.fleet.MergeSaves(all, now)
	return all
}

// exchangeAddress is where the node hears its peers: the first of the ports that
// the platform leaves to the system's own messages.
func (n *Node) exchangeAddress() string {
	port := 0
	if len(n.settings.Ports) > 0 {
		port = n.settings.Ports[0]
	}
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(port))
}
