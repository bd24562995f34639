package router

import (
	"errors"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// How a response ended; label values of its counter.
const (
	endComplete    = "complete"
	endInsideEvent = "inside_event"
	endError       = "error"
)

// errInsideEvent is the end of a stream whose target broke it off inside an event, whatever the
// framing says.
var errInsideEvent = fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF)

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
