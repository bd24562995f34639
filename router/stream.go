package router

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"acaciakeel/fleet"
	"acaciakeel/retry"
)

// resumeAfter returns the ID of the event after which the next target continues the stream.
func (s *session) resumeAfter() string {
	if s.position.ok {
		return strconv.FormatInt(s.position.last, 10)
	}
	return s.in.LastEventID
}

// forwardStream forwards the events of a stream, each once it is complete. A target may break
// off in the middle of an event, and a partial event that the client has received cannot be
// withdrawn.
func (s *session) forwardStream(clientCtx context.Context, choice fleet.Choice, resp *Response) attemptResult {
	events := newEventReader(resp.Body, s.held)
	s.position.beginResponse()
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
		if malformed, ok := malformedResponse(err); ok {
			return s.handleMalformed(choice, malformed)
		}
		if err != nil {
			s.recordInterruption(clientCtx, choice)
			s.recordBrokenResponse(choice, err)
			reason := retry.Interrupted
			if s.headerWritten {
				reason = retry.Continued
			}
			return s.brokeOff(reason, choice, err)
		}
		s.guard.stop()
		if err := s.position.advance(event); err != nil {
			return s.handleMisplacedEvent(choice, event, err)
		}
		s.recordEvent(time.Now())
		// The writer counts from now on what it keeps.
		events.release()
		s.awaitSaved(clientCtx)
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

func (s *session) forwardEvent(resp *Response, event []byte) error {
	s.recordOrigin(time.Now())
	return s.writeBody(resp, event)
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
