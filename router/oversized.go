package router

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/retry"
)

// MaxResponseHeadBytes is the maximum size of the header of a response with all informational
// responses before it: it repeats the ID of its request, which may take most of the 68 KB that an
// entry reads of a client's header, and 28 KB are left for what the target adds.
const MaxResponseHeadBytes = 96 << 10

// The parts of a response that may exceed their bounds; label values of its counter.
const (
	partHead = "head"
	partBody = "body"
	// partEvent: one event of a stream.
	partEvent = "event"
	// partAll: all responses of the process together are over theirs, and this one held most.
	partAll = "all"
)

// oversizedError is the error of a response that exceeds a bound.
type oversizedError struct {
	part string
	// bytes is what was received of the part, or what its header states.
	bytes int64
}

// Error implements error.
func (e *oversizedError) Error() string {
	return fmt.Sprintf("the response is too large (%s, %d bytes)", e.part, e.bytes)
}

func isOversized(err error) bool {
	var oversized *oversizedError
	return errors.As(err, &oversized)
}

// handleOversized handles an attempt whose response exceeds a bound. Its connection is closed, and
// the request may have run.
func (s *session) handleOversized(choice fleet.Choice, err *oversizedError) attemptResult {
	s.router.metrics.oversized.WithLabelValues(err.part).Inc()
	if err.part == partAll {
		// The process lacks memory, which says nothing about the target.
		s.router.log.WithFields(logrus.Fields{"event": "response_given_up", "request": s.in.ID, "target": choice.Target.ID, "bytes": err.bytes}).
			Warn("all responses together are over their limit; the largest is given up")
		return s.outcomeUnknown(retry.Oversized, "target %s: %v", choice.Target.ID, err)
	}
	s.router.log.WithFields(logrus.Fields{
		"event": "response_oversized", "request": s.in.ID, "target": choice.Target.ID, "born": choice.Target.Born, "part": err.part, "bytes": err.bytes, "sends": s.attempts,
	}).Warn("the target sent more than a response may have; its connection is closed")
	s.router.fleet.RecordFailure(choice.Target.Instance(), time.Now())
	s.recordBrokenResponse(choice, nil)
	return s.outcomeUnknown(retry.Oversized, "target %s: %v", choice.Target.ID, err)
}
