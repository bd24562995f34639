package node

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/peering"
	"acaciakeel/pulses"
)

// departedMembers are the members that left recently, by key. A process that stops is no
// longer a member but still serves for seconds. If others stop with it, no member sends to it,
// and each process would count the targets that a request crashed from zero.
type departedMembers map[string]departedMember

type departedMember struct {
	peering.Member
	at time.Time
}

// add records that a member's entry is gone.
func (d departedMembers) add(m peering.Member, now time.Time) {
	d[m.Key] = departedMember{m, now}
}

// expire removes those that left longer ago than a process may take to stop, and reports whether
// there were any.
func (d departedMembers) expire(grace time.Duration, now time.Time) bool {
	before := len(d)
	maps.DeleteFunc(d, func(_ string, m departedMember) bool { return now.Sub(m.at) > grace })
	return len(d) < before
}

// extraRecipients returns the processes other than the peers that this one sends crash reports
// to: members that left recently and, if this process is not a member itself, all members,
// which would not know of it otherwise.
func (v *view) extraRecipients(now time.Time) []peering.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.departed.expire(v.grace, now) {
		v.cachedPlan = nil
	}
	var out []peering.Member
	for _, l := range v.departed {
		out = append(out, l.Member)
	}
	if _, joined := v.members[v.self]; joined {
		return out
	}
	for _, m := range v.members {
		out = append(out, m)
	}
	return out
}

// addGuests sets the processes outside of its group that this one exchanges limits with. A process
// that stops still admits requests. If it sent its usage to the members of all groups, each group
// would count it directly and once more in the other groups' digests; so it stays with its own
// group. The caller holds mu.
func (v *view) addGuests(p *peering.Plan) {
	members := slices.Collect(maps.Values(v.members))
	if !p.Joined {
		if v.selfMember.Key != "" {
			p.Group, p.Guests = peering.Home(v.selfMember, members)
		}
		return
	}
	for _, l := range v.departed {
		if group, _ := peering.Home(l.Member, members); group == p.Group {
			p.Guests = append(p.Guests, l.Member)
		}
	}
}

// sendToGuests sends the usage of limits and the origins of streams to the guests.
func (p *peerExchange) sendToGuests(update pulses.Update, guests []peering.Member) {
	if len(guests) == 0 {
		return
	}
	only := pulses.Update{Limits: update.Limits, TargetLimits: update.TargetLimits, Origins: update.Origins}
	datagrams, err := only.GuestDatagrams(p.name)
	if err != nil {
		p.log.WithError(err).WithField("event", "pulse_failed").Error("could not encode limits and origins; stopping nodes and their group count usage separately")
		return
	}
	for _, datagram := range datagrams {
		p.sendTo(addressesOf(guests), datagram)
	}
}

// resendToNewRecipients has all held reports sent again if an extra recipient is new.
func (p *peerExchange) resendToNewRecipients(extra []peering.Member, now time.Time) {
	known := make(map[string]bool, len(extra))
	for _, m := range extra {
		known[m.Key] = true
		if !p.knownExtra[m.Key] {
			p.resendState(now)
		}
	}
	p.knownExtra = known
}

// sendExtra sends crash reports to the extra recipients, and limits to the guests. If this process
// is not a member it adds desired versions, since no member may be left to send them to a starting
// process, and limits if its group is not known. It returns the number of recipients.
func (p *peerExchange) sendExtra(update pulses.Update, extra []peering.Member, plan peering.Plan) int {
	p.sendToGuests(update, plan.Guests)
	message := &keelv1.Pulse{Sender: p.name, Suspects: pulses.EncodeSuspects(update.Suspects)}
	if !plan.Joined {
		message.Namings = pulses.EncodeNamings(update.Namings)
		if len(plan.Guests) == 0 {
			message.Limits = pulses.EncodeLimits(update.Limits)[0]
		}
	}
	if len(message.Suspects)+len(message.Namings) == 0 && message.Limits == nil {
		return len(plan.Guests)
	}
	datagram, err := pulses.Encode(message)
	if err != nil {
		p.log.WithError(err).WithField("event", "pulse_failed").Error("could not encode crash reports; stopping nodes count crashes separately")
		return 0
	}
	p.sendTo(addressesOf(extra), datagram)
	return max(len(extra), len(plan.Guests))
}

// setSelfMember sets this node's entry before it is among the members.
func (v *view) setSelfMember(value string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.selfMember = decodeMember(v.self, value)
	v.cachedPlan = nil
}

// setMember adds a member's entry; an empty value removes it.
func (v *view) setMember(key, value string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.restoredMembers.returned(key)
	if value == "" {
		v.removeMember(key)
	} else {
		delete(v.departed, key)
		v.members[key] = decodeMember(key, value)
		if key == v.self {
			v.selfMember = v.members[key]
		}
	}
	v.membersChanged()
}

// removeMember removes a member whose entry is gone; the caller holds mu.
func (v *view) removeMember(key string) {
	if m, ok := v.members[key]; ok && key != v.self {
		if v.departed == nil {
			v.departed = departedMembers{}
		}
		v.departed.add(m, time.Now())
	}
	delete(v.members, key)
}

// linkPrefix marks the bandwidth of the link, in Mbit/s, at the end of a member's entry.
const linkPrefix = " link="

// encodeMember returns a member's entry: the address at which it receives datagrams, its zone
// and its link.
func encodeMember(address, zone string, linkMbps float64) []byte {
	value := address + " " + zone
	if linkMbps > 0 {
		value += linkPrefix + strconv.FormatFloat(linkMbps, 'g', -1, 64)
	}
	return []byte(value)
}

// decodeMember decodes a member's entry. Entries of earlier versions have no zone or no link;
// peering assumes a default for a link that is missing or unreadable.
func decodeMember(key, value string) peering.Member {
	value, link := cutLink(value)
	address, zone, _ := strings.Cut(value, " ")
	return peering.Member{Key: key, Address: address, Zone: zone, LinkMbps: link}
}

// cutLink splits the link off a member's entry; it is 0 if missing or unreadable.
func cutLink(value string) (rest string, mbps float64) {
	at := strings.LastIndex(value, linkPrefix)
	if at < 0 {
		return value, 0
	}
	mbps, err := strconv.ParseFloat(value[at+len(linkPrefix):], 64)
	if err != nil {
		mbps = 0
	}
	return value[:at], mbps
}
