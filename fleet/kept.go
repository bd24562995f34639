package fleet

// keptMost bounds how many targets' words are kept beyond their entries: more than any
// list has targets in need.
const keptMost = 1024

// keptWords are what a life said of itself, kept while the list has no entry of it: the
// entry lapses around an outage of the store, and may come back.
type keptWords struct {
	life  Instance
	limit limitWord
	rest  rest
}

// keep keeps a target's words as its entry goes; the caller holds mu.
func (f *Fleet) keep(s *state) {
	if !s.limit.Declared && !s.rest.proving {
		return
	}
	if len(f.kept) >= keptMost {
		clear(f.kept)
	}
	f.kept[s.runner.ID] = keptWords{life: s.runner.Instance(), limit: s.limit, rest: s.rest}
}

// returned returns the state of a target whose entry is new, with what the same life said
// before; the caller holds mu.
func (f *Fleet) returned(l Instance) *state {
	s := newState()
	if k, ok := f.kept[l.ID]; ok && k.life.Matches(l) {
		s.limit, s.rest = k.limit, k.rest
		f.relimit = true
	}
	delete(f.kept, l.ID)
	return s
}
