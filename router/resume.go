package router

import (
	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
)

// originSource is how the build that began a stream is known. It is a label of the counter of
// resumptions.
type originSource string

const (
	// originUnknown: nothing is known of the stream.
	originUnknown originSource = "unknown"
	// originResponse: the stream began within this response.
	originResponse originSource = "response"
)

// origin is the build of the target that began a stream.
type origin struct {
	build  string
	source originSource
}

func (o origin) known() bool { return o.source != "" && o.source != originUnknown }

// compare returns how a build compares with the one that began the stream.
func (o origin) compare(build string) string {
	switch {
	case !o.known():
		return "unknown"
	case o.build == build:
		return "same"
	}
	return "other"
}

// recordOrigin records the target of the current attempt as the one that began the stream. It
// is called with each event that is forwarded.
func (s *session) recordOrigin() {
	if s.origin.known() || s.in.LastEventID != "" {
		return
	}
	s.origin = origin{build: s.lastChoice.Target.Build, source: originResponse}
}

// recordResumption logs and counts an attempt that continues a stream.
func (s *session) recordResumption(choice fleet.Choice) {
	after := s.resumeAfter()
	if after == "" {
		return
	}
	by := "client"
	if s.hasLastEventID {
		by = "entry"
	}
	if s.origin.source == "" {
		s.origin.source = originUnknown
	}
	version := s.origin.compare(choice.Target.Build)
	s.router.metrics.resumptions.WithLabelValues(by, string(s.origin.source), version).Inc()
	s.router.log.WithFields(logrus.Fields{
		"event": "stream_resumed", "request": s.in.ID, "stream": s.in.Resumes, "last_event": after, "by": by,
		"origin": s.origin.source, "began_build": s.origin.build, "build": choice.Target.Build, "version": version, "target": choice.Target.ID,
	}).Info("a stream is continued")
}
