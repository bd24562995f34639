package node

import (
	"strings"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/peering"
	"acaciakeel/pulses"
)

// leavers are the members that left lately. A process that stops is no member any more
// and serves for seconds yet, and with others that stop it has nobody who is: what ends
// targets would count anew at each of them.
type leavers map[string]leaver

type leaver struct {
	peering.Member
	at time.Time
}

// left notes that a member's entry is gone.
func (l leavers) left(m peering.Member, now time.Time) {
	l[m.Key] = leaver{m, now}
}

// forget forgets those that have been gone for as long as a process may take to stop.
func (l leavers) forget(grace time.Duration, now time.Time) {
	for key, m := range l {
		if now.Sub(m.at) > grace {
			delete(l, key)
		}
	}
}

// aside returns the processes that this one tells of suspects beside its peers: those
// that left lately and, where it is no member itself, all members, which don't know that
// it is still there.
func (v *view) aside(now time.Time) []peering.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leavers.forget(v.grace, now)
	var out []peering.Member
	for _, l := range v.leavers {
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

// meetAside has all that is held told once more where there is somebody new among those
// that are told aside.
func (p *pulse) meetAside(aside []peering.Member, now time.Time) {
	met := make(map[string]bool, len(aside))
	for _, m := range aside {
		met[m.Key] = true
		if !p.asideMet[m.Key] {
			p.retell(now)
		}
	}
	p.asideMet = met
}

// tellAside tells those beside the peers of suspects, and of namings where no member
// tells whoever starts, and returns how many it told.
func (p *pulse) tellAside(all pulses.Update, aside []peering.Member, enrolled bool) int {
	message := &keelv1.Pulse{Sender: p.name, Suspects: pulses.EncodeSuspects(all.Suspects)}
	if !enrolled {
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
	p.sendTo(addressesOf(aside), datagram)
	return len(aside)
}

// enlist notes a member's entry; an empty one is its end.
func (v *view) enlist(key, value string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if value == "" {
		v.unlist(key)
	} else {
		delete(v.leavers, key)
		v.members[key] = readMember(key, value)
	}
	v.membersChanged()
}

// unlist takes a member out whose entry is gone; the caller holds mu.
func (v *view) unlist(key string) {
	if m, ok := v.members[key]; ok && key != v.self {
		if v.leavers == nil {
			v.leavers = leavers{}
		}
		v.leavers.left(m, time.Now())
	}
	delete(v.members, key)
}

// memberValue is a member's entry: the address at which it hears the others, and
// its zone.
func memberValue(address, zone string) []byte {
	return []byte(address + " " + zone)
}

// readMember reads a member's entry. One of an earlier version names no zone.
func readMember(key, value string) peering.Member {
	address, zone, _ := strings.Cut(value, " ")
	return peering.Member{Key: key, Address: address, Zone: zone}
}
