package node

import (
	"maps"
	"net/netip"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/clock"
	"acaciakeel/pulses"
)

// Timing of replies to processes that this node does not send updates to.
const (
	// contactRetention is how long a silent process is remembered: far longer than a congested
	// link delays its updates, so that it is not taken for a new process afterwards.
	contactRetention = time.Minute
	// replyInterval is how often a process that gets no updates from this node yet is sent a
	// reply if nothing changed: the 24 other members of a full group each reply, with about a
	// kilobyte.
	replyInterval = 250 * time.Millisecond
	// desiredResendPeriod is how long desired versions are sent after a new process was first
	// heard from: long enough for several updates, of which a few may be lost.
	desiredResendPeriod = time.Second
)

// peerContact records when a process was last heard from, when it was last sent a reply, and
// the version of the crash reports in that reply.
type peerContact struct {
	lastSeen, repliedAt time.Time
	version             int
}

// noteContact records the sender of an update. A new sender has held crash reports sent again,
// and one that gets no updates from this node is sent a reply. A process serves and sends as
// soon as it has its configuration, but its peers send it nothing until the store has reported
// it to them, up to half a second later. A request that crashes targets crashed two more in
// that time, so the process gets a direct reply.
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

// resendState has crash reports and desired versions included once more, for a process that
// was first heard from or seen now.
func (p *peerExchange) resendState(now time.Time) {
	p.table.ScheduleResend(now)
	p.sendDesiredUntil.Store(int64(clock.Now().Add(desiredResendPeriod)))
}

// reply sends held crash reports, desired versions and limits to a process that is not among
// this node's peers, and reports whether there was anything to send.
func (p *peerExchange) reply(name string, to netip.AddrPort, now time.Time) bool {
	reports, desired := p.table.BootstrapReports(now), pulses.EncodeNamings(p.desiredHistory(now))
	limits, targets := p.view.customerLimiter.FullUpdate(now), p.view.targetLimiter.FullUpdate(now)
	if len(reports)+len(desired)+len(limits.Reports)+len(targets.Reports) == 0 || !p.view.plan().NeedsReply(p.view.keys.members+name) {
		return false
	}
	messages := []*keelv1.Pulse{{Sender: p.name, Suspects: pulses.EncodeSuspects(reports), Namings: desired}}
	for _, w := range pulses.EncodeLimits(limits) {
		messages = append(messages, &keelv1.Pulse{Sender: p.name, Limits: w})
	}
	for _, w := range pulses.EncodeLimits(targets) {
		messages = append(messages, &keelv1.Pulse{Sender: p.name, TargetLimits: w})
	}
	for _, message := range messages {
		datagram, err := pulses.Encode(message)
		if err != nil {
			p.log.WithError(err).WithField("event", "pulse_failed").Error("could not encode a reply; a starting node gets no crash reports, limits or ages of named weights")
			return false
		}
		p.write(datagram, to)
	}
	return true
}
