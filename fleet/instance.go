package fleet

import "time"

// Instance is one run of a target, from its start to its end. A target may restart under
// the same ID with none of its former state, so all that is known of it belongs to one
// instance, and the latest one is current.
type Instance struct {
	ID string
	// Born is the Unix millisecond of its start; 0 if not stated.
	Born int64
}

// Matches reports whether both may be the same instance: one without a start matches any
// of the same target.
func (l Instance) Matches(other Instance) bool {
	return l.ID == other.ID && (l.Born == other.Born || l.Born == 0 || other.Born == 0)
}

// Instance returns the instance that the target is in.
func (r Target) Instance() Instance {
	return Instance{ID: r.ID, Born: r.Born}
}

// OnRestart sets the function that is called when a later instance is first observed,
// with that one and the one it replaces. It must be set before the view is used; the
// function must not use the view, which is locked.
func (f *Fleet) OnRestart(callback func(now, former Instance)) {
	f.onRestart = callback
}

// OnEnd sets the function that is called with each instance observed to have ended. It
// must be set before the view is used; the function must not use the view, which is
// locked.
func (f *Fleet) OnEnd(callback func(Instance)) {
	f.onEnd = callback
}

// Born returns the start of a target's current instance; 0 if it is not known.
func (f *Fleet) Born(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.states[id]; s != nil {
		return s.target.Born
	}
	return 0
}

// IsCurrent reports whether an instance is the target's current one, and listed.
func (f *Fleet) IsCurrent(l Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isCurrent(l)
}

func (f *Fleet) isCurrent(l Instance) bool {
	s := f.states[l.ID]
	return s != nil && s.target.Instance().Matches(l)
}

// lookup returns the state that a message of an instance applies to. The first message of
// a later instance replaces the former one; for a former instance or an unlisted target
// the result is nil. All state is reached through lookup, so that no late message can
// bring a former instance back.
func (f *Fleet) lookup(l Instance) *targetState {
	s := f.states[l.ID]
	l.Born = f.knownStart(l)
	switch {
	case s == nil || l.Born == 0 || l.Born == s.target.Born:
		return s
	case s.target.Born == 0:
		s.target.Born, s.startKnownAt = l.Born, time.Now()
		return s
	case l.Born < s.target.Born:
		return nil
	}
	return f.restart(s, l.Born)
}

// restart replaces a target's state with that of its new instance. References to the
// former state, such as an ActiveRequest there, keep counting on that alone: counted out
// of the new state, they would make a full target look idle. The listed address and data
// centre stay until the next list entry. The weights are likely those of before, which
// the new instance's first report confirms or corrects, also downwards.
func (f *Fleet) restart(former *targetState, born int64) *targetState {
	s := newTargetState()
	s.target, s.candidate, s.capacity = former.target, former.candidate, former.capacity
	s.target.Born, s.startKnownAt, s.restartUnshared = born, time.Now(), true
	s.buildUnlisted = true
	if !former.shutdownAt.IsZero() {
		s.target.Draining = former.listedDraining
		s.updateCandidate()
	}
	for model, version := range former.weights {
		s.guessedWeights[model] = version
	}
	f.states[s.target.ID] = s
	f.dropPendingSaves(s.target.ID)
	f.regroupNeeded, f.limitsChanged = true, true
	if f.onRestart != nil {
		f.onRestart(s.target.Instance(), former.target.Instance())
	}
	return s
}

// dropPendingSaves forgets the parts that a target was to send to stores: its former
// instance may have ended before it did, and no other target would send them for a while.
func (f *Fleet) dropPendingSaves(id string) {
	for _, k := range f.stores {
		for hash, save := range k.pendingSaves {
			if save.sender == id {
				delete(k.pendingSaves, hash)
			}
		}
	}
}

// currentIDs returns the target IDs of those instances that are current.
func (f *Fleet) currentIDs(instances []Instance) []string {
	var ids []string
	for _, l := range instances {
		if f.isCurrent(l) {
			ids = append(ids, l.ID)
		}
	}
	return ids
}
