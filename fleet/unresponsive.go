package fleet

import (
	"cmp"
	"slices"
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

// responseTime is the usual time until something happens, learnt like the retransmission time-out
// of TCP: mean and mean deviation, smoothed over about ten samples.
type responseTime struct {
	mean, deviation time.Duration
	samples         int
}

func (p *responseTime) observe(d time.Duration) {
	if p.samples == 0 {
		p.mean, p.deviation = d, d/2
	} else {
		p.deviation += ((d - p.mean).Abs() - p.deviation) / 4
		p.mean += (d - p.mean) / 8
	}
	p.samples++
}

// limit returns the time after which something is overdue.
func (p *responseTime) limit() time.Duration {
	if p.samples < 8 {
		return defaultOverdue
	}
	return min(max(p.mean+4*p.deviation, minOverdue), maxOverdue)
}

// responseTimes are the usual times of a service's responses: of their first bytes and of the pauses
// between events.
type responseTimes struct{ first, gap responseTime }

// responseTimes returns the usual times of a service; the caller holds mu.
func (f *Fleet) responseTimes(service string) *responseTimes {
	p := f.responseTimesByService[service]
	if p == nil {
		p = &responseTimes{}
		f.responseTimesByService[service] = p
	}
	return p
}

// progress is what is known of the bytes of one request's response.
type progress struct {
	// lastByte is when the last bytes arrived; zero before the first.
	lastByte time.Time
	started  bool
	// giveUp ends the attempt; nil if it can't be ended or already was.
	giveUp func()
}

// OnUnresponsive sets the function that ends the attempt when its target is found to be
// unresponsive. It must not block.
func (t *ActiveRequest) OnUnresponsive(giveUp func()) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.progress.giveUp = giveUp
}

// Responded records the header of the response.
func (t *ActiveRequest) Responded(now time.Time) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.state == nil {
		return
	}
	if t.load.PromptTokens == 0 {
		t.fleet.responseTimes(t.state.target.Service).first.observe(now.Sub(t.began))
		t.progress.started = true
	}
	t.progress.lastByte = now
	t.state.response.RecordResponse(now)
}

// EventReceived records the arrival of an event of the response. It precedes FirstEvent.
func (t *ActiveRequest) EventReceived(now time.Time) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.state == nil {
		return
	}
	p := t.fleet.responseTimes(t.state.target.Service)
	if t.firstAt.IsZero() {
		p.first.observe(now.Sub(t.began))
	} else {
		p.gap.observe(now.Sub(t.progress.lastByte))
	}
	t.progress.lastByte, t.progress.started = now, true
	t.state.response.RecordResponse(now)
}

// overdue reports whether a request should have produced bytes by now. Any bytes from its
// target count: one that works on other requests responds.
func (t *ActiveRequest) overdue(now time.Time) bool {
	p := t.fleet.responseTimes(t.state.target.Service)
	limit := p.gap.limit()
	if !t.progress.started {
		limit = min(max(p.first.limit(), 2*t.load.ExpectedFirst), maxOverdue)
	}
	since := t.began
	for _, at := range []time.Time{t.progress.lastByte, t.state.response.LastResponse()} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since) > limit
}

// RecordResponse records that a target responded to this process other than to a request.
func (f *Fleet) RecordResponse(l Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil {
		s.response.RecordResponse(now)
	}
}

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

// An answer to a probe that took longer than congestedProbe shows that this process's own
// link or VM is slow; connections take a few milliseconds. Probes that fail within
// congestionHold of it confirm nothing.
const (
	congestedProbe = 60 * time.Millisecond
	congestionHold = 2 * time.Second
	// congestionPause is for how long after a hold the slow answers of the target that
	// caused it cause no other: that target is slow, and is probed about as often as
	// congestionHold, so that no loss of others would ever be confirmed.
	congestionPause = 2 * congestionHold
)

// noteSlowAnswer records that a target took longer than congestedProbe to answer a probe;
// the caller holds mu.
func (f *Fleet) noteSlowAnswer(target string, now time.Time) {
	if target == f.congestedBy && now.Before(f.congestedUntil.Add(congestionPause)) {
		return
	}
	f.congestedUntil, f.congestedBy = now.Add(congestionHold), target
}

// startProbes starts the probes that are due, within the bounds, by their rank. If too few
// others responded lately to tell whether this process is cut off, some of them are probed
// too.
func (f *Fleet) startProbes(due []*targetState, now time.Time) []Target {
	f.probeBudget = min(maxProbes, f.probeBudget+probesPerSecond*now.Sub(f.probeBudgetAt).Seconds())
	f.probeBudgetAt = now
	if len(due) == 0 {
		return nil
	}
	slices.SortFunc(due, func(a, b *targetState) int {
		return cmp.Or(a.probeRank(now)-b.probeRank(now), a.probedAt.Compare(b.probedAt))
	})
	var out []Target
	start := func(s *targetState, heard, silent int) bool {
		if f.probeBudget < 1 || f.probesInFlight >= maxProbes {
			return false
		}
		f.probeBudget--
		f.probesInFlight++
		s.probedAt = now
		s.response.StartProbe(heard, silent)
		out = append(out, s.target)
		return true
	}
	var all *responseEvidence
	controls := 0
	for _, s := range due {
		if _, own := s.response.Unresponsive(now); own {
			if !start(s, 0, 0) {
				break
			}
			continue
		}
		if all == nil {
			all = f.evidence(now)
		}
		heard, silent := all.others(s, now)
		if now.Before(f.congestedUntil) {
			// This process's own link is slow: a probe without an answer proves nothing.
			heard = 0
		}
		if heard <= silent && controls < maxControls {
			controls++
		}
		if !start(s, heard, silent) {
			break
		}
	}
	for _, s := range f.controls(controls, now) {
		start(s, 0, 0)
	}
	return out
}

// responseEvidence is what this process knows of all targets at a moment: when those that
// nothing is known against last responded, in order, and how many have not answered a
// probe lately.
type responseEvidence struct {
	responses []time.Time
	silent    int
}

func (f *Fleet) evidence(now time.Time) *responseEvidence {
	e := &responseEvidence{responses: make([]time.Time, 0, len(f.states))}
	for _, s := range f.states {
		if s.isSilent(now) {
			e.silent++
		} else if at := s.response.LastResponse(); !at.IsZero() {
			e.responses = append(e.responses, at)
		}
	}
	slices.SortFunc(e.responses, time.Time.Compare)
	return e
}

// isSilent reports whether the target has not answered a probe lately.
func (s *targetState) isSilent(now time.Time) bool {
	at, failures := s.response.LastFailure()
	return failures > 0 && now.Sub(at) < silentWindow
}

// others returns how many other targets responded since the first failed probe of one,
// and how many have not answered a probe lately.
func (e *responseEvidence) others(s *targetState, now time.Time) (heard, silent int) {
	since := s.response.FailingSince()
	if since.IsZero() {
		return 0, e.silent
	}
	first, _ := slices.BinarySearchFunc(e.responses, since, time.Time.Compare)
	heard, silent = len(e.responses)-first, e.silent
	if s.isSilent(now) {
		silent--
	} else if !s.response.LastResponse().Before(since) {
		heard--
	}
	return heard, silent
}

// controls returns up to n targets that nothing is known against and that have not been
// heard from for a moment, those that were probed longest ago first.
func (f *Fleet) controls(n int, now time.Time) []*targetState {
	if n == 0 {
		return nil
	}
	var out []*targetState
	for _, s := range f.states {
		_, failures := s.response.LastFailure()
		if failures == 0 && !s.response.ProbeDue(now) && !s.response.Probing() && now.Sub(s.response.LastResponse()) >= controlAge {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *targetState) int { return a.probedAt.Compare(b.probedAt) })
	return out[:min(n, len(out))]
}

// RecordProbe records the result of a probe that CheckResponses asked for. A target that
// refuses the connection responds.
func (f *Fleet) RecordProbe(l Instance, startedAt time.Time, responded bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probesInFlight--
	if responded && now.Sub(startedAt) > congestedProbe {
		f.noteSlowAnswer(l.ID, now)
	}
	s := f.states[l.ID]
	if s == nil || !s.target.Instance().Matches(l) {
		return
	}
	if _, own := s.response.Unresponsive(now); !responded && !own && now.Before(f.congestedUntil) {
		// Otherwise the report of another process and this probe would be own evidence,
		// which is reported in turn.
		s.response.AbandonProbe(now)
		return
	}
	s.response.RecordProbe(startedAt, responded, now)
}

// AbandonProbe records that a probe that CheckResponses asked for was not sent.
func (f *Fleet) AbandonProbe(l Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probesInFlight--
	if s := f.states[l.ID]; s != nil && s.target.Instance().Matches(l) {
		s.response.AbandonProbe(now)
	}
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
