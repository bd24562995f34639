package router

import (
	"io"

	"github.com/sirupsen/logrus"
)

// How a response ended; label values of its counter.
const (
	endComplete    = "complete"
	endInsideEvent = "inside_event"
	endError       = "error"
)

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
	case err != io.EOF:
		s.end.reason = endError
	case partialBytes > 0:
		s.end.reason = endInsideEvent
	default:
		s.end.reason = endComplete
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
