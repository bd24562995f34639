package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
)

// notice takes what a target says of itself.
func (s *session) notice(choice fleet.Choice, n fleet.Notice) {
	s.noticeUnread(choice, n)
	s.noticeLeaving(choice, n)
	s.noticeRest(choice, n)
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

// noticeLeaving takes a target's word that it leaves.
func (s *session) noticeLeaving(choice fleet.Choice, n fleet.Notice) {
	life := choice.Target.Instance()
	if n.ShuttingDown && s.router.fleet.RecordShutdown(life, time.Now()) {
		s.router.metrics.leaving.Inc()
		s.router.log.WithFields(logrus.Fields{"event": "target_leaves", "request": s.in.ID, "target": life.ID, "born": life.Born, "listed_draining": choice.Target.Draining}).
			Info("the target says that it leaves")
	}
}

// noticeRest takes for how long a target wants nothing more of this entry.
func (s *session) noticeRest(choice fleet.Choice, n fleet.Notice) {
	if n.Backoff <= 0 {
		return
	}
	s.router.metrics.rests.Inc()
	life := choice.Target.Instance()
	if s.router.fleet.RecordBackoff(life, n.Backoff, time.Now()) {
		s.router.log.WithFields(logrus.Fields{"event": "target_rests", "request": s.in.ID, "target": life.ID, "born": life.Born, "rest_ms": n.Backoff.Milliseconds()}).
			Info("the target wants nothing more of this entry for a while")
	}
}

// noticeUnread counts words that can't be read, and logs the first of each life.
func (s *session) noticeUnread(choice fleet.Choice, n fleet.Notice) {
	for _, field := range n.Malformed {
		s.router.metrics.unread.WithLabelValues(field).Inc()
	}
	if life := choice.Target.Instance(); len(n.Malformed) > 0 && s.router.fleet.RecordMalformed(life) {
		s.router.log.WithFields(logrus.Fields{"event": "notice_unread", "request": s.in.ID, "target": life.ID, "born": life.Born, "fields": n.Malformed}).
			Warn("a target's word on itself can't be read; what it said before holds")
	}
}
