package router

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/origin"
	"acaciakeel/refusal"
)

// Origins knows which software version began a stream.
type Origins interface {
	// Announce is called before a stream that may be resumed can begin, and reports whether its
	// origin will be saved, so that it outlasts all processes. The channel is closed once that is
	// done; nil if it need not be awaited, or can't be. replaces is set if another origin was
	// announced for an attempt that did not begin the stream.
	Announce(s origin.Stream, from origin.Origin, replaces bool) (saved <-chan struct{}, ok bool)
	// Record records the origin of a stream of which a target produced events. announced is the
	// origin that Announce has last saved for it, if any.
	Record(s origin.Stream, from, announced origin.Origin, target fleet.Instance)
	// Flush has the records sent to other processes soon: a client whose stream broke off may
	// resume it at one of them at once.
	Flush()
	// ListFresh reports whether the list of targets has been confirmed recently.
	ListFresh() bool
	// Disputed reports whether the origin recorded for a stream has turned out to be uncertain.
	Disputed(s origin.Stream) bool
	// BeginAt returns the software versions at whose targets streams of a service that may be
	// resumed begin; empty for all.
	BeginAt(service string) []string
	// Recorded returns the origin that this process knows of a stream; ok is false if there is none,
	// or a disputed one.
	Recorded(s origin.Stream) (o origin.Origin, ok bool)
	// Resolve returns the origin of a stream that is to be continued at a service, and may ask
	// other processes. If named is false, the client has not named its stream.
	Resolve(ctx context.Context, s origin.Stream, named bool, service string) origin.Resolution
}

// TrackOrigins has streams continued only at the software version that began them, as known by
// o. It must be called before the router is used.
func (r *Router) TrackOrigins(o Origins) { r.origins = o }

// streamState is what a session knows of the stream that it forwards.
type streamState struct {
	// origin is what began the stream; unset before the first event of a new one.
	origin origin.Resolution
	// began is set once an event was forwarded, and recordedAt is when the origin was last
	// recorded.
	began      bool
	recordedAt time.Time
	// announced is the origin that is saved ahead of the first event, if any, and saved is closed
	// once it is; nil if nothing is to be awaited.
	announced origin.Origin
	saved     <-chan struct{}
	// resolving is how long it took to resolve the origin.
	resolving time.Duration
}

// resumedByClient reports whether the client continues a stream that it began earlier.
func (in *admittedRequest) resumedByClient() bool {
	return in.route.Kind == catalog.Stream && (in.LastEventID != "" || in.Resumes != "" || in.ResumesInvalid)
}

// continues reports whether the next attempt continues a stream.
func (s *session) continues() bool {
	return s.in.resumedByClient() || s.stream.began
}

// streamID returns the stream that the request belongs to; named is false if the client
// continues one that it has not named.
func (s *session) streamID() (id origin.Stream, named bool) {
	attempt := s.in.ID
	if s.in.resumedByClient() {
		attempt = s.in.Resumes
	}
	return origin.NewStream(s.in.customerName(), attempt), attempt != ""
}

// resolveOrigin finds out what began the stream that the next attempt continues, and refuses
// the request if that can't be known.
func (s *session) resolveOrigin(ctx context.Context) *refusal.Error {
	if s.router.origins == nil {
		return nil
	}
	if !s.continues() {
		s.bindToEarlierSend()
		return nil
	}
	id, named := s.streamID()
	if s.stream.origin.Known() && (s.stream.origin.Source != origin.Response || !s.router.origins.Disputed(id)) {
		return nil
	}
	start := time.Now()
	s.stream.origin = s.router.origins.Resolve(ctx, id, named, s.in.service.Name)
	s.stream.resolving = time.Since(start)
	if s.stream.origin.Known() {
		s.followService()
		return nil
	}
	return s.refuseContinuation(refusal.New(refusal.StreamUnknown, "come back after the time in Retry-After, or send the request again as a new one",
		"it is not known which software version of service %s began the stream %q", s.in.service.Name, s.in.Resumes))
}

// bindToEarlierSend has a stream that the client sends again from its beginning, under the same ID,
// begin at the version at which it began before. The client may resume either by that ID, also at an
// entry that does not know yet that there are two.
func (s *session) bindToEarlierSend() {
	s.stream.origin = origin.Resolution{}
	if !s.beginsResumable() {
		return
	}
	id, _ := s.streamID()
	o, ok := s.router.origins.Recorded(id)
	if !ok || o.Service != s.in.service.Name {
		return
	}
	if at := s.router.origins.BeginAt(o.Service); len(at) == 0 || slices.Contains(at, o.Build) {
		s.stream.origin = origin.Resolution{Origin: o, Source: origin.Response}
	}
}

// followService sends the request to the service that began its stream if its route divides
// requests between that one and others.
func (s *session) followService() {
	began := s.stream.origin.Origin.Service
	if began == s.in.service.Name {
		return
	}
	leads := slices.ContainsFunc(s.in.route.Split, func(share catalog.Share) bool { return share.Service == began && share.Weight > 0 })
	if service := s.router.config.Config().Services[began]; leads && service != nil {
		s.in.service = service
	}
}

// boundBuild returns the software version to which the next attempt is bound. The versions of
// another service have nothing to do with it: a route that was moved there takes its streams
// along.
func (s *session) boundBuild() (build string, bound bool) {
	o := s.stream.origin
	return o.Origin.Build, o.Known() && o.Origin.Service == s.in.service.Name
}

// refuseVersionGone refuses a request that continues a stream of a software version without
// targets; it returns nil for others.
func (s *session) refuseVersionGone() *refusal.Error {
	build, bound := s.boundBuild()
	if !bound || s.router.fleet.BuildListed(s.in.service.Name, build) {
		return nil
	}
	return s.refuseContinuation(refusal.New(refusal.StreamVersionGone, "send the request again as a new one",
		"service %s has no target of software version %q left, which began the stream", s.in.service.Name, build))
}

// refuseContinuation completes the refusal of a request that continues a stream, and logs and
// counts it.
func (s *session) refuseContinuation(refused *refusal.Error) *refusal.Error {
	s.noteContinuation("refused", refused.Message, logrus.Fields{"kind": refused.Kind})
	if s.executions > 0 {
		refused.Outcome = refusal.Ran
	}
	return refused.WithRetryAfter(defaultRetryAfter)
}

// identifyTimeout bounds the time that a request waits until targets have said which instance
// they are.
const identifyTimeout = 100 * time.Millisecond

// maxIdentified is how many targets are asked for that.
const maxIdentified = 3

// chooseTarget chooses the target of the next attempt. One that continues a stream goes to a
// target that has said which instance it is, if it may have restarted with other software.
func (s *session) chooseTarget(ctx context.Context) (fleet.Choice, bool) {
	f := s.router.fleet
	choice, ok := s.choose()
	if _, bound := s.boundBuild(); !bound {
		return choice, ok
	}
	if !s.continues() {
		if !ok {
			// The stream may begin at any version, and is then recorded as disputed.
			s.stream.origin = origin.Resolution{}
			choice, ok = s.choose()
		}
		return choice, ok
	}
	if !ok {
		// The targets of the version failed requests lately.
		s.identify(ctx, f.UnconfirmedTargets(s.query(), time.Now()))
		choice, ok = s.choose()
	}
	for range maxIdentified {
		if !ok || !f.NeedsIdentity(choice.Target.Instance(), s.in.resumedByClient(), time.Now()) {
			return choice, ok
		}
		if s.identify(ctx, []fleet.Target{choice.Target}) == 0 {
			f.RecordInterruption(choice.Target.Instance(), time.Now())
		} else if _, confirmed := f.ConfirmedBuild(choice.Target, false, time.Now()); confirmed {
			return choice, true
		}
		choice, ok = s.choose()
	}
	return fleet.Choice{}, false
}

// identify asks some targets which instance they are, and returns how many have answered.
func (s *session) identify(ctx context.Context, targets []fleet.Target) int {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var answered atomic.Int64
	for _, t := range targets[:min(len(targets), maxIdentified)] {
		wg.Go(func() {
			askedAt := time.Now()
			if instance, err := s.router.sender.Identify(ctx, t); err == nil {
				s.router.fleet.Observe(instance, askedAt)
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	return int(answered.Load())
}

// identifyAfterFailure asks a target that failed a request which instance it is, if it may have
// restarted with another software version. Streams that begin there until it has answered have
// no known origin.
func (s *session) identifyAfterFailure(clientCtx context.Context, t fleet.Target) {
	r := s.router
	if r.origins == nil || clientCtx.Err() != nil || !r.fleet.RecordInterruption(t.Instance(), time.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
		defer cancel()
		askedAt := time.Now()
		if instance, err := r.sender.Identify(ctx, t); err == nil {
			r.fleet.Observe(instance, askedAt)
		}
	}()
}

// recordOrigin records what began the stream. It is called before each event is forwarded:
// the client may name the stream from then on.
func (s *session) recordOrigin(now time.Time) {
	if s.router.origins == nil || s.stream.began && (!s.stream.origin.Known() || now.Sub(s.stream.recordedAt) < origin.RefreshInterval) {
		return
	}
	if _, bound := s.boundBuild(); !s.stream.began && (!bound || !s.in.resumedByClient()) {
		// The stream begins here, or goes on at another service, whose versions bind it from
		// now on.
		s.stream.origin = s.newOrigin()
	}
	s.stream.began, s.stream.recordedAt = true, now
	// What is not known is recorded as disputed: the announced origin may be wrong.
	from, target := s.stream.origin.Origin, s.lastChoice.Target.Instance()
	s.router.origins.Record(origin.NewStream(s.in.customerName(), s.in.ID), from, s.stream.announced, target)
	s.stream.announced = origin.Origin{}
	if id, named := s.streamID(); named && s.in.resumedByClient() {
		s.router.origins.Record(id, from, origin.Origin{}, target)
	}
}

// newOrigin returns the origin of a stream that the current target begins.
func (s *session) newOrigin() origin.Resolution {
	build, ok := s.router.fleet.ConfirmedBuild(s.lastChoice.Target, !s.router.origins.ListFresh(), time.Now())
	if !ok {
		return origin.Resolution{Source: origin.Unknown}
	}
	return origin.Resolution{Origin: origin.Origin{Service: s.in.service.Name, Build: build}, Source: origin.Response}
}

// recordContinuation logs and counts an attempt that continues a stream.
func (s *session) recordContinuation(choice fleet.Choice) {
	if !s.continues() {
		return
	}
	result := "unknown_version"
	build, bound := s.boundBuild()
	switch {
	case bound && build == choice.Target.Build:
		result = "same_version"
	case bound:
		result = "other_version"
	case s.stream.origin.Known():
		result = "other_service"
	}
	s.noteContinuation(result, "a stream is continued", logrus.Fields{"build": choice.Target.Build, "target": choice.Target.ID})
}

func (s *session) noteContinuation(result, message string, fields logrus.Fields) {
	by := "entry"
	if !s.stream.began {
		by = "client"
	}
	o := s.stream.origin
	s.router.metrics.resumptions.WithLabelValues(by, string(o.Source), result).Inc()
	s.router.log.WithFields(logrus.Fields{
		"event": "stream_resumed", "request": s.in.ID, "stream": s.in.Resumes, "last_event": s.resumeAfter(), "by": by,
		"origin": o.Source, "began_service": o.Origin.Service, "began_build": o.Origin.Build, "waited_ms": s.stream.resolving.Milliseconds(), "view_age_ms": o.ViewAge.Milliseconds(), "result": result,
	}).WithFields(fields).Info(message)
}
