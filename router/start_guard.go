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

// startGuard withdraws a request that has not started at its target before the weights there
// become too old. The choice of a target only checks the weights at the time of sending; the
// request may then wait at the target for longer than expected and start on weights that were
// replaced too long ago. Newer weights may also become desired while it waits, so the guard
// checks the staleness again whenever it may have reached the limit.
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

// guardStart starts a guard for an attempt. The guard is inactive for requests without a model
// and if no limit is set.
func (s *session) guardStart(choice fleet.Choice, cancel context.CancelFunc) *startGuard {
	g := &startGuard{fleet: s.router.fleet, choice: choice, maxStaleness: s.router.bounds.MaxStartStaleness, cancel: cancel}
	if choice.Model == "" || g.maxStaleness <= 0 {
		g.stopped = true
		return g
	}
	g.check()
	return g
}

// check withdraws the request if the limit has been reached, or schedules the next check.
func (g *startGuard) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	remaining := g.maxStaleness - g.fleet.StaleFor(g.choice.Model, g.choice.WeightsVersion, time.Now())
	if remaining > 0 {
		g.timer = time.AfterFunc(remaining, g.check)
		return
	}
	g.expired = true
	g.cancel()
}

// stop stops the guard because the run has started or the attempt has ended.
func (g *startGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	if g.timer != nil {
		g.timer.Stop()
	}
}

func (g *startGuard) hasExpired() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expired
}

// handleWithdrawn handles an attempt that the guard withdrew. Its outcome is unknown: the
// target may have started the request at the same moment.
func (s *session) handleWithdrawn(choice fleet.Choice) attemptResult {
	f := s.router.fleet
	s.router.log.WithFields(logrus.Fields{
		"event": "taken_back", "request": s.in.ID, "target": choice.Target.ID, "born": choice.Target.Born, "weights": choice.WeightsVersion,
		"newest": f.DesiredVersion(choice.Model), "replaced_ms": f.StaleFor(choice.Model, choice.WeightsVersion, time.Now()).Milliseconds(),
	}).Warn("request withdrawn: the target had not started it when its weights became too old")
	refused := refusal.New(refusal.WeightsReplaced, "send again what may be repeated, or look the result up",
		"target %s had not begun it when the time of its weights ended", choice.Target.ID)
	refused.Outcome = refusal.Unknown
	return attemptResult{refused: refused, reason: retry.WeightsReplaced, retryable: s.repeatable()}
}
