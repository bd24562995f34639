package fleet

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"acaciakeel/policy"
)

// Occupancy is one process's part of a target's load.
type Occupancy struct {
	Target Instance
	// Inflight counts requests, Long those of them that take seconds, Resumable
	// those that another target could go on with.
	Inflight  int
	Long      int
	Resumable int
	// PrefillTokens is the prompt tokens that are still to be read.
	PrefillTokens int
	// HeldTokens is the tokens of memory that they hold.
	HeldTokens int
}

// occupancyValid is for how long another process's word about its load counts. It
// outlasts a few lost messages.
const occupancyValid = 1500 * time.Millisecond

// LocalOccupancy returns this process's part of the load of the most targets that it
// uses, those with the most to read first.
func (f *Fleet) LocalOccupancy(most int) []Occupancy {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Occupancy
	for _, s := range f.states {
		if s.inflight > 0 {
			out = append(out, Occupancy{Target: s.runner.Instance(), Inflight: s.inflight, Long: s.long, Resumable: s.resumable, PrefillTokens: s.prefill, HeldTokens: s.held})
		}
	}
	slices.SortFunc(out, func(a, b Occupancy) int {
		return cmp.Or(cmp.Compare(b.PrefillTokens, a.PrefillTokens), cmp.Compare(b.Inflight, a.Inflight), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	return out[:min(most, len(out))]
}

// teller is a process that tells its load: when it did last, and the targets that it
// named then.
type teller struct {
	at    time.Time
	named []*state
}

// MergeOccupancy takes another process's whole part of the load.
func (f *Fleet) MergeOccupancy(sender string, all []Occupancy, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.news.note(sender, now)
	f.forgetTellers(now)
	f.unsay(sender)
	t := &teller{at: now}
	for _, o := range all {
		s := f.about(o.Target)
		if s == nil {
			continue
		}
		if s.others == nil {
			s.others = map[string]told{}
		}
		s.others[sender] = told{load: o, at: now}
		t.named = append(t.named, s)
	}
	f.tellers[sender] = t
}

// unsay forgets what a process said. Only the targets that it named are touched:
// two dozen others tell ten times a second, and there may be thousands of targets.
func (f *Fleet) unsay(sender string) {
	t := f.tellers[sender]
	if t == nil {
		return
	}
	for _, s := range t.named {
		delete(s.others, sender)
	}
	delete(f.tellers, sender)
}

// forgetTellers forgets the words of processes that say nothing any more: each
// start of a process has another name.
func (f *Fleet) forgetTellers(now time.Time) {
	for sender, t := range f.tellers {
		if now.Sub(t.at) >= occupancyValid {
			f.unsay(sender)
		}
	}
}

// told is what another process, or a group of them, said of one target.
type told struct {
	load Occupancy
	at   time.Time
}

// GroupOccupancy returns the load that this process and those of its group have at each
// target, as far as they told, for the other groups.
func (f *Fleet) GroupOccupancy(now time.Time) []Occupancy {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Occupancy
	for _, s := range f.states {
		if all := s.groupSum(now); all.Inflight > 0 || all.PrefillTokens > 0 {
			out = append(out, all)
		}
	}
	return out
}

// MergeGroupOccupancy takes what another group's processes have together at some
// targets; what it said of the others before stays until it is old.
func (f *Fleet) MergeGroupOccupancy(group int, all []Occupancy, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.groupNews.note(strconv.Itoa(group), now)
	for _, o := range all {
		s := f.about(o.Target)
		if s == nil {
			continue
		}
		if s.groups == nil {
			s.groups = map[int]told{}
		}
		s.groups[group] = told{load: o, at: now}
	}
}

// sum returns a target's load over all processes, as far as they told.
func (s *state) sum(now time.Time) Occupancy {
	total := s.groupSum(now)
	for _, o := range s.groups {
		total.add(o, now)
	}
	return total
}

// groupSum returns the part of a target's load that is this process's group's.
func (s *state) groupSum(now time.Time) Occupancy {
	total := Occupancy{Target: s.runner.Instance(), Inflight: s.inflight, Long: s.long, Resumable: s.resumable, PrefillTokens: s.prefill, HeldTokens: s.held}
	for _, o := range s.others {
		total.add(o, now)
	}
	return total
}

// add counts in what was told, while it holds.
func (o *Occupancy) add(t told, now time.Time) {
	if now.Sub(t.at) >= occupancyValid {
		return
	}
	o.Inflight += t.load.Inflight
	o.Long += t.load.Long
	o.Resumable += t.load.Resumable
	o.PrefillTokens += t.load.PrefillTokens
	o.HeldTokens += t.load.HeldTokens
}

// EstimateHeldTokens returns how many tokens of a target's memory a run holds that it is taken to
// have cached some of its prompt for: of what was cached about half is held by other runs
// at the same time, and a run is on average half through its output.
func EstimateHeldTokens(input, cached, output int) int {
	return input - cached/2 + output/2
}

// memoryWait returns how long a run that will hold so many tokens is expected to wait at a
// target with a load until there is memory for it: what is held is given back evenly over
// the time that runs hold theirs.
func (f *Fleet) memoryWait(q Query, load Occupancy, needs int, now time.Time) time.Duration {
	over := load.HeldTokens + needs - q.Capacity
	if q.Capacity <= 0 || over <= 0 || load.HeldTokens <= 0 || f.off[policy.MemoryBackpressure] {
		return 0
	}
	return time.Duration(float64(over) / float64(load.HeldTokens) * float64(f.engine(q.Service).MeanMemoryHold()))
}

// memoryShare is the part of a target's memory that long runs may fill where they are
// packed: the rest is for the parts that they share.
const memoryShare = 0.9

// memoryRoom returns for how many more runs like this one a target has memory.
func (f *Fleet) memoryRoom(q Query, load Occupancy) float64 {
	if q.Capacity <= 0 || f.off[policy.MemoryBackpressure] {
		return math.Inf(1)
	}
	return (memoryShare*float64(q.Capacity) - float64(load.HeldTokens)) / float64(max(1, EstimateHeldTokens(q.InputTokens, 0, q.MaxOutputTokens)))
}
