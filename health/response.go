package health

import "time"

// Timing and evidence of unresponsiveness.
const (
	// ProbeTimeout bounds one probe. A connection takes one network round trip, a few
	// milliseconds; the rest is for a lost packet or a busy machine.
	ProbeTimeout = 300 * time.Millisecond
	// reprobeDelay is the time between the first probes without an answer. Further ones
	// follow at twice the time each, up to maxReprobeDelay: this bounds how late the
	// recovery of a target without requests is noticed.
	reprobeDelay    = 100 * time.Millisecond
	maxReprobeDelay = 2 * time.Second
	// minSilence is the minimum time from the start of the first failed probe until a
	// target counts as unresponsive. With the time until a request is overdue, a target
	// that is paused for a second is not given up.
	minSilence = 700 * time.Millisecond
	// Failed probes needed: overdueProbes if requests there are overdue, reportedProbes if
	// another entry reports the target as unresponsive, idleProbes without either.
	overdueProbes  = 2
	reportedProbes = 1
	idleProbes     = 3
	// reportTTL is for how long a report of another entry is trusted, counted from the
	// reporter's evidence. It covers the reporter's longest probe interval and the way of
	// its next report.
	reportTTL = maxReprobeDelay + time.Second
	// evidenceTTL is for how long this entry's last failed probe counts. The next one
	// follows sooner, unless hundreds of targets share the bound on probes; then the
	// reports of the entries that probe a target decide.
	evidenceTTL = 2 * maxReprobeDelay
	// disputeTime is for how long reports only lead to probes after a response contradicted
	// one: the reporter may be cut off from a target that responds here.
	disputeTime = 3 * time.Second
	// disputeProbeInterval is the least time between a probe that contradicts a report and
	// the next one for a report.
	disputeProbeInterval = time.Second
	// minCalm and maxCalm bound the time for which a target that accepts a probe is not
	// suspected again. It doubles until the target responds to a request, so that a target
	// that hangs but accepts connections costs one probe in maxCalm.
	minCalm = 500 * time.Millisecond
	maxCalm = 2 * time.Second
	// minHeardShare is the least share of the targets with recent evidence that must have
	// responded to this entry. Below it, this entry is more likely to be cut off. A loss
	// of two thirds of the targets is still detected.
	minHeardShare = 0.25
)

// ResponseTracker decides whether one target responds, as seen by one entry. The zero
// value is a responsive target. It does no I/O and is not safe for concurrent use.
type ResponseTracker struct {
	lastResponse time.Time
	// suspected is set while probes are to show whether the target responds. overdue is
	// set if requests there are overdue.
	suspected, overdue bool
	// failures counts the probes without an answer since the last response, confirmed
	// those of them that were started while other targets responded. firstFailure is when
	// the first of them was started, lastFailure when the last one failed.
	failures, confirmed       int
	firstFailure, lastFailure time.Time
	probing, probeConfirms    bool
	nextProbe                 time.Time
	calm                      time.Duration
	calmUntil                 time.Time
	acceptedAt                time.Time
	// since is when this entry's own evidence sufficed; zero before.
	since time.Time
	// reportedUntil is until when the reports of other entries are evidence beside a failed
	// probe, trustedUntil until when they suffice alone. A report before disputedUntil does
	// not.
	reportedUntil, trustedUntil, disputedUntil time.Time
}

// Suspect records a sign that the target may not respond; overdue is set if requests there
// have produced no bytes for longer than expected.
func (t *ResponseTracker) Suspect(overdue bool, now time.Time) {
	if !t.suspected && now.Before(t.calmUntil) {
		return
	}
	if !t.suspected {
		t.suspected, t.nextProbe = true, now
	}
	t.overdue = t.overdue || overdue
}

// RecordResponse records bytes of the target.
func (t *ResponseTracker) RecordResponse(now time.Time) {
	t.responded(now)
	t.calm, t.calmUntil = 0, time.Time{}
}

func (t *ResponseTracker) responded(now time.Time) {
	if now.Before(t.reportedUntil) {
		t.disputedUntil = now.Add(disputeTime)
	}
	t.lastResponse = now
	t.suspected, t.overdue = false, false
	t.failures, t.confirmed, t.firstFailure = 0, 0, time.Time{}
	t.since, t.reportedUntil, t.trustedUntil = time.Time{}, time.Time{}, time.Time{}
}

// RecordReport records that another entry considered the target unresponsive at a time.
func (t *ResponseTracker) RecordReport(evidence, now time.Time) {
	until := evidence.Add(reportTTL)
	if t.lastResponse.After(evidence) || !now.Before(until) {
		return
	}
	if until.After(t.reportedUntil) {
		t.reportedUntil = until
	}
	if !now.Before(t.disputedUntil) {
		t.trustedUntil = t.reportedUntil
	} else if now.Sub(t.acceptedAt) < disputeProbeInterval {
		return
	}
	if !t.suspected {
		t.suspected, t.nextProbe = true, now
	}
}

// ProbeDue reports whether the target is to be probed now.
func (t *ResponseTracker) ProbeDue(now time.Time) bool {
	return t.suspected && !t.probing && !now.Before(t.nextProbe)
}

// StartProbe records the start of a probe. heard is the number of other targets that
// responded since FailingSince, silent the number of those whose probes failed.
func (t *ResponseTracker) StartProbe(heard, silent int) {
	t.probing = true
	t.probeConfirms = t.failures > 0 && heard > 0 && float64(heard) >= minHeardShare*float64(heard+silent)
}

// RecordProbe records the result of a probe.
func (t *ResponseTracker) RecordProbe(startedAt time.Time, responded bool, now time.Time) {
	t.probing = false
	switch {
	case responded && t.suspected:
		t.acceptedAt = now
		t.calm = min(max(2*t.calm, minCalm), maxCalm)
		t.calmUntil = now.Add(t.calm)
		t.responded(now)
		return
	case responded:
		t.responded(now)
		return
	case !t.lastResponse.Before(startedAt):
		return
	case now.Sub(startedAt) > 2*ProbeTimeout:
		// This process itself was paused, and an answer may have arrived in the meantime.
		t.nextProbe = now
		return
	}
	if t.failures == 0 {
		t.firstFailure = startedAt
	}
	t.suspected = true
	t.failures++
	if t.probeConfirms {
		t.confirmed++
	}
	t.lastFailure = now
	t.nextProbe = now.Add(min(reprobeDelay<<min(max(0, t.failures-2), 8), maxReprobeDelay))
}

// AbandonProbe records that the probe was not sent, or that its failure proves nothing.
func (t *ResponseTracker) AbandonProbe(now time.Time) {
	t.probing = false
	t.nextProbe = now.Add(reprobeDelay)
}

// Establish decides whether this entry's own evidence now suffices to consider the target
// unresponsive, and reports whether it did not before.
func (t *ResponseTracker) Establish(now time.Time) bool {
	if t.failures > 0 && now.Sub(t.lastFailure) >= evidenceTTL {
		t.suspected, t.overdue = now.Before(t.reportedUntil), false
		t.failures, t.confirmed, t.firstFailure = 0, 0, time.Time{}
		t.since = time.Time{}
	}
	if !t.since.IsZero() || t.failures == 0 {
		return false
	}
	reported := now.Before(t.reportedUntil)
	needed := idleProbes
	switch {
	case reported:
		needed = reportedProbes
	case t.overdue:
		needed = overdueProbes
	}
	if t.failures < needed || (!reported && (t.confirmed == 0 || now.Sub(t.firstFailure) < minSilence)) {
		return false
	}
	t.since = now
	return true
}

// Unresponsive reports whether the target is considered unresponsive, and whether by this
// entry's own evidence.
func (t *ResponseTracker) Unresponsive(now time.Time) (unresponsive, own bool) {
	own = !t.since.IsZero()
	return own || now.Before(t.trustedUntil), own
}

// Idle reports whether nothing is known against the target and no probe is in progress.
func (t *ResponseTracker) Idle(now time.Time) bool {
	return !t.suspected && !t.probing && t.failures == 0 && t.since.IsZero() && !now.Before(t.reportedUntil)
}

// Probing reports whether a probe is in progress.
func (t *ResponseTracker) Probing() bool { return t.probing }

// LastResponse returns when the target last responded to this entry.
func (t *ResponseTracker) LastResponse() time.Time { return t.lastResponse }

// FailingSince returns when the first probe without an answer since the last response was
// started; zero if there is none.
func (t *ResponseTracker) FailingSince() time.Time { return t.firstFailure }

// LastFailure returns when the last probe failed, and how many have since the last response.
func (t *ResponseTracker) LastFailure() (at time.Time, failures int) {
	return t.lastFailure, t.failures
}
