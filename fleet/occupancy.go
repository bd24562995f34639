package fleet

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"acaciakeel/policy"
)

// Occupancy is the load of one target by one process or by several together.
type Occupancy struct {
	Target Instance
	// Inflight counts requests, Long those that take seconds, Resumable those that
	// another target could continue.
	Inflight  int
	Long      int
	Resumable int
	// PrefillTokens is the prompt tokens that are still to be prefilled.
	PrefillTokens int
	// HeldTokens is the memory that the requests hold, in tokens.
	HeldTokens int
	// Classes is the load by priority class. What is missing there of the totals was
	// reported without classes and counts for requests of every class.
	Classes [PriorityClasses]ClassLoad
}

// ClassLoad is the part of a load that requests of one priority class cause.
type ClassLoad struct {
	Inflight      int
	PrefillTokens int
	HeldTokens    int
}

func (c *ClassLoad) add(other ClassLoad, sign int) {
	c.Inflight += sign * other.Inflight
	c.PrefillTokens += sign * other.PrefillTokens
	c.HeldTokens += sign * other.HeldTokens
}

// upTo returns the load of a class, of more urgent ones, and of requests whose class is
// unknown.
func (o Occupancy) upTo(class int) ClassLoad {
	sum := ClassLoad{Inflight: o.Inflight, PrefillTokens: o.PrefillTokens, HeldTokens: o.HeldTokens}
	for _, c := range o.Classes[min(class+1, PriorityClasses):] {
		sum.add(c, -1)
	}
	return ClassLoad{Inflight: max(0, sum.Inflight), PrefillTokens: max(0, sum.PrefillTokens), HeldTokens: max(0, sum.HeldTokens)}
}

// byClass returns the load by class, with that of unknown class in the most urgent.
func (o Occupancy) byClass() [PriorityClasses]ClassLoad {
	out := o.Classes
	out[0] = o.upTo(0)
	return out
}

// occupancyTTL is for how long a load report of another process counts. It outlasts a few
// lost messages.
const occupancyTTL = 1500 * time.Millisecond

// LocalOccupancy returns this process's load at the targets that it uses, at most limit
// of them, those with the most to prefill first.
func (f *Fleet) LocalOccupancy(limit int) []Occupancy {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Occupancy
	for _, s := range f.states {
		if s.inflight > 0 {
			out = append(out, Occupancy{Target: s.target.Instance(), Inflight: s.inflight, Long: s.long, Resumable: s.resumable, PrefillTokens: s.prefillTokens, HeldTokens: s.heldTokens, Classes: s.classes})
		}
	}
	slices.SortFunc(out, func(a, b Occupancy) int {
		return cmp.Or(cmp.Compare(b.PrefillTokens, a.PrefillTokens), cmp.Compare(b.Inflight, a.Inflight), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	return out[:min(limit, len(out))]
}

// peerReport is the last load report of a process: when it came and the targets that it
// named.
type peerReport struct {
	at      time.Time
	targets []*targetState
}

// MergeOccupancy replaces another process's load by its new report, which is complete.
func (f *Fleet) MergeOccupancy(sender string, all []Occupancy, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerInterval.record(sender, now)
	f.expirePeers(now)
	f.forgetPeer(sender)
	t := &peerReport{at: now}
	for _, o := range all {
		s := f.lookup(o.Target)
		if s == nil {
			continue
		}
		if s.peerLoads == nil {
			s.peerLoads = map[string]timedOccupancy{}
		}
		s.peerLoads[sender] = timedOccupancy{load: o, at: now}
		t.targets = append(t.targets, s)
	}
	f.peerReports[sender] = t
}

// forgetPeer removes the load that a process reported. It touches only the targets that
// the process named: two dozen processes report ten times per second, and there may be
// thousands of targets.
func (f *Fleet) forgetPeer(sender string) {
	report := f.peerReports[sender]
	if report == nil {
		return
	}
	for _, s := range report.targets {
		delete(s.peerLoads, sender)
	}
	delete(f.peerReports, sender)
}

// expirePeers removes the reports of processes that report no more: each start of a
// process has another name.
func (f *Fleet) expirePeers(now time.Time) {
	for sender, t := range f.peerReports {
		if now.Sub(t.at) >= occupancyTTL {
			f.forgetPeer(sender)
		}
	}
}

// timedOccupancy is the load at one target that another process or group reported.
type timedOccupancy struct {
	load Occupancy
	at   time.Time
}

// GroupOccupancy returns the load that this process and those of its group have at each
// target, as far as they reported it, for the other groups.
func (f *Fleet) GroupOccupancy(now time.Time) []Occupancy {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Occupancy
	for _, s := range f.states {
		if all := s.groupOccupancy(now); all.Inflight > 0 || all.PrefillTokens > 0 {
			out = append(out, all)
		}
	}
	return out
}

// MergeGroupOccupancy applies the load that another group's processes have together at
// some targets; what it reported of other targets before stays until it expires.
func (f *Fleet) MergeGroupOccupancy(group int, all []Occupancy, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.groupInterval.record(strconv.Itoa(group), now)
	for _, o := range all {
		s := f.lookup(o.Target)
		if s == nil {
			continue
		}
		if s.groupLoads == nil {
			s.groupLoads = map[int]timedOccupancy{}
		}
		s.groupLoads[group] = timedOccupancy{load: o, at: now}
	}
}

// totalOccupancy returns a target's load over all processes, as far as they reported it.
func (s *targetState) totalOccupancy(now time.Time) Occupancy {
	total := s.groupOccupancy(now)
	for _, o := range s.groupLoads {
		total.add(o, now)
	}
	return total
}

// groupOccupancy returns the load that this process's group has at a target.
func (s *targetState) groupOccupancy(now time.Time) Occupancy {
	total := Occupancy{Target: s.target.Instance(), Inflight: s.inflight, Long: s.long, Resumable: s.resumable, PrefillTokens: s.prefillTokens, HeldTokens: s.heldTokens, Classes: s.classes}
	for _, o := range s.peerLoads {
		total.add(o, now)
	}
	return total
}

// add adds a reported load, unless it has expired.
func (o *Occupancy) add(t timedOccupancy, now time.Time) {
	if now.Sub(t.at) >= occupancyTTL {
		return
	}
	o.Inflight += t.load.Inflight
	o.Long += t.load.Long
	o.Resumable += t.load.Resumable
	o.PrefillTokens += t.load.PrefillTokens
	o.HeldTokens += t.load.HeldTokens
	for i, c := range t.load.Classes {
		o.Classes[i].add(c, 1)
	}
}

// EstimateHeldTokens estimates how many tokens of a target's memory a run holds if some
// of its prompt is cached there: about half of what is cached is held by other runs at
// the same time, and a run is on average half through its output.
func EstimateHeldTokens(input, cached, output int) int {
	return input - cached/2 + output/2
}

// memoryWait returns how long a run that will hold so many tokens is expected to wait for
// memory at a target where runs that it does not displace hold so many: held memory is
// assumed to be released evenly over the mean time that runs hold theirs.
func (f *Fleet) memoryWait(q Query, held, needs int, now time.Time) time.Duration {
	over := held + needs - q.Capacity
	if q.Capacity <= 0 || over <= 0 || held <= 0 || f.disabled[policy.MemoryBackpressure] {
		return 0
	}
	return time.Duration(float64(over) / float64(held) * float64(f.engine(q.Service).MeanMemoryHold()))
}

// packedMemoryShare is the fraction of a target's memory that long runs may fill where
// they are packed; the rest is for the parts that they share.
const packedMemoryShare = 0.9

// memoryRoom returns for how many more runs like this one a target has memory.
func (f *Fleet) memoryRoom(q Query, load Occupancy) float64 {
	if q.Capacity <= 0 || f.disabled[policy.MemoryBackpressure] {
		return math.Inf(1)
	}
	return (packedMemoryShare*float64(q.Capacity) - float64(load.HeldTokens)) / float64(max(1, EstimateHeldTokens(q.InputTokens, 0, q.MaxOutputTokens)))
}
