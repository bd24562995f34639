package router

import (
	"context"
	"net/http"
	"time"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/poison"
	"acaciakeel/prefix"
	"acaciakeel/quota"
	"acaciakeel/refusal"
	"acaciakeel/retry"
)

// session is one request on its way through one or more targets.
type session struct {
	router *Router
	in     *admittedRequest
	writer ResponseWriter
	// charge is what the request counts against its customer's limit.
	charge *quota.Charge
	// attempts counts attempts, ran those that may have run.
	attempts      int
	executions    int
	tried         []fleet.Instance
	headerWritten bool
	// status is what the client was answered with; 0 before.
	status int
	// lastEventID is the id of the last event passed on.
	lastEventID    int64
	hasLastEventID bool
	lastChoice     fleet.Choice
	active         *fleet.ActiveRequest
	// guard takes the last send back if it guard for too long to begin.
	guard        *startGuard
	firstEventAt time.Time
	// lastEventAt is when the last event was passed on, pause the longest between two.
	lastEventAt  time.Time
	longestPause time.Duration
	// sentAt is when the last send began, leaving for how long its target had said by
	// then that it leaves, and rest for how long it wanted nothing yet.
	sentAt          time.Time
	shuttingDownFor time.Duration
	backoffLeft     time.Duration
	// staleness is for how long newer weights had been wanted than those of the last
	// send: when it was sent, and when its first event came.
	staleness struct{ atSend, atFirstEvent time.Duration }
	// tracked counts the request among those of its content, judged is how that stood before
	// the last send, and asked is closed once it is known whether the target that broke
	// the last answer off has ended; nil where none did.
	tracked  *poison.ActiveRequest
	decision poison.Decision
	probed   <-chan struct{}
}

func (s *session) run(ctx context.Context) *refusal.Error {
	s.router.budgets.recordRequest(s.in.service.Name, time.Now())
	s.tracked = s.router.poison.Track(s.in.content)
	defer s.tracked.Finish()
	for {
		if refused := s.checkPoison(time.Now()); refused != nil {
			return s.giveUp(attemptResult{refused: refused})
		}
		choice, ok := s.choose()
		if !ok {
			return s.giveUp(attemptResult{refused: s.refuseNoTarget()})
		}
		if refused := s.refuseOverload(choice); refused != nil {
			return refused
		}
		out := s.send(ctx, choice)
		if out.refused == nil && out.response == nil {
			return nil
		}
		if ctx.Err() == nil && out.retryable && s.attempts < retry.MaxAttempts && s.takeRetry(out.reason) {
			s.logRetry(out)
			s.awaitProbe(ctx)
			continue
		}
		return s.giveUp(out)
	}
}

// settleCharge gives the customer back what it was charged for sends that did not run.
func (s *session) settleCharge() {
	s.charge.SetExecutions(s.executions)
}

// giveUp passes on the target's own failure, or returns the refusal.
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
		// The last target did not run it, but an earlier one may have.
		unknown := *out.refused
		unknown.Outcome = refusal.Unknown
		return &unknown
	}
	return out.refused
}

func (s *session) choose() (fleet.Choice, bool) {
	return s.router.fleet.Choose(s.query(), time.Now())
}

// query is what the choice of a target rests on.
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
	}
	if in.service.Engine != nil && in.Model != "" {
		q.Model = in.Model
		q.TokenBytes = in.service.Engine.TokenBytes
		q.Capacity = in.service.Engine.CapacityTokens
		q.InputTokens, q.MaxOutputTokens, q.Objective = in.InputTokens, in.MaxOutputTokens, in.route.Objective
		q.Chain = func(weights int64) prefix.Chain { return in.chain(in.cacheSalt(weights)) }
	}
	return q
}

// send sends the request to one target and passes its answer on.
func (s *session) send(ctx context.Context, choice fleet.Choice) attemptResult {
	attemptCtx, cancel := s.attemptContext(ctx)
	defer cancel()
	s.attempts++
	s.charge.SetExecutions(s.executions + 1)
	s.lastChoice = choice
	s.tried = append(s.tried, choice.Target.Instance())
	f := s.router.fleet
	s.sentAt = time.Now()
	s.shuttingDownFor = f.ShuttingDownFor(choice.Target.Instance(), s.sentAt)
	s.backoffLeft = f.RemainingBackoff(choice.Target.Instance(), s.sentAt)
	s.staleness.atSend, s.staleness.atFirstEvent = f.StaleFor(s.in.Model, choice.WeightsVersion, s.sentAt), 0
	s.active = f.Begin(choice.Target.Instance(), s.requestLoad(choice), s.sentAt)
	defer s.active.End()
	s.tracked.SentTo(choice.Target.Instance())
	defer s.tracked.LeftTarget()
	s.guard = s.guardStart(choice, cancel)
	defer s.guard.stop()
	response, err := s.router.sender.Send(attemptCtx, s.newAttempt(choice))
	if err != nil {
		return s.handleSendError(ctx, choice, err)
	}
	defer response.Body.Close()
	s.recordResponse(choice, response)
	if out, ok := s.handleNotRun(choice, response); ok {
		return out
	}
	s.executions++
	if response.MatchesRequest {
		f.RecordAccepted(choice.Target.Instance(), s.sentAt)
	}
	if !response.MatchesRequest || response.Status < http.StatusOK || (response.Status < 300 && (!response.Sealed || response.Encoded)) {
		f.RecordFailure(choice.Target.Instance(), time.Now())
		return s.outcomeUnknown(retry.Interrupted, "the target %s sent bytes that are not its answer to this request", choice.Target.ID)
	}
	if s.headerWritten && response.Status >= 300 {
		// The client has the head and the first events of another answer.
		return s.outcomeUnknown(retry.Continued, "target %s answered %d in place of the rest of a stream", choice.Target.ID, response.Status)
	}
	if s.in.route.Kind == catalog.Stream && response.Status < 300 {
		return s.forwardStream(choice, response)
	}
	s.guard.stop()
	return s.forwardWhole(choice, response)
}

// Figures of the patience with one target of a request that may be repeated.
const (
	// attemptTimeoutFactor is how many objectives a target is given: by then it is
	// more likely to hang than to be busy.
	attemptTimeoutFactor = 3
	// minAttemptTimeout is the least patience, some runs of a plain service.
	minAttemptTimeout = 200 * time.Millisecond
)

// attemptContext bounds one attempt where another target may still be asked. A
// target that hangs keeps its connections open and its health good; only
// the time that it takes shows it.
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
		HeldTokens:      fleet.EstimateHeldTokens(s.in.InputTokens, choice.CachedTokens, s.in.MaxOutputTokens),
		// The send that begins now counts as one that may have run.
		Resumable: s.in.route.Repeatable() && s.executions+1 < s.in.route.Attempts && s.attempts < retry.MaxAttempts,
	}
}

// cacheCapacity is what a runner holds at most; what it has dropped of that it tells.
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

// recordResponse takes what an answer says of its target beside the answer itself.
func (s *session) recordResponse(choice fleet.Choice, resp *Response) {
	f := s.router.fleet
	if resp.HasLoad {
		f.RecordLoad(choice.Target.Instance(), resp.Load, time.Now())
	}
	if resp.MatchesRequest {
		s.recordNotice(choice, resp.Notice)
	}
	if s.in.Model != "" && resp.MatchesRequest {
		f.RecordWeights(choice.Target.Instance(), s.in.Model, resp.WeightsVersion, time.Now())
	}
}
