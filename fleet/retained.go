package fleet

// maxRetained bounds the targets whose state is retained: more than any list has with a
// limit or a back-off.
const maxRetained = 1024

// retainedState is what an instance declared about itself, kept while it has no list
// entry: entries lapse during an outage of the store and may come back.
type retainedState struct {
	instance Instance
	limit    limitState
	backoff  backoffState
}

// retain keeps a target's limit and back-off when its list entry goes; the caller holds
// mu.
func (f *Fleet) retain(s *targetState) {
	if !s.limit.Declared && !s.backoff.probing {
		return
	}
	if len(f.retained) >= maxRetained {
		clear(f.retained)
	}
	f.retained[s.target.ID] = retainedState{instance: s.target.Instance(), limit: s.limit, backoff: s.backoff}
}

// restoreState returns the state for a target with a new list entry, with the limit and
// back-off that the same instance declared before; the caller holds mu.
func (f *Fleet) restoreState(l Instance) *targetState {
	s := newTargetState()
	if k, ok := f.retained[l.ID]; ok && k.instance.Matches(l) {
		s.limit, s.backoff = k.limit, k.backoff
		f.limitsChanged = true
	}
	delete(f.retained, l.ID)
	return s
}
