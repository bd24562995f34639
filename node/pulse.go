package node

import (
	"context"
	"errors"
	"fmt"
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
	"acaciakeel/sharing"
)

// peerExchange sends this node's state to the other nodes in UDP datagrams many times a
// second, and receives theirs: the load it placed on each target and what it observed of them.
// The choice of a target depends on the prompts queued at each one, which change within tens
// of milliseconds; an HTTP call each time would cost a small machine ten times as much.
// Datagrams may be lost: the state received before then stays in force, and a node that
// receives nothing relies on its own observations.
type peerExchange struct {
	name  string
	fleet *fleet.Fleet
	table *poison.Table
	view  *view
	log   logrus.FieldLogger
	wake  chan struct{}
	conn  *net.UDPConn
	// write sends a datagram; a failed send is treated like a lost datagram.
	write func(datagram []byte, to netip.AddrPort)
	// updateBytes is the size of the last update for one peer; used by run only.
	updateBytes int
	// enginesSentAt is when engine reports were last sent.
	enginesSentAt time.Time
	relay         groupRelay
	// sharer decides who is admitted where targets' time is scarce.
	sharer *sharing.Sharer
	// demandSentAt is when the demand was last sent to the group, groupDemandSentAt when to
	// each other group.
	demandSentAt      time.Time
	groupDemandSentAt map[int]time.Time
	// contacts are the processes heard from recently, by name; used by receive only.
	contacts map[string]peerContact
	watch    watchShare
	origins  *streamOrigins
	// knownExtra are the keys of the extra recipients of the last update; used by the sending
	// goroutine only.
	knownExtra map[string]bool
	// sendDesiredUntil is the time until which updates include the desired weight versions, in
	// nanoseconds of package clock.
	sendDesiredUntil atomic.Int64
}

func newPeerExchange(name string, f *fleet.Fleet, t *poison.Table, v *view, log logrus.FieldLogger) *peerExchange {
	p := &peerExchange{name: name, fleet: f, table: t, view: v, contacts: map[string]peerContact{}, log: log, wake: make(chan struct{}, 1)}
	p.watch = newWatchShare(prefix.NameHash(name))
	p.groupDemandSentAt = map[int]time.Time{}
	p.origins = newStreamOrigins(p)
	v.origins = p.origins
	p.sharer = sharing.New(name, v.serving, prefix.NameHash, time.Now())
	return p
}

// Timing and size of updates.
const (
	// minUpdateInterval is the pause between two updates; intervalPerPeer lengthens it for
	// many peers. A node then sends and receives about 200 datagrams a second, 60 to 100 KB/s,
	// whatever the number of peers.
	minUpdateInterval = 50 * time.Millisecond
	intervalPerPeer   = 5 * time.Millisecond
	// intervalPerPeerGrouped replaces intervalPerPeer when there are other groups: most of the
	// load is then known from their digests, and the datagrams are better spent on those.
	intervalPerPeerGrouped = 8 * time.Millisecond
	// engineInterval is how often engine reports are sent: what one process observes in half a
	// second changes little of what all know.
	engineInterval = 500 * time.Millisecond
	// updateBatchDelay is how long an update that was requested at once waits for further
	// changes.
	updateBatchDelay = 20 * time.Millisecond
	// maxLoads is how many targets an update names: about as many as fit in one packet, at 33
	// bytes each when all figures are present and ids have 12 letters.
	maxLoads = 44
	// maxDatagramBytes is the size of the read buffer: the largest UDP payload.
	maxDatagramBytes = 64 << 10
)

// updateInterval returns the pause after an update that also went to a number of extra
// recipients.
func updateInterval(plan peering.Plan, extra int) time.Duration {
	perPeer := intervalPerPeer
	if plan.GroupCount > 1 {
		perPeer = intervalPerPeerGrouped
	}
	return max(minUpdateInterval, time.Duration(len(plan.Peers)+extra)*perPeer)
}

// maxLinkPause bounds the pause for a slow link: peers count a node as silent after
// relayTimeout.
const maxLinkPause = relayTimeout / 2

// linkPause returns the pause after an update with which updates take at most digestLinkShare
// of a slow link. On a link of 10 Mbit/s they took half of it under load, and responses of
// targets were hundreds of milliseconds late.
func (p *peerExchange) linkPause(plan peering.Plan) time.Duration {
	if plan.LinkMbps <= 0 || plan.LinkMbps >= peering.DefaultLinkMbps {
		return 0
	}
	bytes := float64(p.updateBytes * len(plan.Peers))
	return min(maxLinkPause, time.Duration(bytes/bytesPerSecond(plan.LinkMbps)*float64(time.Second)))
}

// sendSoon makes the next update go out without waiting for the interval.
func (p *peerExchange) sendSoon() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// listen opens the UDP socket.
func (p *peerExchange) listen(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("listen for datagrams: %w; correct ip and port_range in the settings", err)
	}
	p.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("listen for datagrams: %w; another process may hold the port", err)
	}
	p.write = func(datagram []byte, to netip.AddrPort) { _, _ = p.conn.WriteToUDPAddrPort(datagram, to) }
	return nil
}

// address returns the address that peers send to.
func (p *peerExchange) address() string {
	return p.conn.LocalAddr().String()
}

// run sends and receives until ctx is done.
func (p *peerExchange) run(ctx context.Context) {
	go p.receive()
	defer p.conn.Close()
	for ctx.Err() == nil {
		plan := p.view.plan()
		extra := p.send(plan)
		select {
		case <-time.After(max(updateInterval(plan, extra), p.linkPause(plan))):
		case <-p.wake:
			// Changes that arrive together go out in one update.
			time.Sleep(updateBatchDelay)
		case <-ctx.Done():
		}
	}
}

// send sends the current update to the peers, and digests to other groups where this node is
// the active relay. It returns the number of extra recipients.
func (p *peerExchange) send(plan peering.Plan) int {
	now := time.Now()
	extra := p.view.extraRecipients(now)
	p.resendToNewRecipients(extra, now)
	// The update is collected even without peers, or pending changes would accumulate.
	update := p.collectUpdate(now)
	sent := p.sendExtra(update, extra, plan)
	p.relay.addOwn(plan, update)
	// The confirmation is taken before the changes and sent after them, so that all changes up
	// to its revision have already been sent.
	update.StoreView = p.storeView()
	changes := p.watch.takeChanges()
	if len(plan.Peers) > 0 {
		addresses := addressesOf(plan.Peers)
		p.sendChanges(changes, addresses)
		update.SentAt = clock.Now()
		p.updateBytes = p.sendUpdate(update, nil, addresses)
	}
	for _, l := range p.relay.dueLinks(plan, time.Now()) {
		p.relay.recordSent(l, p.sendUpdate(p.groupUpdate(l), l.header(plan), l.addresses))
	}
	return sent
}

// sendUpdate encodes an update and sends it to addresses; group is set if it is the digest of
// a whole group. It returns the bytes for one address, including the datagrams' headers.
func (p *peerExchange) sendUpdate(update pulses.Update, group *keelv1.GroupNews, addresses []string) int {
	datagrams, err := update.Datagrams(p.name, group)
	if err != nil {
		p.log.WithError(err).WithField("event", "pulse_failed").Error("could not encode an update; the other nodes choose targets without this node's state")
		return 0
	}
	size := 0
	for _, datagram := range datagrams {
		size += len(datagram) + datagramOverhead
		p.sendTo(addresses, datagram)
	}
	return size
}

func (p *peerExchange) sendTo(addresses []string, datagram []byte) {
	for _, peer := range addresses {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			p.log.WithError(err).WithFields(logrus.Fields{"event": "peer_unread", "peer": peer}).Warn("invalid address of a member; no datagrams are sent to it")
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

// collectUpdate returns what is due to be sent now.
func (p *peerExchange) collectUpdate(now time.Time) pulses.Update {
	update := pulses.Update{Loads: p.fleet.LocalOccupancy(maxLoads), Findings: p.fleet.TargetUpdates(now), Caches: p.fleet.CacheUpdates(now), Saves: p.fleet.Saves(), Suspects: p.table.NextReports(now)}
	if now.Sub(p.enginesSentAt) >= engineInterval {
		update.Engines, p.enginesSentAt = p.fleet.EngineReports(now), now
	}
	if p.fleet.Disabled(policy.LoadSharing) {
		update.Loads = nil
	}
	update.Origins = p.origins.table.TakeReports()
	update.Limits, update.TargetLimits = p.view.customerLimiter.PeerUpdate(now), p.view.targetLimiter.PeerUpdate(now)
	p.addDemand(&update, now)
	if int64(clock.Now()) < p.sendDesiredUntil.Load() {
		update.Namings = p.desiredHistory(now)
	}
	return update
}

func (p *peerExchange) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// On the loopback interface, sending to a peer without a socket is reported as an
			// error of the next read, which does not concern this socket.
			continue
		}
		p.handle(buffer[:n], from)
	}
}

func (p *peerExchange) handle(datagram []byte, from netip.AddrPort) {
	var message keelv1.Pulse
	if err := proto.Unmarshal(datagram, &message); err != nil {
		p.log.WithError(err).WithField("event", "pulse_unread").Warn("datagram is not a valid Pulse message; dropped")
		return
	}
	if message.Group != nil {
		p.receiveGroup(&message)
		return
	}
	now := time.Now()
	if message.OriginQuestion != nil || message.OriginAnswer != nil {
		p.origins.receive(&message, from, now)
		return
	}
	p.origins.table.Apply(pulses.DecodeOrigins(message.Origins), now)
	p.relay.memberSeen(message.Sender, now)
	p.noteContact(message.Sender, from, now)
	if message.WholeLoad {
		p.fleet.MergeOccupancy(message.Sender, pulses.DecodeLoads(message.Loads), now)
	}
	p.receiveLimits(&message, now)
	p.receiveDemand(&message, now)
	p.receiveStore(&message)
	p.receiveDesiredHistory(&message, now)
	p.relay.addPending(pulses.Update{
		Findings: p.receiveTargetUpdates(&message, now),
		Caches:   p.fleet.MergeCacheUpdates(message.Sender, pulses.DecodeCaches(message.Caches), now),
		Saves:    p.receiveSaves(&message, now),
		Suspects: p.receiveSuspects(&message, now),
	})
	p.fleet.MergeEngineReports(message.Sender, pulses.DecodeEngines(message.Engines), now)
}

// desiredHistory returns the desired weight versions, with their ages, that a starting node
// needs.
func (p *peerExchange) desiredHistory(now time.Time) []fleet.DesiredVersion {
	return p.fleet.DesiredHistory(p.view.oldWeightsLimit, now)
}

// desiredHistoryLag is how old a received age of a desired version may be.
const desiredHistoryLag = 100 * time.Millisecond

func (p *peerExchange) receiveDesiredHistory(message *keelv1.Pulse, now time.Time) {
	for _, n := range p.fleet.MergeDesiredHistory(pulses.DecodeNamings(message.Namings), now.Add(-desiredHistoryLag)) {
		p.log.WithFields(logrus.Fields{"event": "namings_heard", "from": message.Sender, "model": n.Model, "weights": n.Version, "age_ms": n.Age.Milliseconds()}).Info("another node reports how long ago the weights were named")
	}
}

func (p *peerExchange) receiveTargetUpdates(message *keelv1.Pulse, now time.Time) []fleet.TargetUpdate {
	updates := pulses.DecodeFindings(message.Findings)
	p.logTargetUpdates(p.fleet.MergeTargetUpdates(updates, now), message.Sender)
	return updates
}

func (p *peerExchange) receiveSuspects(message *keelv1.Pulse, now time.Time) []poison.Report {
	reports := pulses.DecodeSuspects(message.Suspects)
	p.table.ApplyReports(reports, now)
	return reports
}

func (p *peerExchange) receiveSaves(message *keelv1.Pulse, now time.Time) []fleet.Saves {
	saves := pulses.DecodeSaves(message.Saves)
	p.fleet.MergeSaves(saves, now)
	return saves
}

// exchangeAddress returns the address at which the node receives datagrams: the first of the
// ports that the platform reserves for the system's own messages.
func (n *Node) exchangeAddress() string {
	port := 0
	if len(n.settings.Ports) > 0 {
		port = n.settings.Ports[0]
	}
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(port))
}
