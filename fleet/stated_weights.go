package fleet

import "time"

// setListedWeights records the versions that the list has of a target; the caller holds mu. Targets get
// no version before operators have named it, and within an instance versions only grow, so a false one
// that is too high would hold for good: requests that expect it are refused, and no load order follows.
// Where nothing is named yet, any version may be the first.
func (f *Fleet) setListedWeights(s *targetState, weights map[string]int64, now time.Time) {
	for model, version := range weights {
		if f.mayBeNamed(model, version) {
			s.setWeights(model, version, now)
		}
	}
}

// mergeWeights records the versions that another process states of a target; the caller holds mu. One
// that is not known here to be named is a guess: this process may be cut off, or the other wrong.
func (f *Fleet) mergeWeights(s *targetState, weights map[string]int64, now time.Time) {
	f.setListedWeights(s, weights, now)
	for model, version := range weights {
		if !f.mayBeNamed(model, version) && version > s.version(model) {
			s.guessWeights(model, version, now)
		}
	}
}

// mayBeNamed reports whether operators may have named a version, as far as this process knows.
func (f *Fleet) mayBeNamed(model string, version int64) bool {
	newest := f.desired[model].newest()
	return newest == 0 || version <= newest
}

// RecordAnsweredWeights records the version that a target stated in its answer to a question which was
// asked at a time. A lower version than is believed disproves that if it was asked after the belief
// began: versions only grow within an instance.
func (f *Fleet) RecordAnsweredWeights(l Instance, model string, version int64, askedAt, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.lookup(l)
	if s == nil || version < 1 {
		return
	}
	if s.setWeights(model, version, now) {
		s.weightsSeenAt = now
		return
	}
	if version < s.version(model) && askedAt.After(s.weightsKnownAt[model]) {
		s.weights[model], s.weightsKnownAt[model] = version, now
		delete(s.guessedWeights, model)
		s.weightsChanged()
	}
}

// DoubtsWeights reports whether an entry of the list names a lower version than is believed of the
// target, which nobody has named: the target is to be asked.
func (f *Fleet) DoubtsWeights(r Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.lookup(r.Instance())
	if s == nil {
		return false
	}
	for model, version := range r.Weights {
		if believed := s.weights[model]; version < believed && believed > f.desired[model].newest() {
			return true
		}
	}
	return false
}
