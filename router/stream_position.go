package router

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/retry"
)

// streamPosition is how far a client has a stream. Event IDs are numbers that increase, and need
// not be consecutive.
type streamPosition struct {
	// last is the ID of the last event that the client has; ok is false if none with an ID is
	// known.
	last int64
	ok   bool
}

// errRepeatedEvent is the error of an event that the client already has.
var errRepeatedEvent = errors.New("the target began the stream anew")

// newStreamPosition returns the position of a client that resumes a stream after an event; "" for a
// new stream.
func newStreamPosition(lastEventID string) streamPosition {
	id, err := strconv.ParseInt(lastEventID, 10, 64)
	return streamPosition{last: id, ok: err == nil}
}

// advance moves the position past an event that is to be forwarded. It returns an error if the event
// does not follow what the client has.
func (p *streamPosition) advance(event []byte) error {
	id, numbered := eventID(event)
	if !numbered {
		return nil
	}
	if p.ok && id <= p.last {
		return errRepeatedEvent
	}
	p.last, p.ok = id, true
	return nil
}

// handleMisplacedEvent handles a response whose event does not follow what the client has. Events
// of two runs must not be joined, so nothing more of it is forwarded.
func (s *session) handleMisplacedEvent(choice fleet.Choice, event []byte, err error) attemptResult {
	prompt := strconv.FormatBool(s.in.Model != "")
	id, _ := eventID(event)
	s.router.metrics.misplacedEvents.WithLabelValues(prompt).Inc()
	s.router.log.WithError(err).WithFields(logrus.Fields{
		"event": "stream_misplaced", "request": s.in.ID, "target": choice.Target.ID, "prompt": prompt, "last_event": s.resumeAfter(), "event_id": id, "sends": s.attempts,
	}).Warn("the response of the target does not continue the stream; it is not forwarded")
	return s.outcomeUnknown(retry.Misplaced, "target %s: %v", choice.Target.ID, err)
}

var idField = []byte("id:")

// eventID returns the ID of an event, if it has a numeric one.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		if !bytes.HasPrefix(line, idField) {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(line[len(idField):])), 10, 64)
		return id, err == nil
	}
	return 0, false
}
