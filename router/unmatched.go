package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/retry"
)

// Label values of responses that do not carry the ID of the request.
const (
	idOwn          = "own"
	idOther        = "other"
	idMissing      = "missing"
	idAmbiguous    = "ambiguous"
	answerRefusal  = "refusal"
	answerOther    = "other"
	connNew        = "new"
	connReused     = "reused"
	maxLoggedBytes = 64
)

// namedID tells whether a response names the request with an ID.
func (r *Response) namedID(id string) string {
	switch r.RequestID {
	case "":
		return idMissing
	case id:
		return idOwn
	}
	return idOther
}

// recordUnmatched counts and logs a response that is not known to answer the request.
func (s *session) recordUnmatched(choice fleet.Choice, resp *Response) {
	if resp.MatchesRequest {
		return
	}
	id, answer, conn := resp.namedID(s.in.ID), answerOther, connNew
	if id == idOwn {
		id = idAmbiguous
	}
	if resp.NotRun {
		answer = answerRefusal
	}
	if resp.Conn.Earlier > 0 {
		conn = connReused
	}
	s.router.metrics.unmatched.WithLabelValues(id, answer, conn).Inc()
	s.router.log.WithFields(logrus.Fields{
		"event": "response_unmatched", "request": s.in.ID, "target": choice.Target.ID, "born": choice.Target.Born, "status": resp.Status,
		"answer_id": truncate(resp.RequestID), "answer": answer, "connection": conn, "sends": s.attempts,
	}).Warn("the target sent a response that is not known to answer this request")
}

// handleUnmatched handles an attempt whose response belongs to another request. Nothing in it
// concerns this one: the target received the request and may run it.
func (s *session) handleUnmatched(choice fleet.Choice) attemptResult {
	s.executions++
	s.router.fleet.RecordFailure(choice.Target.Instance(), time.Now())
	return s.outcomeUnknown(retry.Unmatched, "the target %s sent a response that is not known to answer this request", choice.Target.ID)
}

// truncate bounds what a target's header adds to a log line.
func truncate(text string) string {
	return text[:min(len(text), maxLoggedBytes)]
}
