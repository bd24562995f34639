package fleet

import (
	"time"

	"acaciakeel/lru"
)

// setWeights records the version of a model that a target has and reports whether it is
// new. Versions only grow within one instance, so that a late list entry never undoes
// newer knowledge.
func (s *targetState) setWeights(model string, version int64, now time.Time) bool {
	if version <= s.weights[model] {
		return false
	}
	s.weights[model], s.weightsKnownAt[model] = version, now
	delete(s.guessedWeights, model)
	s.weightsChanged()
	return true
}

// hasWeights reports whether the target is known to serve any model.
func (s *targetState) hasWeights() bool {
	return len(s.weights)+len(s.guessedWeights) > 0
}

// version returns the version of a model that the target is assumed to have.
func (s *targetState) version(model string) int64 {
	return max(s.weights[model], s.guessedWeights[model])
}

// weightsChanged resets what is valid for the previous weights only.
func (s *targetState) weightsChanged() {
	// KV cache computed with the previous weights can't be reused.
	s.cached = lru.New()
	s.unsharedParts = nil
	s.busyUntil, s.observedBusyUntil = time.Time{}, time.Time{}
}

// GuessWeights assumes the newest desired version for a target that refused a request
// because of its weights without stating their version: it has most likely just loaded
// them. The guess steers this process's own requests only. Shared with other processes or
// used by the rollout controller, a wrong guess would suppress the load order that makes
// it true.
func (f *Fleet) GuessWeights(l Instance, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, newest := f.lookup(l), f.desired[model].newest()
	if s == nil || newest <= s.version(model) {
		return
	}
	s.guessWeights(model, newest, time.Now())
}

// guessWeights assumes a version until the target states one.
func (s *targetState) guessWeights(model string, version int64, now time.Time) {
	s.guessedWeights[model], s.weightsKnownAt[model] = version, now
	s.weightsChanged()
}

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
