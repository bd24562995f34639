// Package pulses encodes and decodes the UDP datagrams by which nodes exchange state.
// It makes no decisions: package node sends the datagrams and applies what they
// contain.
package pulses

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/clock"
	"acaciakeel/fleet"
	"acaciakeel/forecast"
	"acaciakeel/origin"
	"acaciakeel/poison"
	"acaciakeel/quota"
	"acaciakeel/sharing"
)

// DatagramBytes is the approximate size of a datagram, chosen to fit one packet of
// 1,500 bytes. An element that cannot be split may make a datagram larger.
const DatagramBytes = 1200

// Update is the content of one pulse, the periodic state message of a node.
type Update struct {
	Loads    []fleet.Occupancy
	Findings []fleet.TargetUpdate
	Caches   []fleet.CacheUpdate
	Saves    []fleet.Saves
	Engines  []forecast.Report
	Suspects []poison.Report
	Namings  []fleet.DesiredVersion
	Limits   quota.UsageUpdate
	// TargetLimits counts requests sent to targets that announce a limit.
	TargetLimits quota.UsageUpdate
	// Demand is the target time asked for; it is sent if it reports for any entry.
	Demand sharing.Report
	// Origins are the origins of the streams that began at the sender.
	Origins []origin.Report
	// SentAt and StoreView belong to the shared watch of the store: peers echo SentAt
	// so that the sender can bound the age of their confirmations.
	SentAt    clock.BootTime
	StoreView *keelv1.StoreView
}

// maxPendingPerKind bounds the queued elements of each kind that wait to be relayed:
// about one second's worth from a group.
const maxPendingPerKind = 4096

// AppendRelayed appends those kinds of elements of other that are relayed to other
// groups. A kind that has reached maxPendingPerKind is not extended.
func (u *Update) AppendRelayed(other Update) {
	if len(u.Findings) < maxPendingPerKind {
		u.Findings = append(u.Findings, other.Findings...)
	}
	if len(u.Caches) < maxPendingPerKind {
		u.Caches = append(u.Caches, other.Caches...)
	}
	if len(u.Saves) < maxPendingPerKind {
		u.Saves = append(u.Saves, other.Saves...)
	}
	if len(u.Suspects) < maxPendingPerKind {
		u.Suspects = append(u.Suspects, other.Suspects...)
	}
}

func Encode(message *keelv1.Pulse) ([]byte, error) {
	datagram, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode pulse: %w", err)
	}
	return datagram, nil
}

// firstMessage returns the first datagram of a node's pulse. It contains the node's
// complete load, so that a receiver can treat missing targets as idle.
func (u Update) firstMessage(sender string) *keelv1.Pulse {
	return &keelv1.Pulse{
		Sender: sender, WholeLoad: true, Loads: encodeLoads(u.Loads), MarkUs: Micros(time.Duration(u.SentAt)),
		View: u.StoreView, Namings: EncodeNamings(u.Namings),
	}
}

// Datagrams encodes the update as one or more datagrams of about DatagramBytes. group
// is set where the update summarizes a whole group of nodes.
func (u Update) Datagrams(sender string, group *keelv1.GroupNews) ([][]byte, error) {
	pack := newPacker(u.firstMessage(sender), func() *keelv1.Pulse { return &keelv1.Pulse{Sender: sender} })
	if group != nil {
		newMessage := func() *keelv1.Pulse {
			return &keelv1.Pulse{Sender: sender, Group: &keelv1.GroupNews{Group: group.Group, Groups: group.Groups}}
		}
		pack = newPacker(newMessage(), newMessage)
		loadBytes := GroupLoadBytes(u.Loads)
		perDatagram := groupDatagramBytes / loadBytes
		for from := 0; from < len(u.Loads); from += perDatagram {
			batch := u.Loads[from:min(len(u.Loads), from+perDatagram)]
			pack.reserve(len(batch) * loadBytes)
			addGroupLoads(pack.message.Group, batch)
		}
	}
	pack.addLimits(u.Limits, func(m *keelv1.Pulse, w *keelv1.LimitNews) { m.Limits = w })
	pack.addLimits(u.TargetLimits, func(m *keelv1.Pulse, w *keelv1.LimitNews) { m.TargetLimits = w })
	if u.Demand.Entries > 0 {
		// A report is applied as a whole, so it must be in one datagram.
		w := EncodeDemand(u.Demand)
		pack.reserve(DemandSize(u.Demand))
		pack.message.Demand = w
	}
	pack.addOrigins(u.Origins)
	for _, w := range EncodeSuspects(u.Suspects) {
		pack.reserve(proto.Size(w))
		pack.message.Suspects = append(pack.message.Suspects, w)
	}
	for _, w := range encodeFindings(u.Findings) {
		pack.reserve(proto.Size(w))
		pack.message.Findings = append(pack.message.Findings, w)
	}
	for _, w := range EncodeCaches(u.Caches) {
		pack.reserve(proto.Size(w))
		pack.message.Caches = append(pack.message.Caches, w)
	}
	for _, w := range encodeSaves(u.Saves) {
		pack.reserve(proto.Size(w))
		pack.message.Saves = append(pack.message.Saves, w)
	}
	for _, w := range EncodeEngines(u.Engines) {
		pack.reserve(proto.Size(w))
		pack.message.Engines = append(pack.message.Engines, w)
	}
	return pack.finish()
}

// groupDatagramBytes is how many bytes of target loads fill one datagram of a group's
// update, besides its header.
const groupDatagramBytes = 1100

func addGroupLoads(g *keelv1.GroupNews, loads []fleet.Occupancy) {
	for _, o := range loads {
		g.Target = append(g.Target, o.Target.ID)
		g.Born = append(g.Born, o.Target.Born)
		g.Inflight = append(g.Inflight, uint32(o.Inflight))
		g.Long = append(g.Long, uint32(o.Long))
		g.PrefillTokens = append(g.PrefillTokens, uint32(max(0, o.PrefillTokens)))
		g.Resumable = append(g.Resumable, uint32(o.Resumable))
		g.Held = append(g.Held, uint32(max(0, o.HeldTokens)))
	}
	if hasClasses(loads) {
		for _, o := range loads {
			g.ClassInflight, g.ClassPrefillTokens, g.ClassHeld = appendClasses(o, g.ClassInflight, g.ClassPrefillTokens, g.ClassHeld)
		}
	}
}

// hasClasses reports whether the classes of loads must be sent. Load of the most urgent
// class counts for requests of every class, as load of unknown class does, so deployments
// that use one class send none.
func hasClasses(loads []fleet.Occupancy) bool {
	return slices.ContainsFunc(loads, func(o fleet.Occupancy) bool {
		return slices.ContainsFunc(o.Classes[1:], func(c fleet.ClassLoad) bool { return c != fleet.ClassLoad{} })
	})
}

func appendClasses(o fleet.Occupancy, inflight, prefill, held []uint32) (i, p, h []uint32) {
	for _, c := range o.Classes {
		inflight = append(inflight, uint32(max(0, c.Inflight)))
		prefill = append(prefill, uint32(max(0, c.PrefillTokens)))
		held = append(held, uint32(max(0, c.HeldTokens)))
	}
	return inflight, prefill, held
}

// trimZeros returns the list without the zeros at its end.
func trimZeros(list []uint32) []uint32 {
	for len(list) > 0 && list[len(list)-1] == 0 {
		list = list[:len(list)-1]
	}
	return list
}

// decodeClasses decodes the classes of the load at index i. Figures that are missing, as in
// a datagram of an earlier version, are 0: the totals then count for every class.
func decodeClasses(i int, inflight, prefill, held []uint32) (out [fleet.PriorityClasses]fleet.ClassLoad) {
	figure := func(list []uint32, k int) int {
		if at := i*fleet.PriorityClasses + k; at < len(list) {
			return int(list[at])
		}
		return 0
	}
	for k := range out {
		out[k] = fleet.ClassLoad{Inflight: figure(inflight, k), PrefillTokens: figure(prefill, k), HeldTokens: figure(held, k)}
	}
	return out
}

// DecodeGroupLoads decodes the parallel lists of target loads. Where the lists differ
// in length, as in a datagram of another version, the excess elements are ignored.
func DecodeGroupLoads(g *keelv1.GroupNews) []fleet.Occupancy {
	n := min(len(g.Target), len(g.Born), len(g.Inflight), len(g.Long), len(g.PrefillTokens), len(g.Resumable), len(g.Held))
	out := make([]fleet.Occupancy, 0, n)
	for i := range n {
		out = append(out, fleet.Occupancy{
			Target: fleet.Instance{ID: g.Target[i], Born: g.Born[i]}, Inflight: int(g.Inflight[i]), Long: int(g.Long[i]),
			PrefillTokens: int(g.PrefillTokens[i]), Resumable: int(g.Resumable[i]), HeldTokens: int(g.Held[i]),
			Classes: decodeClasses(i, g.ClassInflight, g.ClassPrefillTokens, g.ClassHeld),
		})
	}
	return out
}

func encodeLoads(loads []fleet.Occupancy) []*keelv1.TargetLoad {
	out := make([]*keelv1.TargetLoad, 0, len(loads))
	for _, o := range loads {
		w := &keelv1.TargetLoad{
			Target: o.Target.ID, Born: o.Target.Born, Inflight: uint32(o.Inflight), Long: uint32(o.Long),
			PrefillTokens: uint32(max(0, o.PrefillTokens)), Resumable: uint32(o.Resumable), Held: uint32(max(0, o.HeldTokens)),
		}
		if hasClasses([]fleet.Occupancy{o}) {
			inflight, prefill, held := appendClasses(o, nil, nil, nil)
			w.ClassInflight, w.ClassPrefillTokens, w.ClassHeld = trimZeros(inflight), trimZeros(prefill), trimZeros(held)
		}
		out = append(out, w)
	}
	return out
}

func DecodeLoads(all []*keelv1.TargetLoad) []fleet.Occupancy {
	out := make([]fleet.Occupancy, 0, len(all))
	for _, w := range all {
		out = append(out, fleet.Occupancy{
			Target: fleet.Instance{ID: w.Target, Born: w.Born}, Inflight: int(w.Inflight), Long: int(w.Long), PrefillTokens: int(w.PrefillTokens), Resumable: int(w.Resumable), HeldTokens: int(w.Held),
			Classes: decodeClasses(0, w.ClassInflight, w.ClassPrefillTokens, w.ClassHeld),
		})
	}
	return out
}

// EncodeCaches encodes changes of prefix caches.
func EncodeCaches(updates []fleet.CacheUpdate) []*keelv1.CacheNews {
	out := make([]*keelv1.CacheNews, 0, len(updates))
	for _, n := range updates {
		w := &keelv1.CacheNews{
			Address: n.Address, Target: n.Target.ID, Born: n.Target.Born, Boot: n.Boot, Next: n.Next, DroppedHash: n.Evicted, Silent: n.Unresponsive,
		}
		w.StoredHash, w.StoredTokens = encodeParts(n.Stored)
		out = append(out, w)
	}
	return out
}

func DecodeCaches(all []*keelv1.CacheNews) []fleet.CacheUpdate {
	out := make([]fleet.CacheUpdate, 0, len(all))
	for _, w := range all {
		out = append(out, fleet.CacheUpdate{
			Address: w.Address, Target: fleet.Instance{ID: w.Target, Born: w.Born}, Boot: w.Boot, Next: w.Next, Unresponsive: w.Silent,
			Stored: decodeParts(w.StoredHash, w.StoredTokens), Evicted: w.DroppedHash,
		})
	}
	return out
}

func encodeSaves(saves []fleet.Saves) []*keelv1.StoreSaves {
	out := make([]*keelv1.StoreSaves, 0, len(saves))
	for _, s := range saves {
		out = append(out, &keelv1.StoreSaves{Store: s.Store, PartHash: s.Parts})
	}
	return out
}

// DecodeSaves decodes the prompt parts that are being written to stores.
func DecodeSaves(all []*keelv1.StoreSaves) []fleet.Saves {
	out := make([]fleet.Saves, 0, len(all))
	for _, w := range all {
		out = append(out, fleet.Saves{Store: w.Store, Parts: w.PartHash})
	}
	return out
}

// demandHeaderBytes is the size of the tag and length of a datagram's demand.
const demandHeaderBytes = 4

// GroupLoadBytes returns the approximate encoded size of one target's load in a group's
// update.
func GroupLoadBytes(loads []fleet.Occupancy) int {
	if hasClasses(loads) {
		return 54
	}
	return 22
}

// PartBytes is the approximate encoded size of one prompt part: its hash and its token
// count.
const PartBytes = 11

// TruncateTo drops the oldest elements so that the update fits within budget bytes, and
// returns the approximate number of bytes used. Space is assigned in the order
// suspects, findings, saves, caches.
func (u *Update) TruncateTo(budget int) (used int) {
	u.Suspects = newest(u.Suspects, &used, budget, func(r poison.Report) int { return 100 + 30*len(r.Crashes) })
	u.Findings = newest(u.Findings, &used, budget, func(f fleet.TargetUpdate) int { return 60 + PartBytes*len(f.Parts) })
	u.Saves = newest(u.Saves, &used, budget, func(s fleet.Saves) int { return 24 + 8*len(s.Parts) })
	u.Caches = newest(u.Caches, &used, budget, func(n fleet.CacheUpdate) int { return 48 + PartBytes*len(n.Stored) + 8*len(n.Evicted) })
	return used
}

// newest returns the longest suffix of all that fits the budget, given the bytes
// already used, and adds its size to used.
func newest[T any](all []T, used *int, budget int, size func(T) int) []T {
	from := len(all)
	for from > 0 && *used+size(all[from-1]) <= budget {
		from--
		*used += size(all[from])
	}
	return all[from:]
}

// Micros returns d in whole microseconds, or 0 if d is negative.
func Micros(d time.Duration) uint64 {
	return uint64(max(0, d.Microseconds()))
}

func FromMicros(us uint64) time.Duration {
	return time.Duration(us) * time.Microsecond
}
