// Package health keeps one entry's opinion of one target, from what its own
// messages met: live, suspect or dead, and back by degrees. It is pure and
// not safe for concurrent use.
package health

import "time"

// State is an entry's opinion of a target.
type State string

// The states of a target.
const (
	Live State = "live"
	// Suspect targets are asked, but with a penalty.
	Suspect State = "suspect"
	// Dead targets get one probe at a time.
	Dead State = "dead"
)

// Constants of the opinion.
const (
	// deadThreshold is how many failures in a row make a target dead.
	deadThreshold = 2
	// minProbeInterval and maxPause bound how long a dead target is left alone.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 5 * time.Second
	// maxPenalty is the cost of a target that has just failed; it halves
	// every penaltyHalfLife, so that the target gets its work back by degrees.
	maxPenalty      = 500 * time.Millisecond
	penaltyHalfLife = time.Second
	// minPenalty is the penalty below which a target counts as live.
	minPenalty = 5 * time.Millisecond
)

// Tracker is the opinion of one target.
type Tracker struct {
	failures      int
	probeInterval time.Duration
	nextProbeAt   time.Time
	penalty       time.Duration
	penaltyAt     time.Time
}

// RecordFailure counts one failure to reach the target or of the target itself.
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

// RecordConnectFailure counts a failure to connect: a target that answers nothing needs
// no second sign.
func (t *Tracker) RecordConnectFailure(now time.Time) {
	t.failures = max(t.failures, deadThreshold-1)
	t.RecordFailure(now)
}

// RecordSuccess counts one good answer.
func (t *Tracker) RecordSuccess() {
	t.failures = 0
	t.probeInterval = 0
}

// State returns the opinion now.
func (t *Tracker) State(now time.Time) State {
	switch {
	case t.failures >= deadThreshold:
		return Dead
	case t.Penalty(now) > 0:
		return Suspect
	}
	return Live
}

// AllowRequest reports whether the target may be asked now. A dead one may once its
// pause is over, and the asking starts the next pause, so that one probe goes
// at a time.
func (t *Tracker) AllowRequest(now time.Time) bool {
	if t.failures < deadThreshold {
		return true
	}
	if now.Before(t.nextProbeAt) {
		return false
	}
	t.nextProbeAt = now.Add(t.probeInterval)
	return true
}

// Penalty returns the cost that the doubt adds now.
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
