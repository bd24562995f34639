package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Occupancy is one process's part of a target's load.
type Occupancy struct {
	Target Life
	// Inflight counts requests, Long those of them that take seconds, Resumable
	// those that another target could go on with.
	Inflight  int
	Long      int
	Resumable int
	// Prefill is the prompt tokens that are still to be read.
	Prefill int
}

// occupancyValid is for how long another process's word about its load counts. It
// outlasts a few lost messages.
const occupancyValid = 1500 * time.Millisecond

// Occupied returns this process's part of the load of the most targets that it
// uses, those with the most to read first.
func (f *Fleet) Occupied(most int) []Occupancy {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Occupancy
	for _, s := range f.states {
		if s.inflight > 0 {
			out = append(out, Occupancy{Target: s.runner.Life(), Inflight: s.inflight, Long: s.long, Resumable: s.resumable, Prefill: s.prefill})
		}
	}
	slices.SortFunc(out, func(a, b Occupancy) int {
		return cmp.Or(cmp.Compare(b.Prefill, a.Prefill), cmp.Compare(b.Inflight, a.Inflight), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	return out[:min(most, len(out))]
}

// HeardLoad takes another process's whole part of the load.
func (f *Fleet) HeardLoad(sender string, all []Occupancy, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.news.note(sender, now)
	for _, s := range f.states {
		delete(s.others, sender)
		s.forgetOthers(now)
	}
	for _, o := range all {
		s := f.about(o.Target)
		if s == nil {
			continue
		}
		if s.others == nil {
			s.others = map[string]told{}
		}
		s.others[sender] = told{load: o, at: now}
	}
}

// forgetOthers forgets the words of processes that say nothing any more: each
// start of a process has another name.
func (s *state) forgetOthers(now time.Time) {
	for sender, o := range s.others {
		if now.Sub(o.at) >= occupancyValid {
			delete(s.others, sender)
		}
	}
}

// told is what another process said of one target.
type told struct {
	load Occupancy
	at   time.Time
}

// sum returns a target's load over all processes, as far as they told.
func (s *state) sum(now time.Time) Occupancy {
	total := Occupancy{Target: s.runner.Life(), Inflight: s.inflight, Long: s.long, Resumable: s.resumable, Prefill: s.prefill}
	for _, o := range s.others {
		if now.Sub(o.at) < occupancyValid {
			total.Inflight += o.load.Inflight
			total.Long += o.load.Long
			total.Resumable += o.load.Resumable
			total.Prefill += o.load.Prefill
		}
	}
	return total
}
