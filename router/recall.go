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

// recall takes a request back from its target if it has not begun there when the
// bound on the target's weights comes. The choice of a target guards the sending
// alone; what is sent then may wait at the target for longer than anybody expects,
// and would begin on weights that were replaced too long ago. Newer weights may also
// be named while it waits, so the bound is looked up again whenever it may have come.
type recall struct {
	fleet  *fleet.Fleet
	choice fleet.Choice
	within time.Duration
	cancel context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	begun bool
	taken bool
}

// recall watches over a send until its run has begun.
func (s *session) recall(choice fleet.Choice, cancel context.CancelFunc) *recall {
	r := &recall{fleet: s.router.fleet, choice: choice, within: s.router.bounds.MaxStartStaleness, cancel: cancel}
	if choice.Model == "" || r.within <= 0 {
		r.begun = true
		return r
	}
	r.look()
	return r
}

// look takes the request back if its time is over, or looks again when it may be.
func (r *recall) look() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun {
		return
	}
	left := r.within - r.fleet.StaleFor(r.choice.Model, r.choice.WeightsVersion, time.Now())
	if left > 0 {
		r.timer = time.AfterFunc(left, r.look)
		return
	}
	r.taken = true
	r.cancel()
}

// end notes that the run has begun, or that the send has ended.
func (r *recall) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun = true
	if r.timer != nil {
		r.timer.Stop()
	}
}

func (r *recall) took() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken
}

// takenBack handles a send that was taken back. Whether it ran nobody knows: the
// target may have begun it at the same moment.
func (s *session) takenBack(choice fleet.Choice) result {
	f := s.router.fleet
	s.router.log.WithFields(logrus.Fields{
		"event": "taken_back", "request": s.in.ID, "target": choice.Target.ID, "born": choice.Target.Born, "weights": choice.WeightsVersion,
		"newest": f.DesiredVersion(choice.Model), "replaced_ms": f.StaleFor(choice.Model, choice.WeightsVersion, time.Now()).Milliseconds(),
	}).Warn("the target had not begun it when the time of its weights ended")
	refused := refusal.New(refusal.WeightsReplaced, "send again what may be repeated, or look the result up",
		"target %s had not begun it when the time of its weights ended", choice.Target.ID)
	refused.Outcome = refusal.Unknown
	return result{refused: refused, reason: retry.WeightsReplaced, again: s.repeatable()}
}
