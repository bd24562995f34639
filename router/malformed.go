package router

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/httphead"
	"acaciakeel/retry"
)

// malformedResponse returns the fault of a response that the protocol does not allow, if err states
// one.
func malformedResponse(err error) (*httphead.Error, bool) {
	var malformed *httphead.Error
	ok := errors.As(err, &malformed)
	return malformed, ok
}

func isMalformed(err error) bool {
	_, ok := malformedResponse(err)
	return ok
}

// handleMalformed handles an attempt whose response the protocol does not allow. Nothing in it can be
// believed; its connection is closed, and the request may have run.
func (s *session) handleMalformed(choice fleet.Choice, err *httphead.Error) attemptResult {
	s.router.metrics.badResponses.WithLabelValues(string(err.Part), string(err.Fault)).Inc()
	s.router.log.WithFields(logrus.Fields{
		"event": "response_malformed", "request": s.in.ID, "target": choice.Target.ID, "born": choice.Target.Born, "part": err.Part, "fault": err.Fault, "sends": s.attempts,
	}).Warn("the target sent a response that the protocol does not allow; its connection is closed")
	s.router.fleet.RecordFailure(choice.Target.Instance(), time.Now())
	s.recordBrokenResponse(choice, nil)
	return s.outcomeUnknown(retry.Malformed, "target %s: %v", choice.Target.ID, err)
}
