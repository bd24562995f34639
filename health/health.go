// Package health tracks the health of one target as seen by one entry, from the results of
// its own requests: live, suspect or dead, with a gradual recovery. It does no I/O and is
// not safe for concurrent use.
package health

import "time"

// State is the health of a target.
type State string

const (
	Live State = "live"
	// Suspect targets receive requests, but with a penalty.
	Suspect State = "suspect"
	// Dead targets receive one probe request at a time.
	Dead State = "dead"
)

const (
	// deadThreshold is the number of consecutive failures that make a target dead.
	deadThreshold = 2
	// minProbeInterval and maxProbeInterval bound the time between probes of a dead target.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 5 * time.Second
	// maxPenalty is the cost added to a target that has just failed. It halves every
	// penaltyHalfLife, so that the target regains its load gradually.
	maxPenalty      = 500 * time.Millisecond
	penaltyHalfLife = time.Second
	// minPenalty is the penalty below which a target counts as live.
	minPenalty = 5 * time.Millisecond
)

// Tracker tracks the health of one target. The zero value is live.
type Tracker struct {
	failures      int
	probeInterval time.Duration
	nextProbeAt   time.Time
	penalty       time.Duration
	penaltyAt     time.Time
}

// RecordFailure records a failed request, whether the target could not be reached or failed
// itself.
func (t *Tracker) RecordFailure(now time.Time) {
	t.failures++
	t.penalty = maxPenalty
	t.penaltyAt = now
	if t.failures < deadThreshold {
		return
	}
	t.probeInterval = min(max(2*t.probeInterval, minProbeInterval), maxProbeInterval)
	t.nextProbeAt = now.Add(t.probeInterval)
}

// RecordConnectFailure records a failure to connect. It makes the target dead at once, as a
// target that does not respond at all needs no second failure.
func (t *Tracker) RecordConnectFailure(now time.Time) {
	t.failures = max(t.failures, deadThreshold-1)
	t.RecordFailure(now)
}

// RecordSuccess records a successful request.
func (t *Tracker) RecordSuccess() {
	t.failures = 0
	t.probeInterval = 0
}

// State returns the health of the target at the given time.
func (t *Tracker) State(now time.Time) State {
	switch {
	case t.failures >= deadThreshold:
		return Dead
	case t.Penalty(now) > 0:
		return Suspect
	}
	return Live
}

// AllowRequest reports whether a request may be sent to the target now. A dead target is
// allowed one request when its probe interval has passed; the call starts the next
// interval, so that only one probe is sent at a time.
func (t *Tracker) AllowRequest(now time.Time) bool {
	return t.AllowRequestWithin(maxProbeInterval, now)
}

// AllowRequestWithin is AllowRequest with at most limit between two probes, for a request that waits
// for the target's return.
func (t *Tracker) AllowRequestWithin(limit time.Duration, now time.Time) bool {
	if t.failures < deadThreshold {
		return true
	}
	if now.Before(t.nextProbeAt.Add(min(limit, t.probeInterval) - t.probeInterval)) {
		return false
	}
	t.nextProbeAt = now.Add(t.probeInterval)
	return true
}

// Penalty returns the cost that recent failures add now.
func (t *Tracker) Penalty(now time.Time) time.Duration {
	p := t.penalty
	for since := now.Sub(t.penaltyAt); p > 0 && since >= penaltyHalfLife; since -= penaltyHalfLife {
		p /= 2
		if p < minPenalty {
			return 0
		}
	}
	return p
}
