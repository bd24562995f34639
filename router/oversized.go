package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/retry"
)

// MaxResponseHeadBytes is the maximum size of the header of a response with all informational
// responses before it: it repeats the ID of its request, which may take most of the 16 KB that
// a client's header has, and as much again is left for what the target adds.
const MaxResponseHeadBytes = 32 << 10

// The parts of a response that may exceed their bounds; label values of its counter.
const (
	partHead = "head"
)

// handleOversized handles an attempt whose response exceeds a bound with the given part, and after
// the given number of bytes. Its connection is closed, and the request may have run.
func (s *session) handleOversized(choice fleet.Choice, part string, bytes int64) attemptResult {
	s.router.metrics.oversized.WithLabelValues(part).Inc()
	s.router.log.WithFields(logrus.Fields{
		"event": "response_oversized", "request": s.in.ID, "target": choice.Target.ID, "born": choice.Target.Born, "part": part, "bytes": bytes, "sends": s.attempts,
	}).Warn("the target sent more than a response may have; its connection is closed")
	s.router.fleet.RecordFailure(choice.Target.Instance(), time.Now())
	s.recordBrokenResponse(choice, nil)
	return s.outcomeUnknown(retry.Oversized, "the response of target %s is too large (%s)", choice.Target.ID, part)
}
