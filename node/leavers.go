package node

import (
	"strings"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/peering"
	"acaciakeel/pulses"
)

// departedMembers are the members that left lately. A process that stops is no member any more
// and serves for seconds yet, and with others that stop it has nobody who is: what ends
// targets would count anew at each of them.
type departedMembers map[string]departedMember

type departedMember struct {
	peering.Member
	at time.Time
}

// add notes that a member's entry is gone.
func (l departedMembers) add(m peering.Member, now time.Time) {
	l[m.Key] = departedMember{m, now}
}

// expire forgets those that have been gone for as long as a process may take to stop.
func (l departedMembers) expire(grace time.Duration, now time.Time) {
	for key, m := range l {
		if now.Sub(m.at) > grace {
			delete(l, key)
		}
	}
}

// extraRecipients returns the processes that this one tells of suspects beside its peers: those
// that left lately and, where it is no member itself, all members, which don't know that
// it is still there.
func (v *view) extraRecipients(now time.Time) []peering.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.departed.expire(v.grace, now)
	var out []peering.Member
	for _, l := range v.departed {
		out = append(out, l.Member)
	}
	if _, enrolled := v.members[v.self]; enrolled {
		return out
	}
	for _, m := range v.members {
		out = append(out, m)
	}
	return out
}

// resendToNewRecipients has all that is held told once more where there is somebody new among those
// that are told aside.
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

// sendExtra tells those beside the peers of suspects, and of namings where no member
// tells whoever starts, and returns how many it told.
func (p *peerExchange) sendExtra(all pulses.Update, extra []peering.Member, joined bool) int {
	message := &keelv1.Pulse{Sender: p.name, Suspects: pulses.EncodeSuspects(all.Suspects)}
	if !joined {
		message.Namings = pulses.EncodeNamings(all.Namings)
		message.Limits = pulses.EncodeLimits(all.Limits)[0]
	}
	if len(message.Suspects)+len(message.Namings) == 0 && message.Limits == nil {
		return 0
	}
	datagram, err := pulses.Encode(message)
	if err != nil {
		p.log.WithError(err).WithField("event", "pulse_failed").Error("entries that stop count suspects by themselves")
		return 0
	}
	p.sendTo(addressesOf(extra), datagram)
	return len(extra)
}

// setMember notes a member's entry; an empty one is its end.
func (v *view) setMember(key, value string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if value == "" {
		v.removeMember(key)
	} else {
		delete(v.departed, key)
		v.members[key] = decodeMember(key, value)
	}
	v.membersChanged()
}

// removeMember takes a member out whose entry is gone; the caller holds mu.
func (v *view) removeMember(key string) {
	if m, ok := v.members[key]; ok && key != v.self {
		if v.departed == nil {
			v.departed = departedMembers{}
		}
		v.departed.add(m, time.Now())
	}
	delete(v.members, key)
}

// encodeMember is a member's entry: the address at which it hears the others, and
// its zone.
func encodeMember(address, zone string) []byte {
	return []byte(address + " " + zone)
}

// decodeMember reads a member's entry. One of an earlier version names no zone.
func decodeMember(key, value string) peering.Member {
	address, zone, _ := strings.Cut(value, " ")
	return peering.Member{Key: key, Address: address, Zone: zone}
}
