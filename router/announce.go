package router

import (
	"context"
	"time"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/origin"
)

// beginsResumable reports whether the next attempt begins a stream that may be resumed.
func (s *session) beginsResumable() bool {
	return s.router.origins != nil && s.in.route.Kind == catalog.Stream && s.in.route.Resumable && !s.continues()
}

// announceOrigin has the origin of the stream that the attempt may begin saved while its target
// works on the first event.
func (s *session) announceOrigin(target fleet.Target) {
	if !s.beginsResumable() {
		return
	}
	from := origin.Origin{Service: s.in.service.Name, Build: target.Build}
	replaces := s.stream.announced != (origin.Origin{}) && s.stream.announced != from
	saved, ok := s.router.origins.Announce(origin.NewStream(s.in.customerName(), s.in.ID), from, replaces)
	if s.stream.saved = saved; ok {
		s.stream.announced = from
	}
}

// maxSaveWait bounds the time for which the first event of a stream waits until its origin is saved:
// a store that is slow takes a quarter of a second, and one that is away is known to be after that.
const maxSaveWait = time.Second

// awaitSaved waits until the origin of the stream is saved. The client can name the stream once it
// has the first event.
func (s *session) awaitSaved(ctx context.Context) {
	if s.stream.saved == nil {
		return
	}
	start := time.Now()
	timer := time.NewTimer(maxSaveWait)
	defer timer.Stop()
	result := "saved"
	select {
	case <-s.stream.saved:
	case <-timer.C:
		result = "timeout"
	case <-ctx.Done():
		result = "canceled"
	}
	s.stream.saved = nil
	s.router.metrics.saveWait.WithLabelValues(result).Observe(time.Since(start).Seconds())
}
