package fleet

import (
	"maps"
	"time"
)

// Use is one process's part of a target's load, and what it learnt there.
type Use struct {
	Target   string
	Inflight int
	Long     int
	Prefill  int
	Weights  map[string]int64
	// Busy is for how long an order keeps new requests out.
	Busy time.Duration
	// Parts are those that the process had read there since it told last.
	Parts []Part
}

// Part is a part of a prompt.
type Part struct {
	Hash   uint64
	Tokens int
}

// useValid is for how long another process's word about its load counts. It
// outlasts two lost messages.
const useValid = 1500 * time.Millisecond

// newsFor is for how long weights that a target was seen to have are told; then
// the platform's list says so too.
const newsFor = 2 * time.Second

// Uses returns this process's part of the load of the targets that it uses or
// learnt something new of, to be told once: the parts that it had read there are
// not returned again.
func (f *Fleet) Uses(now time.Time) []Use {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Use
	for id, s := range f.states {
		u := Use{Target: id, Inflight: s.inflight, Long: s.long, Prefill: s.prefill, Busy: max(0, s.busyUntil.Sub(now))}
		news := now.Sub(s.learnt) < newsFor
		if s.inflight == 0 && u.Busy == 0 && !news && len(s.untold) == 0 {
			continue
		}
		u.Parts, s.untold = s.untold, nil
		if news {
			u.Weights = maps.Clone(s.weights)
		}
		out = append(out, u)
	}
	return out
}

// shared is what another process said of one target.
type shared struct {
	use Use
	at  time.Time
}

// Heard takes what another process said.
func (f *Fleet) Heard(sender string, uses []Use, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.states {
		delete(s.others, sender)
	}
	for _, u := range uses {
		s := f.states[u.Target]
		if s == nil {
			continue
		}
		for model, version := range u.Weights {
			s.learn(model, version)
		}
		if until := now.Add(u.Busy); u.Busy > 0 && until.After(s.busyUntil) {
			s.busyUntil = until
		}
		for _, p := range u.Parts {
			s.cached.use(p.Hash, p.Tokens, s.capacity, now)
		}
		if s.others == nil {
			s.others = map[string]shared{}
		}
		s.others[sender] = shared{use: u, at: now}
	}
}

// sum is a target's load over all processes, as far as they told.
type sum struct {
	inflight int
	long     int
	prefill  int
}

func (s *state) sum(now time.Time) sum {
	total := sum{inflight: s.inflight, long: s.long, prefill: s.prefill}
	for _, o := range s.others {
		if now.Sub(o.at) < useValid {
			total.inflight += o.use.Inflight
			total.long += o.use.Long
			total.prefill += o.use.Prefill
		}
	}
	return total
}
