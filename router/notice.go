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
	c, changed := s.router.fleet.Noticed(choice.Runner.Life(), n, s.sentAt, time.Now())
	if !changed {
		return
	}
	message := "the target names no limit any more"
	if c.Now.Named {
		message = "the target names how many requests a second it takes from all entries together"
	}
	s.router.log.WithFields(logrus.Fields{
		"event": "target_limit", "request": s.in.ID, "target": c.Target.ID, "born": c.Target.Born,
		"named": c.Now.Named, "limit": c.Now.Rate, "former": c.Former.Rate,
	}).Info(message)
}

// noticeLeaving takes a target's word that it leaves.
func (s *session) noticeLeaving(choice fleet.Choice, n fleet.Notice) {
	life := choice.Runner.Life()
	if n.Leaving && s.router.fleet.Leaves(life, time.Now()) {
		s.router.metrics.leaving.Inc()
		s.router.log.WithFields(logrus.Fields{"event": "target_leaves", "request": s.in.ID, "target": life.ID, "born": life.Born, "listed_draining": choice.Runner.Draining}).
			Info("the target says that it leaves")
	}
}

// noticeRest takes for how long a target wants nothing more of this entry.
func (s *session) noticeRest(choice fleet.Choice, n fleet.Notice) {
	if n.Rest <= 0 {
		return
	}
	s.router.metrics.rests.Inc()
	life := choice.Runner.Life()
	if s.router.fleet.Rests(life, n.Rest, time.Now()) {
		s.router.log.WithFields(logrus.Fields{"event": "target_rests", "request": s.in.ID, "target": life.ID, "born": life.Born, "rest_ms": n.Rest.Milliseconds()}).
			Info("the target wants nothing more of this entry for a while")
	}
}

// noticeUnread counts words that can't be read, and logs the first of each life.
func (s *session) noticeUnread(choice fleet.Choice, n fleet.Notice) {
	for _, field := range n.Unread {
		s.router.metrics.unread.WithLabelValues(field).Inc()
	}
	if life := choice.Runner.Life(); len(n.Unread) > 0 && s.router.fleet.FirstUnread(life) {
		s.router.log.WithFields(logrus.Fields{"event": "notice_unread", "request": s.in.ID, "target": life.ID, "born": life.Born, "fields": n.Unread}).
			Warn("a target's word on itself can't be read; what it said before holds")
	}
}
