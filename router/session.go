package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/poison"
	"acaciakeel/prefix"
	"acaciakeel/quota"
	"acaciakeel/refusal"
	"acaciakeel/responsebuffer"
	"acaciakeel/retry"
)

// session is the state of one request over all its attempts.
type session struct {
	router *Router
	in     *admittedRequest
	writer ResponseWriter
	// charge is what the request is charged against the limit of its customer.
	charge *quota.Charge
	// attempts counts attempts at targets, executions those that may have run the request.
	attempts      int
	executions    int
	tried         []fleet.Instance
	records       []attemptRecord
	headerWritten bool
	// status is the status code sent to the client; 0 before that.
	status int
	// position is how far the client has the stream.
	position   streamPosition
	stream     streamState
	lastChoice fleet.Choice
	active     *fleet.ActiveRequest
	// guard withdraws the current attempt if it does not start in time.
	guard        *startGuard
	firstEventAt time.Time
	// lastEventAt is when the last event was received, longestPause the longest time between
	// two events.
	lastEventAt  time.Time
	longestPause time.Duration
	// sentAt is when the last attempt was sent. shuttingDownFor is the time since its target
	// first reported that it is shutting down, and backoffLeft the rest of the backoff that
	// the target had asked for, both at sentAt.
	sentAt          time.Time
	shuttingDownFor time.Duration
	backoffLeft     time.Duration
	// staleness is for how long newer weights had been desired than those of the target of
	// the last attempt: when it was sent, and at its first event.
	staleness struct{ atSend, atFirstEvent time.Duration }
	// tracked registers the request under its content fingerprint. decision is the poison
	// decision before the last attempt. probed is closed once the first probe of the target
	// that broke off the last response has a result; nil if there is no such probe.
	tracked  *poison.ActiveRequest
	decision poison.Decision
	probed   <-chan struct{}
	// end is how the last response ended.
	end responseEnd
	// attemptBegan is when the current target sent its first event, and survived is set once it
	// has lived on after that.
	attemptBegan time.Time
	survived     bool
	// scarce is the decision by which the request was refused while targets' time was scarce.
	scarce *scarceDecision
	// held counts what the session holds of the current response. Releasing it is part of the
	// end of an attempt, as its response may be forwarded after that.
	held *responsebuffer.Reservation
	// unsettled is the last attempt, if its target may still work on the request: why it ended,
	// and when. reason is empty for others.
	unsettled struct {
		reason  retry.Reason
		endedAt time.Time
	}
	// unresponsive is set when the current attempt is given up because its target does not
	// respond. Each attempt has its own, as it may be set when the attempt has just ended.
	unresponsive *atomic.Bool
}

func (s *session) run(ctx context.Context) *refusal.Error {
	s.router.budgets.recordRequest(s.in.service.Name, time.Now())
	s.tracked = s.router.poison.Track(s.in.content, s.in.parts...)
	defer s.tracked.Finish()
	defer func() { s.held.Release() }()
	for {
		if s.writer.ClientLeft() {
			return s.giveUp(attemptResult{refused: refusal.New(refusal.Canceled, "none", "the client left")})
		}
		if refused := s.checkPoison(time.Now()); refused != nil {
			return s.giveUp(attemptResult{refused: refused})
		}
		if refused := s.resolveOrigin(ctx); refused != nil {
			return s.giveUp(attemptResult{refused: refused})
		}
		choice, ok := s.chooseTarget(ctx)
		if !ok {
			return s.giveUp(attemptResult{refused: s.refuseNoTarget()})
		}
		if refused := s.refuseAdmission(choice); refused != nil {
			return refused
		}
		if refused := s.refuseAtShutdown(time.Now()); refused != nil {
			return s.giveUp(attemptResult{refused: refused})
		}
		s.records = append(s.records, attemptRecord{target: choice.Target.ID})
		out := s.send(ctx, choice)
		s.endAttempt(out, time.Now())
		if out.refused == nil && out.response == nil {
			return nil
		}
		s.identifyAfterFailure(ctx, choice.Target)
		if ctx.Err() == nil && out.retryable && s.position.continuable() && s.attempts < retry.MaxAttempts && s.awaitRunEnd(ctx, choice) && s.takeRetry(out.reason) {
			s.logRetry(out)
			s.awaitProbe(ctx)
			continue
		}
		return s.giveUp(out)
	}
}

// endAttempt records the end of an attempt: its connection is closed, or carries nothing more of
// the request.
func (s *session) endAttempt(out attemptResult, now time.Time) {
	last := s.lastRecord()
	last.recordResult(out)
	last.took = now.Sub(s.sentAt)
	if out.refused == nil || out.refused.Outcome != refusal.NotRun {
		s.router.serviceTimes.record(s.in.route.Name, last.took, now)
	}
	s.unsettled.reason = ""
	if out.response == nil && out.refused != nil && out.refused.Outcome == refusal.Unknown && !out.ended {
		s.unsettled.reason, s.unsettled.endedAt = out.reason, now
	}
}

// observeResend records the time from the end of an attempt that its target may still work on to
// the next one.
func (s *session) observeResend() {
	if s.unsettled.reason != "" {
		s.router.metrics.resends.WithLabelValues(string(s.unsettled.reason)).Observe(s.sentAt.Sub(s.unsettled.endedAt).Seconds())
	}
}

// settleCharge refunds the customer for attempts that did not run.
func (s *session) settleCharge() {
	s.charge.SetExecutions(s.executions)
}

// giveUp ends a request that is not retried. It forwards the error response of the target,
// if there is one, or returns the refusal.
func (s *session) giveUp(out attemptResult) *refusal.Error {
	if s.headerWritten {
		s.writer.Abort()
		broken := refusal.New(refusal.Interrupted, "resume after the last event, where the route allows it", "the stream broke off: %s", out.refused.Message)
		broken.Outcome = refusal.Ran
		return broken
	}
	if out.response != nil {
		return s.writeWhole(out.response)
	}
	if s.executions > 0 && out.refused.Outcome == refusal.NotRun {
		// The last target did not run the request, but an earlier one may have.
		unknown := *out.refused
		unknown.Outcome = refusal.Unknown
		return &unknown
	}
	return out.refused
}

func (s *session) choose() (fleet.Choice, bool) {
	return s.router.fleet.Choose(s.query(), time.Now())
}

// query returns the requirements for the choice of a target.
func (s *session) query() fleet.Query {
	in := s.in
	q := fleet.Query{
		Service:       in.service.Name,
		Tried:         s.tried,
		MaxStaleness:  s.router.bounds.MaxStaleness,
		CostWeights:   costWeights,
		Isolate:       s.decision.Status == poison.Suspect,
		AlwaysIsolate: s.decision.Crashes > 1,
		Avoid:         s.decision.Avoid,
		Class:         fleet.PriorityClass(in.priority()),
	}
	q.Build, q.BuildBound = s.boundBuild()
	if s.beginsResumable() {
		q.Builds = s.router.origins.BeginAt(in.service.Name)
	}
	q.ListOutdated = q.BuildBound && !s.router.origins.ListFresh()
	if in.service.Engine != nil && in.Model != "" {
		q.Model = in.Model
		q.TokenBytes = in.service.Engine.TokenBytes
		q.Capacity = in.service.Engine.CapacityTokens
		q.InputTokens, q.MaxOutputTokens, q.Objective = in.InputTokens, in.MaxOutputTokens, in.route.Objective
		q.MaxEventGap = in.route.MaxEventGap
		q.Chain = func(weights int64) prefix.Chain { return in.chain(in.cacheSalt(weights)) }
	}
	return q
}

// send sends the request to one target and forwards the response.
func (s *session) send(ctx context.Context, choice fleet.Choice) attemptResult {
	attemptCtx, cancel := s.attemptContext(ctx)
	defer cancel()
	s.attempts++
	s.charge.SetExecutions(s.executions + 1)
	s.lastChoice = choice
	s.tried = append(s.tried, choice.Target.Instance())
	s.attemptBegan, s.survived = time.Time{}, false
	s.end = responseEnd{}
	s.held.Release()
	s.held = s.router.bodies.Reserve(cancel)
	f := s.router.fleet
	s.sentAt = time.Now()
	s.lastRecord().at = s.sentAt.Sub(s.in.Received)
	s.observeResend()
	s.shuttingDownFor = f.ShuttingDownFor(choice.Target.Instance(), s.sentAt)
	s.backoffLeft = f.RemainingBackoff(choice.Target.Instance(), s.sentAt)
	s.staleness.atSend, s.staleness.atFirstEvent = f.StaleFor(s.in.Model, choice.WeightsVersion, s.sentAt), 0
	s.active = f.Begin(choice.Target.Instance(), s.requestLoad(choice), s.sentAt)
	defer s.active.End()
	unresponsive := &atomic.Bool{}
	s.unresponsive = unresponsive
	s.active.OnUnresponsive(func() {
		unresponsive.Store(true)
		cancel()
	})
	s.tracked.SentTo(choice.Target.Instance())
	defer s.tracked.LeftTarget()
	s.recordContinuation(choice)
	s.announceOrigin(choice.Target)
	s.guard = s.guardStart(choice, cancel)
	defer s.guard.stop()
	response, err := s.router.sender.Send(attemptCtx, s.newAttempt(choice))
	if err != nil {
		s.lastRecord().recordSendError(err)
		s.countConnUse()
		return s.handleSendError(ctx, choice, err)
	}
	defer response.Body.Close()
	s.end.framing = response.Framing
	s.lastRecord().recordResponse(s.in.ID, response)
	s.countConnUse()
	s.recordUnmatched(choice, response)
	if !response.MatchesRequest {
		return s.handleUnmatched(choice)
	}
	s.active.Responded(time.Now())
	if response.refuses() {
		return s.handleRefusal(ctx, cancel, choice, response)
	}
	s.recordHeader(choice, response)
	s.executions++
	f.RecordAccepted(choice.Target.Instance(), s.sentAt)
	if response.unusable() {
		f.RecordFailure(choice.Target.Instance(), time.Now())
		return s.outcomeUnknown(retry.Interrupted, "the target %s sent bytes that are not its answer to this request", choice.Target.ID)
	}
	var oversized *oversizedError
	if errors.As(s.countHead(response), &oversized) {
		return s.handleOversized(choice, oversized)
	}
	if response.promisesNotRun() && !s.in.route.Repeatable() {
		return s.outcomeUnknown(retry.Interrupted, "target %s answered %d without stating that it did not run the request", choice.Target.ID, response.Status)
	}
	isStream := s.in.route.Kind == catalog.Stream && response.Status < 300 && response.isEventStream()
	if s.headerWritten && !isStream {
		// The client has already received the header and the first events of another response.
		return s.outcomeUnknown(retry.Continued, "target %s answered %d in place of the rest of a stream", choice.Target.ID, response.Status)
	}
	if isStream {
		return s.forwardStream(ctx, choice, response)
	}
	s.guard.stop()
	return s.forwardWhole(ctx, choice, response)
}

// Timeouts of an attempt that may be repeated at another target.
const (
	// attemptTimeoutFactor is the timeout in multiples of the objective of the route. A
	// target that takes longer is more likely to hang than to be busy.
	attemptTimeoutFactor = 3
	// minAttemptTimeout is the minimum timeout: the time of several runs of a service
	// without a model.
	minAttemptTimeout = 200 * time.Millisecond
)

// attemptContext limits the time of an attempt if another target may still run the request.
// A target that hangs keeps its connections open and stays healthy, so that only the time
// it takes reveals it.
func (s *session) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	r := s.in.route
	if r.Kind != catalog.Idempotent || s.executions+1 >= r.Attempts || r.Objective <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, max(attemptTimeoutFactor*r.Objective, minAttemptTimeout))
}

func (s *session) requestLoad(choice fleet.Choice) fleet.RequestLoad {
	return fleet.RequestLoad{
		UncachedTokens:  max(0, s.in.InputTokens-choice.CachedTokens-choice.FetchTokens),
		Transfer:        choice.Transfer,
		PromptTokens:    s.in.InputTokens,
		MaxOutputTokens: s.in.MaxOutputTokens,
		Chain:           choice.Chain,
		Capacity:        s.cacheCapacity(),
		Long:            choice.Long,
		ExpectedFirst:   choice.FirstToken,
		HeldTokens:      fleet.EstimateHeldTokens(s.in.InputTokens, choice.CachedTokens, s.in.MaxOutputTokens),
		// The attempt that starts now counts as an execution.
		Class:     fleet.PriorityClass(s.in.priority()),
		Resumable: s.in.route.Repeatable() && s.executions+1 < s.in.route.Attempts && s.attempts < retry.MaxAttempts,
	}
}

// cacheCapacity returns the token capacity of a runner of the service, 0 if unknown. Runners
// report evictions themselves.
func (s *session) cacheCapacity() int {
	if s.in.service.Engine == nil {
		return 0
	}
	return s.in.service.Engine.CapacityTokens
}

func (s *session) newAttempt(choice fleet.Choice) *Attempt {
	in := s.in
	attempt := &Attempt{Request: in.Request, Target: choice.Target, Deadline: in.deadline, Customer: in.customerName(), Priority: -1, WeightsVersion: choice.WeightsVersion, LastEventID: s.resumeAfter()}
	if in.Model != "" {
		attempt.Priority = in.priority()
		attempt.CacheSalt = in.cacheSalt(choice.WeightsVersion)
		attempt.FetchFrom = choice.Source
		attempt.SaveTo = choice.SaveTo
	}
	return attempt
}

// recordHeader records what the header of a response to this request says about its target.
func (s *session) recordHeader(choice fleet.Choice, resp *Response) {
	f := s.router.fleet
	if resp.Ambiguous {
		return
	}
	if resp.HasLoad {
		f.RecordLoad(choice.Target.Instance(), resp.Load, time.Now())
	}
	s.recordNotice(choice, resp.Notice)
	if s.in.Model != "" {
		f.RecordAnsweredWeights(choice.Target.Instance(), s.in.Model, resp.WeightsVersion, s.sentAt, time.Now())
	}
}
