package pulses

import (
	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/quota"
)

// limitsPerDatagram is how many customers' usage reports fill one datagram, including
// its header.
const limitsPerDatagram = 40

// LimitEntryBytes is the approximate encoded size of one usage report.
const LimitEntryBytes = 27

// EncodeLimits divides a usage update into messages that fit one datagram each. The
// first message is sent even without reports, because it also shows that its sender is
// alive.
func EncodeLimits(n quota.UsageUpdate) []*keelv1.LimitNews {
	var out []*keelv1.LimitNews
	for from := 0; from == 0 || from < len(n.Reports); from += limitsPerDatagram {
		w := &keelv1.LimitNews{UpUs: Micros(n.Uptime), Heard: uint32(n.Processes)}
		for _, report := range n.Reports[from:min(len(n.Reports), from+limitsPerDatagram)] {
			w.Customer = append(w.Customer, report.Customer)
			w.Total = append(w.Total, int64(report.Total))
			w.Demand = append(w.Demand, uint64(max(0, report.Demand)))
			w.Level = append(w.Level, int64(report.Level))
			w.Added = append(w.Added, int64(report.Increase))
		}
		out = append(out, w)
	}
	return out
}

// DecodeLimits decodes one message of a usage update. Where its parallel lists differ
// in length, as in a datagram of another version, the excess elements are ignored.
func DecodeLimits(sender string, w *keelv1.LimitNews) quota.UsageUpdate {
	n := quota.UsageUpdate{Sender: sender, Uptime: FromMicros(w.UpUs), Processes: int(w.Heard)}
	for i := range min(len(w.Customer), len(w.Total), len(w.Demand), len(w.Level), len(w.Added)) {
		n.Reports = append(n.Reports, quota.UsageReport{
			Customer: w.Customer[i], Total: float64(w.Total[i]), Increase: float64(w.Added[i]), Demand: float64(w.Demand[i]), Level: float64(w.Level[i]),
		})
	}
	return n
}

// GuestDatagrams encodes what is sent to processes outside of the group: the usage of limits and
// the origins of streams.
func (u Update) GuestDatagrams(sender string) ([][]byte, error) {
	pack := newPacker(&keelv1.Pulse{Sender: sender}, func() *keelv1.Pulse { return &keelv1.Pulse{Sender: sender} })
	pack.addLimits(u.Limits, func(m *keelv1.Pulse, w *keelv1.LimitNews) { m.Limits = w })
	pack.addLimits(u.TargetLimits, func(m *keelv1.Pulse, w *keelv1.LimitNews) { m.TargetLimits = w })
	pack.addOrigins(u.Origins)
	return pack.finish()
}

// addLimits packs a usage update; each datagram carries at most one message of it.
func (p *packer) addLimits(n quota.UsageUpdate, set func(*keelv1.Pulse, *keelv1.LimitNews)) {
	for i, w := range EncodeLimits(n) {
		if i > 0 {
			p.startNext()
		}
		p.reserve(len(w.Customer) * LimitEntryBytes)
		set(p.message, w)
	}
}
