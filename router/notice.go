package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
)

// recordNotice takes what a target says of itself.
func (s *session) recordNotice(choice fleet.Choice, n fleet.Notice) {
	s.recordMalformed(choice, n)
	s.recordShutdown(choice, n)
	s.recordBackoff(choice, n)
	c, changed := s.router.fleet.Receive(choice.Target.Instance(), n, s.sentAt, time.Now())
	if !changed {
		return
	}
	message := "the target names no limit any more"
	if c.New.Declared {
		message = "the target names how many requests a second it takes from all entries together"
	}
	s.router.log.WithFields(logrus.Fields{
		"event": "target_limit", "request": s.in.ID, "target": c.Target.ID, "born": c.Target.Born,
		"named": c.New.Declared, "limit": c.New.Rate, "former": c.Old.Rate,
	}).Info(message)
}

// recordShutdown takes a target's word that it leaves.
func (s *session) recordShutdown(choice fleet.Choice, n fleet.Notice) {
	instance := choice.Target.Instance()
	if n.ShuttingDown && s.router.fleet.RecordShutdown(instance, time.Now()) {
		s.router.metrics.shutdowns.Inc()
		s.router.log.WithFields(logrus.Fields{"event": "target_leaves", "request": s.in.ID, "target": instance.ID, "born": instance.Born, "listed_draining": choice.Target.Draining}).
			Info("the target says that it leaves")
	}
}

// recordBackoff takes for how long a target wants nothing more of this entry.
func (s *session) recordBackoff(choice fleet.Choice, n fleet.Notice) {
	if n.Backoff <= 0 {
		return
	}
	s.router.metrics.backoffs.Inc()
	instance := choice.Target.Instance()
	if s.router.fleet.RecordBackoff(instance, n.Backoff, time.Now()) {
		s.router.log.WithFields(logrus.Fields{"event": "target_rests", "request": s.in.ID, "target": instance.ID, "born": instance.Born, "rest_ms": n.Backoff.Milliseconds()}).
			Info("the target wants nothing more of this entry for a while")
	}
}

// recordMalformed counts words that can't be read, and logs the first of each life.
func (s *session) recordMalformed(choice fleet.Choice, n fleet.Notice) {
	for _, field := range n.Malformed {
		s.router.metrics.malformed.WithLabelValues(field).Inc()
	}
	if instance := choice.Target.Instance(); len(n.Malformed) > 0 && s.router.fleet.RecordMalformed(instance) {
		s.router.log.WithFields(logrus.Fields{"event": "notice_unread", "request": s.in.ID, "target": instance.ID, "born": instance.Born, "fields": n.Malformed}).
			Warn("a target's word on itself can't be read; what it said before holds")
	}
}
