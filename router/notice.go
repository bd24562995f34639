package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
)

// recordNotice records what a target reports about itself in a response, and logs a change of
// its rate limit.
func (s *session) recordNotice(choice fleet.Choice, n fleet.Notice) {
	s.recordMalformed(choice, n)
	s.recordShutdown(choice, n)
	s.recordBackoff(choice, n)
	c, changed := s.router.fleet.Receive(choice.Target.Instance(), n, s.sentAt, time.Now())
	if !changed {
		return
	}
	message := "target no longer declares a rate limit"
	if c.New.Declared {
		message = "target declared a rate limit in requests per second, for all entries together"
	}
	s.router.log.WithFields(logrus.Fields{
		"event": "target_limit", "request": s.in.ID, "target": c.Target.ID, "born": c.Target.Born,
		"named": c.New.Declared, "limit": c.New.Rate, "former": c.Old.Rate,
	}).Info(message)
}

// recordShutdown records that a target reports that it is shutting down.
func (s *session) recordShutdown(choice fleet.Choice, n fleet.Notice) {
	instance := choice.Target.Instance()
	if n.ShuttingDown && s.router.fleet.RecordShutdown(instance, time.Now()) {
		s.router.metrics.shutdowns.Inc()
		s.router.log.WithFields(logrus.Fields{"event": "target_leaves", "request": s.in.ID, "target": instance.ID, "born": instance.Born, "listed_draining": choice.Target.Draining}).
			Info("target is shutting down")
	}
}

// recordBackoff records the backoff that a target asks this process for.
func (s *session) recordBackoff(choice fleet.Choice, n fleet.Notice) {
	if n.Backoff <= 0 {
		return
	}
	s.router.metrics.backoffs.Inc()
	instance := choice.Target.Instance()
	if s.router.fleet.RecordBackoff(instance, n.Backoff, time.Now()) {
		s.router.log.WithFields(logrus.Fields{"event": "target_rests", "request": s.in.ID, "target": instance.ID, "born": instance.Born, "rest_ms": n.Backoff.Milliseconds()}).
			Info("target asked this entry to back off")
	}
}

// recordMalformed counts malformed fields, and logs the first notice with any of each instance.
func (s *session) recordMalformed(choice fleet.Choice, n fleet.Notice) {
	for _, field := range n.Malformed {
		s.router.metrics.malformed.WithLabelValues(field).Inc()
	}
	if instance := choice.Target.Instance(); len(n.Malformed) > 0 && s.router.fleet.RecordMalformed(instance) {
		s.router.log.WithFields(logrus.Fields{"event": "notice_unread", "request": s.in.ID, "target": instance.ID, "born": instance.Born, "fields": n.Malformed}).
			Warn("malformed fields in a notice of the target; its earlier values stay in effect")
	}
}
