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
	// unnumbered is set if an event without an ID has followed it. The stream can't be continued
	// then: a target can only be told of an event with an ID.
	unnumbered bool
	// placed is set once an event of the current response has shown that it follows what the
	// client has.
	placed bool
}

// errRepeatedEvent is the error of an event that the client already has, and errUnplacedEvent that
// of a first event without an ID in a response that has to continue a stream.
var (
	errRepeatedEvent = errors.New("the target began the stream anew")
	errUnplacedEvent = errors.New("the first event has no ID, which does not show that it continues the stream")
)

// newStreamPosition returns the position of a client that resumes a stream after an event; "" for a
// new stream.
func newStreamPosition(lastEventID string) streamPosition {
	id, err := strconv.ParseInt(lastEventID, 10, 64)
	return streamPosition{last: id, ok: err == nil}
}

// beginResponse is called before the events of each response.
func (p *streamPosition) beginResponse() { p.placed = false }

// continuable reports whether another target can be told where to continue.
func (p *streamPosition) continuable() bool { return !p.unnumbered }

// advance moves the position past an event that is to be forwarded. It returns an error if the event
// does not follow what the client has.
func (p *streamPosition) advance(event []byte) error {
	id, numbered := eventID(event)
	switch {
	case numbered && p.ok && id <= p.last:
		return errRepeatedEvent
	case numbered:
		p.last, p.ok, p.unnumbered, p.placed = id, true, false, true
	case !hasData(event):
		// A comment or a field that clients ignore.
	case p.ok && !p.placed:
		return errUnplacedEvent
	default:
		p.unnumbered, p.placed = true, true
	}
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

var (
	idField   = []byte("id:")
	dataField = []byte("data")
)

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

// hasData reports whether clients take an event for one: without data it is dropped (WHATWG HTML,
// section 9.2.6).
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if bytes.Equal(name, dataField) {
			return true
		}
	}
	return false
}
