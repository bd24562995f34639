package fleet

import (
	"time"

	"acaciakeel/policy"
)

// Bounds of the probes of one process. A probe of a target that does not respond costs it
// two packets and some 0.1 ms of processor time.
const (
	maxProbes       = 48
	probesPerSecond = 24
	// controlAge is how long ago a target must have responded to be probed as a control:
	// without requests, this process can't tell otherwise whether others respond.
	controlAge = 300 * time.Millisecond
	// maxControls is the number of controls in one round.
	maxControls = 8
	// silentWindow is for how long a failed probe counts as evidence that this process may
	// be cut off.
	silentWindow = 3 * time.Second
)

// Times without bytes after which a request is overdue, where a service is known less
// well. They only start a probe.
const (
	minOverdue     = 300 * time.Millisecond
	maxOverdue     = time.Second
	defaultOverdue = 500 * time.Millisecond
)

// Reports of unresponsive targets to other processes. A target is named by at most one
// process in reportSuppression as far as these hear each other, and at most
// maxUnresponsiveReports fit in one update, so that a loss of hundreds of targets does not
// fill the links.
const (
	unresponsiveInterval   = 500 * time.Millisecond
	reportSuppression      = 400 * time.Millisecond
	maxUnresponsiveReports = 20
)

// ResponseChange is a target that became unresponsive or responds again.
type ResponseChange struct {
	Target       Instance
	Unresponsive bool
	// Own is set if this process's own evidence sufficed; otherwise others reported it.
	Own bool
	// Reported is set if other processes reported it before.
	Reported bool
	// SilentFor is the time since its last response to this process, 0 if there was none,
	// and For how long it was considered unresponsive.
	SilentFor time.Duration
	For       time.Duration
	// Failures is the number of failed probes, GivenUp the number of requests given up.
	Failures int
	GivenUp  int
}

// ResponseCheck is what follows from the evidence at a moment.
type ResponseCheck struct {
	// Probes are the targets to probe now; the result of each must be recorded.
	Probes  []Target
	Changes []ResponseChange
	// GiveUp are functions to call, which end attempts at unresponsive targets.
	GiveUp []func()
	// Unresponsive is the number of unresponsive targets.
	Unresponsive int
}

// CheckResponses decides which targets do not respond and which are to be probed. It is
// called several times a second.
func (f *Fleet) CheckResponses(now time.Time) (out ResponseCheck) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disabled[policy.ResponseChecks] {
		return out
	}
	out.GiveUp, f.orphaned = f.orphaned, nil
	var due []*targetState
	for _, s := range f.states {
		if len(s.active) == 0 && !s.cache.unresponsive && !s.reportedUnresponsive && s.response.Idle(now) {
			continue
		}
		if s.hasOverdue(now) {
			s.response.Suspect(true, now)
		} else if s.cache.unresponsive {
			s.response.Suspect(false, now)
		}
		established := s.response.Establish(now)
		if change, ok := s.noteUnresponsive(now); ok || established {
			change.GivenUp, change.Reported = len(out.GiveUp), !ok
			out.GiveUp = s.giveUpRequests(out.GiveUp, established, now)
			change.GivenUp = len(out.GiveUp) - change.GivenUp
			out.Changes = append(out.Changes, change)
		} else if change.Own {
			out.GiveUp = s.giveUpRequests(out.GiveUp, false, now)
		}
		if s.reportedUnresponsive {
			out.Unresponsive++
		}
		if s.response.ProbeDue(now) {
			due = append(due, s)
		}
	}
	out.Probes = f.startProbes(due, now)
	return out
}

// noteUnresponsive returns the target's present state, and whether it changed since the
// last check.
func (s *targetState) noteUnresponsive(now time.Time) (ResponseChange, bool) {
	unresponsive, own := s.response.Unresponsive(now)
	_, failures := s.response.LastFailure()
	change := ResponseChange{Target: s.target.Instance(), Unresponsive: unresponsive, Own: own, Failures: failures}
	if at := s.response.LastResponse(); !at.IsZero() {
		change.SilentFor = now.Sub(at)
	}
	if unresponsive == s.reportedUnresponsive {
		return change, false
	}
	s.reportedUnresponsive = unresponsive
	if unresponsive {
		s.unresponsiveSince = now
		return change, true
	}
	change.For = now.Sub(s.unresponsiveSince)
	if !s.response.LastResponse().Before(s.unresponsiveSince) {
		// Failures before say nothing about a target that responds again, and their probe
		// interval would keep requests away for up to five seconds.
		s.health.RecordSuccess()
	}
	return change, true
}

// hasOverdue reports whether a request of this process at the target is overdue.
func (s *targetState) hasOverdue(now time.Time) bool {
	for t := range s.active {
		if t.overdue(now) {
			return true
		}
	}
	return false
}

// giveUpRequests appends the functions that end the requests at an unresponsive target:
// all of them, or those that are overdue.
func (s *targetState) giveUpRequests(out []func(), all bool, now time.Time) []func() {
	for t := range s.active {
		if t.progress.giveUp != nil && (all || t.overdue(now)) {
			out = append(out, t.progress.giveUp)
			t.progress.giveUp = nil
		}
	}
	return out
}

// abandonSilent has the requests at a target given up that leaves the list while it does
// not answer probes: no further probe can show whether it responds.
func (f *Fleet) abandonSilent(s *targetState, now time.Time) {
	if _, failures := s.response.LastFailure(); failures > 0 && !s.target.Draining && !f.disabled[policy.ResponseChecks] {
		f.orphaned = s.giveUpRequests(f.orphaned, true, now)
	}
}

// probeRank orders the targets that are due to be probed: first those with requests of
// this process that fail probes, last those that are known not to respond.
func (s *targetState) probeRank(now time.Time) int {
	_, failures := s.response.LastFailure()
	_, own := s.response.Unresponsive(now)
	switch {
	case own:
		return 3
	case s.inflight > 0 && failures > 0:
		return 0
	case s.inflight > 0:
		return 1
	}
	return 2
}

// isUnresponsive reports whether a target gets no new requests because it does not
// respond.
func (s *targetState) isUnresponsive(now time.Time) bool {
	unresponsive, _ := s.response.Unresponsive(now)
	return unresponsive || s.cache.unresponsive
}

// unresponsiveUpdate returns whether an update to the other processes is to name the target
// as unresponsive, and the age of this process's evidence. Only own evidence is reported:
// what others reported would circulate.
func (s *targetState) unresponsiveUpdate(reports *int, now time.Time) (age time.Duration, ok bool) {
	if _, own := s.response.Unresponsive(now); !own || *reports >= maxUnresponsiveReports {
		return 0, false
	}
	if now.Sub(s.unresponsiveSharedAt) < unresponsiveInterval || now.Sub(s.unresponsiveReportedAt) < reportSuppression {
		return 0, false
	}
	*reports++
	s.unresponsiveSharedAt = now
	at, _ := s.response.LastFailure()
	return now.Sub(at), true
}

// mergeUnresponsive applies another process's report that a target does not respond; the
// caller holds mu.
func (f *Fleet) mergeUnresponsive(s *targetState, age time.Duration, now time.Time) {
	if f.disabled[policy.ResponseChecks] {
		return
	}
	s.unresponsiveReportedAt = now
	s.response.RecordReport(now.Add(-age), now)
}
