package fleet

import "time"

// maxStartLead is how far ahead of this process's clock the start of a target may be: far more than
// clocks differ, so that a wrong clock here doesn't keep targets out.
const maxStartLead = time.Hour

// KnownStart returns a start that somebody states, in Unix milliseconds; 0, as if none were stated, if
// it can't be one. Of two starts the later holds, so one that is far ahead would hold for good.
func KnownStart(born int64, now time.Time) int64 {
	if born > now.Add(maxStartLead).UnixMilli() {
		return 0
	}
	return born
}

// maxDisproved bounds the targets of which a disproved start is remembered.
const maxDisproved = 4096

// knownStart is KnownStart, and 0 for a start of the target that was disproved; the caller holds mu.
// Other processes may go on telling of it for a while.
func (f *Fleet) knownStart(l Instance) int64 {
	if disproved, ok := f.disproved[l.ID]; ok && disproved == l.Born {
		return 0
	}
	return KnownStart(l.Born, time.Now())
}

// OnStartDisproved sets the function that is called when the start that was believed of a target
// turns out to be false, with the true instance and the false one. It must be set before the view is
// used; the function must not use the view, which is locked.
func (f *Fleet) OnStartDisproved(callback func(now, believed Instance)) {
	f.onStartDisproved = callback
}

// disprove replaces a target's believed start by an earlier one; the caller holds mu. What is known
// of the target stays: it has been learnt of the instance that runs.
func (f *Fleet) disprove(s *targetState, born int64, now time.Time) {
	believed := s.target.Instance()
	if len(f.disproved) >= maxDisproved {
		clear(f.disproved)
	}
	f.disproved[believed.ID] = believed.Born
	s.target.Born, s.startKnownAt = born, now
	if announced, ok := f.shutdowns[believed.ID]; ok && announced.instance == believed {
		announced.instance = s.target.Instance()
		f.shutdowns[believed.ID] = announced
	}
	f.limitsChanged = true
	if f.onStartDisproved != nil {
		f.onStartDisproved(s.target.Instance(), believed)
	}
}

// Observe records an answer of a target to a question that was asked at a time, and reports whether
// the instance that answered is the current one. Answers of others must be ignored. If it was asked
// after the current instance was first heard of and has an earlier start, there is no such later
// instance: a target that has restarted does not answer as it did before.
func (f *Fleet) Observe(l Instance, askedAt time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if believed, ok := f.disproved[l.ID]; ok && believed == l.Born {
		// The target itself says so: the list was wrong.
		delete(f.disproved, l.ID)
	}
	if s := f.states[l.ID]; s != nil && l.Born != 0 && l.Born < s.target.Born && askedAt.After(s.startKnownAt) {
		f.disprove(s, l.Born, now)
	}
	s := f.lookup(l)
	if s != nil && l.Born != 0 {
		s.heardAt = now
		if askedAt.After(s.askedAt) {
			s.askedAt = askedAt
		}
	}
	return s != nil
}

// AcceptEarlierStart believes the platform's list, which has had an entry of an earlier start of a
// target since a time, unless the target has been heard from since. It reports whether the entry
// names the current instance now.
func (f *Fleet) AcceptEarlierStart(l Instance, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[l.ID]
	if s != nil && l.Born != 0 && l.Born < s.target.Born && !s.heardAt.After(since) {
		f.disprove(s, l.Born, time.Now())
	}
	return s != nil && s.target.Born == l.Born
}
