package router

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/refusal"
	"acaciakeel/retry"
)

// startGuard takes a request back from its target if it has not begun there when the
// bound on the target's weights comes. The choice of a target guards the sending
// alone; what is sent then may wait at the target for longer than anybody expects,
// and would begin on weights that were replaced too long ago. Newer weights may also
// be named while it waits, so the bound is looked up again whenever it may have come.
type startGuard struct {
	fleet        *fleet.Fleet
	choice       fleet.Choice
	maxStaleness time.Duration
	cancel       context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	expired bool
}

// guardStart watches over a send until its run has begun.
func (s *session) guardStart(choice fleet.Choice, cancel context.CancelFunc) *startGuard {
	g := &startGuard{fleet: s.router.fleet, choice: choice, maxStaleness: s.router.bounds.MaxStartStaleness, cancel: cancel}
	if choice.Model == "" || g.maxStaleness <= 0 {
		g.stopped = true
		return g
	}
	g.check()
	return g
}

// check takes the request back if its time is over, or looks again when it may be.
func (r *startGuard) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	remaining := r.maxStaleness - r.fleet.StaleFor(r.choice.Model, r.choice.WeightsVersion, time.Now())
	if remaining > 0 {
		r.timer = time.AfterFunc(remaining, r.check)
		return
	}
	r.expired = true
	r.cancel()
}

// stop notes that the run has begun, or that the send has ended.
func (r *startGuard) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	if r.timer != nil {
		r.timer.Stop()
	}
}

func (r *startGuard) hasExpired() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.expired
}

// handleWithdrawn handles a send that was taken back. Whether it ran nobody knows: the
// target may have begun it at the same moment.
func (s *session) handleWithdrawn(choice fleet.Choice) attemptResult {
	f := s.router.fleet
	s.router.log.WithFields(logrus.Fields{
		"event": "taken_back", "request": s.in.ID, "target": choice.Target.ID, "born": choice.Target.Born, "weights": choice.WeightsVersion,
		"newest": f.DesiredVersion(choice.Model), "replaced_ms": f.StaleFor(choice.Model, choice.WeightsVersion, time.Now()).Milliseconds(),
	}).Warn("the target had not begun it when the time of its weights ended")
	refused := refusal.New(refusal.WeightsReplaced, "send again what may be repeated, or look the result up",
		"target %s had not begun it when the time of its weights ended", choice.Target.ID)
	refused.Outcome = refusal.Unknown
	return attemptResult{refused: refused, reason: retry.WeightsReplaced, retryable: s.repeatable()}
}
