package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
)

// How a response ended; label values of its counter.
const (
	endComplete    = "complete"
	endInsideEvent = "inside_event"
	endUnconfirmed = "unconfirmed"
	endOversized   = "oversized"
	endMalformed   = "malformed"
	endError       = "error"
)

// errInsideEvent is the end of a stream whose target broke it off inside an event, whatever the
// framing says.
var errInsideEvent = fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF)

// errNoBody is the end of a success without length or chunks that has brought nothing. A target
// whose answer is empty states that; one that stops after its head does not.
var errNoBody = fmt.Errorf("the connection ended before the body of the response: %w", io.ErrUnexpectedEOF)

// errUnconfirmed is the end of a response without length or chunks whose target can't be shown
// to have ended it on purpose.
var errUnconfirmed = fmt.Errorf("the connection ended, which may not be the end of the response: %w", io.ErrUnexpectedEOF)

// settleStreamEnd returns io.EOF if the end of the connection is that of the stream, after
// partialBytes of an incomplete event, and otherwise why the stream counts as broken off.
func (s *session) settleStreamEnd(ctx context.Context, choice fleet.Choice, resp *Response, partialBytes int) error {
	if partialBytes > 0 {
		return errInsideEvent
	}
	if resp.Framing == UntilClose && s.attemptBegan.IsZero() {
		return errNoBody
	}
	return s.settleEnd(ctx, choice, resp)
}

// settleWholeEnd returns io.EOF if the end of the body of a response that is buffered is that of
// the response. empty is set if the body has no byte.
func (s *session) settleWholeEnd(ctx context.Context, choice fleet.Choice, resp *Response, empty bool) error {
	if empty && resp.Framing == UntilClose && resp.Status < http.StatusMultipleChoices {
		return errNoBody
	}
	return s.settleEnd(ctx, choice, resp)
}

// settleEnd returns io.EOF if a response whose body has been read to its end is complete. The
// kernel of a target that has crashed closes its connections as the target itself does after a
// response without length or chunks: only a target that still serves has ended it on purpose.
func (s *session) settleEnd(ctx context.Context, choice fleet.Choice, resp *Response) error {
	if resp.Framing != UntilClose {
		return io.EOF
	}
	start := time.Now()
	err := s.router.sender.Confirm(ctx, choice.Target)
	s.router.metrics.confirmation.WithLabelValues(confirmationResult(err)).Observe(time.Since(start).Seconds())
	switch {
	case err == nil:
		return io.EOF
	case ctx.Err() != nil:
		return ctx.Err()
	}
	// The error of the question is not that of the response, which its target ended.
	return fmt.Errorf("%w; asked target %s: %v", errUnconfirmed, choice.Target.ID, err)
}

// confirmationResult is the label value for the result of a confirmation.
func confirmationResult(err error) string {
	if err == nil {
		return "serves"
	}
	return "unconfirmed"
}

// responseEnd is how the response of an attempt ended.
type responseEnd struct {
	framing Framing
	// reason is empty while the response has not ended.
	reason string
	// partialBytes is the number of bytes after the last complete event of a stream.
	partialBytes int
}

// recordEnd records the error with which reading a response ended, if any.
func (s *session) recordEnd(err error, partialBytes int) {
	switch {
	case err == nil:
		return
	case err == io.EOF:
		s.end.reason = endComplete
	case errors.Is(err, errInsideEvent):
		s.end.reason = endInsideEvent
	case errors.Is(err, errUnconfirmed), errors.Is(err, errNoBody):
		s.end.reason = endUnconfirmed
	case isOversized(err):
		s.end.reason = endOversized
	case isMalformed(err):
		s.end.reason = endMalformed
	default:
		s.end.reason = endError
	}
	s.end.partialBytes = partialBytes
	s.router.metrics.ends.WithLabelValues(string(s.end.framing), s.end.reason).Inc()
}

func (e responseEnd) addLogFields(fields logrus.Fields) {
	if e.framing == "" {
		return
	}
	fields["framing"] = e.framing
	if e.reason != "" {
		fields["end"] = e.reason
	}
	if e.partialBytes > 0 {
		fields["partial_bytes"] = e.partialBytes
	}
}
