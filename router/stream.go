package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/retry"
)

// resumeAfter returns the ID of the event after which the next target continues the stream.
func (s *session) resumeAfter() string {
	if s.hasLastEventID {
		return strconv.FormatInt(s.lastEventID, 10)
	}
	return s.in.LastEventID
}

// forwardStream forwards the events of a stream, each once it is complete. A target may break
// off in the middle of an event, and a partial event that the client has received cannot be
// withdrawn.
func (s *session) forwardStream(clientCtx context.Context, choice fleet.Choice, resp *Response) attemptResult {
	events := newEventReader(resp.Body, s.held)
	for {
		event, err := events.next()
		if err == io.EOF {
			err = s.settleStreamEnd(clientCtx, choice, resp, len(event))
		} else if err != nil {
			err = s.asOversized(err)
		}
		s.recordEnd(err, len(event))
		if err == io.EOF {
			return s.finishStream(choice, resp)
		}
		if err != nil && s.guard.hasExpired() {
			return s.handleWithdrawn(choice)
		}
		if err != nil && s.unresponsive.Load() {
			return s.handleUnresponsive(choice)
		}
		var oversized *oversizedError
		if errors.As(err, &oversized) {
			return s.handleOversized(choice, oversized)
		}
		if err != nil {
			s.recordInterruption(clientCtx, choice)
			s.recordBrokenResponse(choice, err)
			reason := retry.Interrupted
			if s.headerWritten {
				reason = retry.Continued
			}
			return s.outcomeUnknown(reason, "the stream of target %s broke off: %v", choice.Target.ID, err)
		}
		s.guard.stop()
		s.recordEvent(time.Now())
		// The writer counts from now on what it keeps.
		events.release()
		if err := s.forwardEvent(resp, event); err != nil {
			return attemptResult{refused: clientGone(err)}
		}
	}
}

// recordEvent records the arrival of an event.
func (s *session) recordEvent(now time.Time) {
	if s.attemptBegan.IsZero() {
		s.attemptBegan = now
	}
	s.recordSurvival(now)
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
		s.recordStart(now)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.active.EventReceived(now)
	s.active.Event(now)
}

// observePause records by how much the longest pause of the stream exceeded the bound of its
// route.
func (s *session) observePause() {
	if bound := s.in.route.MaxEventGap; bound > 0 && s.longestPause > bound {
		s.router.metrics.pausesOver.WithLabelValues(s.in.route.Name).Observe((s.longestPause - bound).Seconds())
	}
}

// recordStart records how stale the weights were when the run started.
func (s *session) recordStart(now time.Time) {
	s.staleness.atFirstEvent = s.router.fleet.StaleFor(s.in.Model, s.lastChoice.WeightsVersion, now)
	if s.staleness.atFirstEvent > 0 {
		s.router.metrics.startStaleness.Observe(s.staleness.atFirstEvent.Seconds())
	}
}

// finishStream forwards the end of a complete stream.
func (s *session) finishStream(choice fleet.Choice, resp *Response) attemptResult {
	s.router.fleet.RecordSuccess(choice.Target.Instance())
	s.active.Complete(time.Now())
	s.router.poison.RecordSuccess(s.in.content, time.Now())
	s.router.poison.RecordPartsServed(s.in.parts, choice.Target.Instance(), time.Now())
	if !s.headerWritten {
		if err := s.writeBody(resp, nil); err != nil {
			return attemptResult{refused: clientGone(err)}
		}
	}
	return succeeded
}

// forwardEvent forwards an event, unless the client has already received it from an earlier
// target.
func (s *session) forwardEvent(resp *Response, event []byte) error {
	id, ok := eventID(event)
	if ok && s.hasLastEventID && id <= s.lastEventID {
		s.recordRepeatedEvent(id)
		return nil
	}
	if ok {
		s.lastEventID, s.hasLastEventID = id, true
	}
	s.recordOrigin(time.Now())
	return s.writeBody(resp, event)
}

// recordRepeatedEvent logs and counts the first event of a response that its client already has:
// the target was not told after which event to continue, or began the stream anew all the same.
func (s *session) recordRepeatedEvent(id int64) {
	if s.repeated {
		return
	}
	s.repeated = true
	prompt := strconv.FormatBool(s.in.Model != "")
	s.router.metrics.repeatedEvents.WithLabelValues(prompt).Inc()
	s.router.log.WithFields(logrus.Fields{
		"event": "stream_repeated", "request": s.in.ID, "target": s.lastChoice.Target.ID, "prompt": prompt, "last_event": s.lastEventID, "event_id": id, "sends": s.attempts,
	}).Warn("the target sent an event again that the client has; its response does not continue the stream")
}

func (s *session) writeBody(resp *Response, p []byte) error {
	if !s.headerWritten {
		s.headerWritten, s.status = true, resp.Status
		resp.ContentLength = -1
		if err := s.writer.WriteHeader(resp); err != nil {
			return err
		}
	}
	return s.writer.Write(p)
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
