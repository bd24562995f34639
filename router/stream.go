package router

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"acaciakeel/fleet"
	"acaciakeel/retry"
)

// maxEvent bounds one event of a stream, in bytes; past it a target is taken
// to send something that is no stream of events.
const maxEvent = 1 << 20

var errEventTooLong = errors.New("an event is over a megabyte long")

// after returns the event after which the next target goes on.
func (s *session) after() string {
	if s.hasEvent {
		return strconv.FormatInt(s.lastEvent, 10)
	}
	return s.in.LastEventID
}

// stream passes a stream of events on, each as it is complete: a target may
// stop in the middle of an event, and half of one can't be taken back.
func (s *session) stream(choice fleet.Choice, a *Response) result {
	in := bufio.NewReader(a.Body)
	for {
		event, err := readEvent(in)
		if err == io.EOF {
			return s.ended(choice, a, event)
		}
		if err != nil && s.waits.took() {
			return s.takenBack(choice)
		}
		if err != nil {
			s.router.fleet.RecordFailure(choice.Target.Instance(), time.Now())
			s.brokeOff(choice, err)
			reason := retry.Interrupted
			if s.begun {
				reason = retry.Continued
			}
			return s.lost(reason, "the stream of target %s broke off: %v", choice.Target.ID, err)
		}
		s.waits.end()
		s.arrived(time.Now())
		if err := s.forward(a, event); err != nil {
			return result{refused: clientLeft(err)}
		}
	}
}

// arrived notes when an event came.
func (s *session) arrived(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
		s.began(now)
	} else {
		s.pause = max(s.pause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.ticket.FirstEvent(now)
}

// began notes on how old weights a run began.
func (s *session) began(now time.Time) {
	s.replaced.first = s.router.fleet.StaleFor(s.in.Model, s.last.WeightsVersion, now)
	if s.replaced.first > 0 {
		s.router.metrics.replaced.Observe(s.replaced.first.Seconds())
	}
}

// ended passes the end of a stream on. What follows the last whole event is
// the target's own and goes along.
func (s *session) ended(choice fleet.Choice, a *Response, rest []byte) result {
	s.router.fleet.RecordSuccess(choice.Target.Instance())
	s.ticket.Complete(time.Now())
	s.router.poison.RecordSuccess(s.in.content, time.Now())
	if !s.begun || len(rest) > 0 {
		if err := s.write(a, rest); err != nil {
			return result{refused: clientLeft(err)}
		}
	}
	return done
}

// forward passes an event on, unless the client has it from an earlier target.
func (s *session) forward(a *Response, event []byte) error {
	id, ok := eventID(event)
	if ok && s.hasEvent && id <= s.lastEvent {
		return nil
	}
	if ok {
		s.lastEvent, s.hasEvent = id, true
	}
	return s.write(a, event)
}

func (s *session) write(a *Response, p []byte) error {
	if !s.begun {
		s.begun, s.status = true, a.Status
		a.ContentLength = -1
		if err := s.reply.WriteHeader(a); err != nil {
			return err
		}
	}
	return s.reply.Write(p)
}

// readEvent reads up to and with the empty line that ends an event. At the end
// of the stream it returns what is left with io.EOF.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := in.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull && len(event) <= maxEvent:
			continue
		case err == bufio.ErrBufferFull:
			return nil, errEventTooLong
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		}
	}
}

var idField = []byte("id:")

// eventID returns the id of an event, where it has a number for one.
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
