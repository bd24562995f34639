// Package pulses encodes what entries tell each other into datagrams, and decodes it. It
// decides nothing; node tells and takes.
package pulses

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/clock"
	"acaciakeel/fleet"
	"acaciakeel/forecast"
	"acaciakeel/poison"
	"acaciakeel/quota"
)

// DatagramBytes is about how much a datagram holds, to fit one packet of 1,500
// bytes; what can't be divided goes into a larger one.
const DatagramBytes = 1200

// Update is all that one pulse tells.
type Update struct {
	Loads    []fleet.Occupancy
	Findings []fleet.TargetUpdate
	Caches   []fleet.CacheUpdate
	Saves    []fleet.Saves
	Engines  []forecast.Report
	Suspects []poison.Report
	Namings  []fleet.DesiredVersion
	Limits   quota.UsageUpdate
	// TargetLimits is what was sent to targets that name limits.
	TargetLimits quota.UsageUpdate
	// mark and view are of the shared watch of the store.
	SentAt    clock.BootTime
	StoreView *keelv1.StoreView
}

// newsMost bounds each kind of news that waits to be relayed: a second's of a group.
const newsMost = 4096

// AppendRelayed adds what is relayed of other news.
func (p *Update) AppendRelayed(other Update) {
	if len(p.Findings) < newsMost {
		p.Findings = append(p.Findings, other.Findings...)
	}
	if len(p.Caches) < newsMost {
		p.Caches = append(p.Caches, other.Caches...)
	}
	if len(p.Saves) < newsMost {
		p.Saves = append(p.Saves, other.Saves...)
	}
	if len(p.Suspects) < newsMost {
		p.Suspects = append(p.Suspects, other.Suspects...)
	}
}

// Encode encodes one datagram.
func Encode(message *keelv1.Pulse) ([]byte, error) {
	datagram, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode a pulse: %w", err)
	}
	return datagram, nil
}

// first returns the pulse that a node's news begins with: its load stands whole in it.
func (p Update) first(sender string) *keelv1.Pulse {
	return &keelv1.Pulse{
		Sender: sender, WholeLoad: true, Loads: encodeLoads(p.Loads), MarkUs: Micros(time.Duration(p.SentAt)),
		View: p.StoreView, Namings: EncodeNamings(p.Namings),
	}
}

// Datagrams encodes a pulse, spread over several where it is large; group is set
// where it is a whole group's.
func (p Update) Datagrams(sender string, group *keelv1.GroupNews) ([][]byte, error) {
	pack := newPacking(p.first(sender), func() *keelv1.Pulse { return &keelv1.Pulse{Sender: sender} })
	if group != nil {
		begin := func() *keelv1.Pulse {
			return &keelv1.Pulse{Sender: sender, Group: &keelv1.GroupNews{Group: group.Group, Groups: group.Groups}}
		}
		pack = newPacking(begin(), begin)
		for from := 0; from < len(p.Loads); from += groupLoadsEach {
			some := p.Loads[from:min(len(p.Loads), from+groupLoadsEach)]
			pack.room(len(some) * GroupLoadBytes)
			addGroupLoads(pack.message.Group, some)
		}
	}
	pack.limits(p.Limits, func(m *keelv1.Pulse, w *keelv1.LimitNews) { m.Limits = w })
	pack.limits(p.TargetLimits, func(m *keelv1.Pulse, w *keelv1.LimitNews) { m.TargetLimits = w })
	for _, w := range EncodeSuspects(p.Suspects) {
		pack.room(proto.Size(w))
		pack.message.Suspects = append(pack.message.Suspects, w)
	}
	for _, w := range encodeFindings(p.Findings) {
		pack.room(proto.Size(w))
		pack.message.Findings = append(pack.message.Findings, w)
	}
	for _, w := range EncodeCaches(p.Caches) {
		pack.room(proto.Size(w))
		pack.message.Caches = append(pack.message.Caches, w)
	}
	for _, w := range encodeSaves(p.Saves) {
		pack.room(proto.Size(w))
		pack.message.Saves = append(pack.message.Saves, w)
	}
	for _, w := range EncodeEngines(p.Engines) {
		pack.room(proto.Size(w))
		pack.message.Engines = append(pack.message.Engines, w)
	}
	return pack.end()
}

// groupLoadsEach is how many targets' loads stand in one datagram of a group's: with
// its head they fill it.
const groupLoadsEach = 50

func addGroupLoads(g *keelv1.GroupNews, all []fleet.Occupancy) {
	for _, o := range all {
		g.Target = append(g.Target, o.Target.ID)
		g.Born = append(g.Born, o.Target.Born)
		g.Inflight = append(g.Inflight, uint32(o.Inflight))
		g.Long = append(g.Long, uint32(o.Long))
		g.PrefillTokens = append(g.PrefillTokens, uint32(max(0, o.PrefillTokens)))
		g.Resumable = append(g.Resumable, uint32(o.Resumable))
		g.Held = append(g.Held, uint32(max(0, o.HeldTokens)))
	}
}

// DecodeGroupLoads leaves out what has no figures of its own, as in a datagram of
// another shape.
func DecodeGroupLoads(g *keelv1.GroupNews) []fleet.Occupancy {
	n := min(len(g.Target), len(g.Born), len(g.Inflight), len(g.Long), len(g.PrefillTokens), len(g.Resumable), len(g.Held))
	out := make([]fleet.Occupancy, 0, n)
	for i := range n {
		out = append(out, fleet.Occupancy{
			Target: fleet.Instance{ID: g.Target[i], Born: g.Born[i]}, Inflight: int(g.Inflight[i]), Long: int(g.Long[i]),
			PrefillTokens: int(g.PrefillTokens[i]), Resumable: int(g.Resumable[i]), HeldTokens: int(g.Held[i]),
		})
	}
	return out
}

func encodeLoads(all []fleet.Occupancy) []*keelv1.TargetLoad {
	out := make([]*keelv1.TargetLoad, 0, len(all))
	for _, o := range all {
		out = append(out, &keelv1.TargetLoad{
			Target: o.Target.ID, Born: o.Target.Born, Inflight: uint32(o.Inflight), Long: uint32(o.Long),
			PrefillTokens: uint32(max(0, o.PrefillTokens)), Resumable: uint32(o.Resumable), Held: uint32(max(0, o.HeldTokens)),
		})
	}
	return out
}

// DecodeLoads decodes the load of targets.
func DecodeLoads(all []*keelv1.TargetLoad) []fleet.Occupancy {
	out := make([]fleet.Occupancy, 0, len(all))
	for _, w := range all {
		out = append(out, fleet.Occupancy{
			Target: fleet.Instance{ID: w.Target, Born: w.Born}, Inflight: int(w.Inflight), Long: int(w.Long), PrefillTokens: int(w.PrefillTokens), Resumable: int(w.Resumable), HeldTokens: int(w.Held),
		})
	}
	return out
}

func encodeFindings(all []fleet.TargetUpdate) []*keelv1.TargetFinding {
	out := make([]*keelv1.TargetFinding, 0, len(all))
	for _, found := range all {
		w := &keelv1.TargetFinding{Target: found.Target.ID, Born: found.Target.Born, BusyMs: uint32(found.BusyFor.Milliseconds()), Leaving: found.ShuttingDown}
		for model, version := range found.Weights {
			w.Weights = append(w.Weights, &keelv1.LoadedWeights{Model: model, Version: version})
		}
		w.PartHash, w.PartTokens = encodeParts(found.Parts)
		w.Limit = encodeTargetLimit(found.Limit)
		out = append(out, w)
	}
	return out
}

func encodeTargetLimit(told *fleet.LimitUpdate) *keelv1.TargetLimit {
	if told == nil {
		return nil
	}
	return &keelv1.TargetLimit{Named: told.Declared, Rate: told.Rate, AgeUs: Micros(told.Age)}
}

// decodeTargetLimit leaves out a limit that is no figure.
func decodeTargetLimit(w *keelv1.TargetLimit) *fleet.LimitUpdate {
	if w == nil || math.IsNaN(w.Rate) || w.Rate < 0 {
		return nil
	}
	return &fleet.LimitUpdate{Limit: fleet.Limit{Declared: w.Named, Rate: w.Rate}, Age: FromMicros(min(w.AgeUs, Micros(longestAge)))}
}

// DecodeFindings decodes what was learnt of targets.
func DecodeFindings(all []*keelv1.TargetFinding) []fleet.TargetUpdate {
	out := make([]fleet.TargetUpdate, 0, len(all))
	for _, w := range all {
		found := fleet.TargetUpdate{
			Target:       fleet.Instance{ID: w.Target, Born: w.Born},
			Weights:      map[string]int64{},
			BusyFor:      time.Duration(w.BusyMs) * time.Millisecond,
			Parts:        decodeParts(w.PartHash, w.PartTokens),
			Limit:        decodeTargetLimit(w.Limit),
			ShuttingDown: w.Leaving,
		}
		for _, l := range w.Weights {
			found.Weights[l.Model] = l.Version
		}
		out = append(out, found)
	}
	return out
}

func encodeParts(parts []fleet.Part) (hashes []uint64, tokens []uint32) {
	for _, p := range parts {
		hashes = append(hashes, p.Hash)
		tokens = append(tokens, uint32(p.Tokens))
	}
	return hashes, tokens
}

func decodeParts(hashes []uint64, tokens []uint32) []fleet.Part {
	var out []fleet.Part
	for i := range min(len(hashes), len(tokens)) {
		out = append(out, fleet.Part{Hash: hashes[i], Tokens: int(tokens[i])})
	}
	return out
}

// EncodeCaches encodes what changed in caches.
func EncodeCaches(all []fleet.CacheUpdate) []*keelv1.CacheNews {
	out := make([]*keelv1.CacheNews, 0, len(all))
	for _, n := range all {
		w := &keelv1.CacheNews{
			Address: n.Address, Target: n.Target.ID, Born: n.Target.Born, Boot: n.Boot, Next: n.Next, DroppedHash: n.Evicted, Silent: n.Unresponsive,
		}
		w.StoredHash, w.StoredTokens = encodeParts(n.Stored)
		out = append(out, w)
	}
	return out
}

// DecodeCaches decodes it.
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

func encodeSaves(all []fleet.Saves) []*keelv1.StoreSaves {
	out := make([]*keelv1.StoreSaves, 0, len(all))
	for _, s := range all {
		out = append(out, &keelv1.StoreSaves{Store: s.Store, PartHash: s.Parts})
	}
	return out
}

// DecodeSaves decodes the parts that go to stores.
func DecodeSaves(all []*keelv1.StoreSaves) []fleet.Saves {
	out := make([]fleet.Saves, 0, len(all))
	for _, w := range all {
		out = append(out, fleet.Saves{Store: w.Store, Parts: w.PartHash})
	}
	return out
}

// EncodeEngines encodes what was observed of engines.
func EncodeEngines(all []forecast.Report) []*keelv1.EngineWord {
	out := make([]*keelv1.EngineWord, 0, len(all))
	for _, word := range all {
		w := &keelv1.EngineWord{
			Service: word.Service, Weight: float32(word.Sums.Weight), LoadMs: uint32(word.WeightLoads.IdleDuration.Milliseconds()), LoadsSeen: uint32(word.WeightLoads.Samples),
			Light: float32(word.OfferedLoad.Light), Heavy: float32(word.OfferedLoad.Heavy), Heavies: float32(word.OfferedLoad.HeavyRate), Longs: float32(word.OfferedLoad.LongRate),
			RunSeconds: float32(word.SlotHold.Seconds), RunTokens: float32(word.SlotHold.Tokens),
		}
		for _, x := range word.Sums.Cross {
			w.Cross = append(w.Cross, float32(x))
		}
		for _, x := range word.Sums.Right {
			w.Right = append(w.Right, float32(x))
		}
		out = append(out, w)
	}
	return out
}

// DecodeEngines leaves out words of another shape, such as a later version's.
func DecodeEngines(all []*keelv1.EngineWord) []forecast.Report {
	out := make([]forecast.Report, 0, len(all))
	for _, w := range all {
		word := forecast.Report{
			Service: w.Service,
			WeightLoads: forecast.WeightLoads{
				IdleDuration: time.Duration(w.LoadMs) * time.Millisecond, Samples: int(w.LoadsSeen),
			},
			OfferedLoad: forecast.OfferedLoad{Light: float64(w.Light), Heavy: float64(w.Heavy), HeavyRate: float64(w.Heavies), LongRate: float64(w.Longs)},
			SlotHold:    forecast.TimePerToken{Seconds: float64(w.RunSeconds), Tokens: float64(w.RunTokens)},
		}
		if len(w.Cross) != len(word.Sums.Cross) || len(w.Right) != len(word.Sums.Right) {
			continue
		}
		word.Sums.Weight = float64(w.Weight)
		for i, x := range w.Cross {
			word.Sums.Cross[i] = float64(x)
		}
		for i, x := range w.Right {
			word.Sums.Right[i] = float64(x)
		}
		out = append(out, word)
	}
	return out
}

// GroupLoadBytes is about how many bytes a target's load takes in a digest.
const GroupLoadBytes = 22

// PartBytes is about how many bytes a part takes: its hash and its tokens.
const PartBytes = 11

// TruncateTo cuts suspects, findings, saves and news of caches, in this order, to what fits so many
// bytes, and returns about how many are used. Of each kind the newest stay.
func (p *Update) TruncateTo(room int) (used int) {
	p.Suspects = newest(p.Suspects, &used, room, func(r poison.Report) int { return 100 + 30*len(r.Crashes) })
	p.Findings = newest(p.Findings, &used, room, func(f fleet.TargetUpdate) int { return 60 + PartBytes*len(f.Parts) })
	p.Saves = newest(p.Saves, &used, room, func(s fleet.Saves) int { return 24 + 8*len(s.Parts) })
	p.Caches = newest(p.Caches, &used, room, func(n fleet.CacheUpdate) int { return 48 + PartBytes*len(n.Stored) + 8*len(n.Evicted) })
	return used
}

// newest returns the last of all that fit room beside what is used already.
func newest[T any](all []T, used *int, room int, size func(T) int) []T {
	from := len(all)
	for from > 0 && *used+size(all[from-1]) <= room {
		from--
		*used += size(all[from])
	}
	return all[from:]
}

// Micros returns a time in whole microseconds; one below 0 is none.
func Micros(d time.Duration) uint64 {
	return uint64(max(0, d.Microseconds()))
}

// FromMicros returns it as a duration.
func FromMicros(us uint64) time.Duration {
	return time.Duration(us) * time.Microsecond
}
