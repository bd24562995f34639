package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/health"
	"acaciakeel/retry"
)

// responseChecker probes targets that may not respond, as the fleet decides, and ends the
// attempts at those that do not.
type responseChecker struct {
	sender  Sender
	fleet   *fleet.Fleet
	metrics *Metrics
	log     logrus.FieldLogger
}

func newResponseChecker(s Sender, f *fleet.Fleet, m *Metrics, log logrus.FieldLogger) *responseChecker {
	return &responseChecker{sender: s, fleet: f, metrics: m, log: log}
}

// responseCheckInterval is how often the targets are checked. It adds to the detection
// time; a check of two thousand targets takes about 0.1 ms.
const responseCheckInterval = 50 * time.Millisecond

// CheckTargets checks which targets respond until ctx ends.
func (r *Router) CheckTargets(ctx context.Context) {
	ticker := time.NewTicker(responseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.checker.check(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (c *responseChecker) check(ctx context.Context, now time.Time) {
	result := c.fleet.CheckResponses(now)
	for _, target := range result.Probes {
		go c.probe(ctx, target)
	}
	c.metrics.unresponsive.Set(float64(result.Unresponsive))
	for _, change := range result.Changes {
		c.logChange(change)
	}
	for _, giveUp := range result.GiveUp {
		giveUp()
	}
}

func (c *responseChecker) probe(ctx context.Context, target fleet.Target) {
	startedAt := time.Now()
	probeCtx, cancel := context.WithTimeout(ctx, health.ProbeTimeout)
	defer cancel()
	result := c.sender.Probe(probeCtx, target)
	if result == NotProbed || ctx.Err() != nil {
		c.fleet.AbandonProbe(target.Instance(), time.Now())
		return
	}
	c.fleet.RecordProbe(target.Instance(), startedAt, result != Inconclusive, time.Now())
}

// The label values of the changes.
const (
	changeDetected  = "detected"
	changeReported  = "reported"
	changeConfirmed = "confirmed"
	changeEnded     = "ended"
)

func (c *responseChecker) logChange(change fleet.ResponseChange) {
	fields := logrus.Fields{"event": "target_unresponsive", "target": change.Target.ID, "born": change.Target.Born, "own": change.Own, "silent_ms": change.SilentFor.Milliseconds(), "failed_probes": change.Failures, "given_up": change.GivenUp}
	switch {
	case !change.Unresponsive:
		c.metrics.detections.WithLabelValues(changeEnded).Inc()
		c.log.WithFields(logrus.Fields{"event": "target_responsive", "target": change.Target.ID, "born": change.Target.Born, "lasted_ms": change.For.Milliseconds()}).Info("the target responds again, or the reports that it does not have expired; it gets requests")
		return
	case change.Own && change.Reported:
		c.metrics.detections.WithLabelValues(changeConfirmed).Inc()
		c.log.WithFields(fields).Warn("a probe confirms that the target does not respond")
	case change.Own:
		c.metrics.detections.WithLabelValues(changeDetected).Inc()
		c.log.WithFields(fields).Warn("the target does not respond; it gets no requests until it does")
	default:
		c.metrics.detections.WithLabelValues(changeReported).Inc()
		c.log.WithFields(fields).Warn("another node reports that the target does not respond; it gets no requests until it does")
	}
}

// What a request waited for when it was given up; label values of its counter.
const (
	waitedForStart = "not_started"
	waitedForEvent = "in_progress"
)

// handleUnresponsive handles an attempt that was given up because its target does not
// respond. Its outcome is unknown: the target may have run it and may still do so.
func (s *session) handleUnresponsive(choice fleet.Choice) attemptResult {
	reason := waitedForStart
	if s.headerWritten {
		reason = waitedForEvent
	}
	s.router.metrics.givenUp.WithLabelValues(reason).Inc()
	// If the list drops the target later, it may have crashed because of this request.
	s.recordBrokenResponse(choice, context.Canceled)
	out := s.outcomeUnknown(retry.Unresponsive, "target %s does not respond", choice.Target.ID)
	s.router.log.WithFields(logrus.Fields{
		"event": "given_up", "request": s.in.ID, "target": choice.Target.ID, "born": choice.Target.Born, "reason": reason, "retryable": out.retryable,
		"waited_ms": time.Since(s.sentAt).Milliseconds(), "last_event": s.resumeAfter(),
	}).Info("request given up: its target does not respond")
	return out
}
