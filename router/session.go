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
	in     *admitted
	reply  ResponseWriter
	// charge is what the request counts against its customer's limit.
	charge *quota.Charge
	// sends counts sends, ran those that may have run.
	sends int
	ran   int
	tried []fleet.Instance
	begun bool
	// status is what the client was answered with; 0 before.
	status int
	// lastEvent is the id of the last event passed on.
	lastEvent int64
	hasEvent  bool
	last      fleet.Choice
	ticket    *fleet.ActiveRequest
	// waits takes the last send back if it waits for too long to begin.
	waits   *recall
	firstAt time.Time
	// lastAt is when the last event was passed on, pause the longest between two.
	lastAt time.Time
	pause  time.Duration
	// sentAt is when the last send began, leaving for how long its target had said by
	// then that it leaves, and rest for how long it wanted nothing yet.
	sentAt  time.Time
	leaving time.Duration
	rest    time.Duration
	// replaced is for how long newer weights had been wanted than those of the last
	// send: when it was sent, and when its first event came.
	replaced struct{ sent, first time.Duration }
	// here counts the request among those of its content, judged is how that stood before
	// the last send, and asked is closed once it is known whether the target that broke
	// the last answer off has ended; nil where none did.
	here   *poison.ActiveRequest
	judged poison.Decision
	asked  <-chan struct{}
}

func (s *session) run(ctx context.Context) *refusal.Error {
	s.router.budgets.request(s.in.service.Name, time.Now())
	s.here = s.router.poison.Track(s.in.content)
	defer s.here.Finish()
	for {
		if refused := s.judge(time.Now()); refused != nil {
			return s.giveUp(result{refused: refused})
		}
		choice, ok := s.choose()
		if !ok {
			return s.giveUp(result{refused: s.noTarget()})
		}
		if refused := s.overloaded(choice); refused != nil {
			return refused
		}
		out := s.attempt(ctx, choice)
		if out.refused == nil && out.answer == nil {
			return nil
		}
		if ctx.Err() == nil && out.again && s.sends < retry.MaxAttempts && s.mayRetry(out.reason) {
			s.logRetry(out)
			s.awaitEnding(ctx)
			continue
		}
		return s.giveUp(out)
	}
}

// settleCharge gives the customer back what it was charged for sends that did not run.
func (s *session) settleCharge() {
	s.charge.SetExecutions(s.ran)
}

// giveUp passes on the target's own failure, or returns the refusal.
func (s *session) giveUp(out result) *refusal.Error {
	if s.begun {
		s.reply.Abort()
		broken := refusal.New(refusal.Interrupted, "resume after the last event, where the route allows it", "the stream broke off: %s", out.refused.Message)
		broken.Outcome = refusal.Ran
		return broken
	}
	if out.answer != nil {
		return s.pass(out.answer)
	}
	if s.ran > 0 && out.refused.Outcome == refusal.NotRun {
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
		CostWeights:   cacheWeights,
		Isolate:       s.judged.Status == poison.Suspect,
		AlwaysIsolate: s.judged.Crashes > 1,
		Avoid:         s.judged.Avoid,
	}
	if in.service.Engine != nil && in.Model != "" {
		q.Model = in.Model
		q.TokenBytes = in.service.Engine.TokenBytes
		q.Capacity = in.service.Engine.CapacityTokens
		q.InputTokens, q.MaxOutputTokens, q.Objective = in.InputTokens, in.MaxOutputTokens, in.route.Objective
		q.Chain = func(weights int64) prefix.Chain { return in.chain(in.salt(weights)) }
	}
	return q
}

// attempt sends the request to one target and passes its answer on.
func (s *session) attempt(ctx context.Context, choice fleet.Choice) result {
	attempt, cancel := s.attemptContext(ctx)
	defer cancel()
	s.sends++
	s.charge.SetExecutions(s.ran + 1)
	s.last = choice
	s.tried = append(s.tried, choice.Target.Instance())
	f := s.router.fleet
	s.sentAt = time.Now()
	s.leaving = f.ShuttingDownFor(choice.Target.Instance(), s.sentAt)
	s.rest = f.RemainingBackoff(choice.Target.Instance(), s.sentAt)
	s.replaced.sent, s.replaced.first = f.StaleFor(s.in.Model, choice.WeightsVersion, s.sentAt), 0
	s.ticket = f.Begin(choice.Target.Instance(), s.stay(choice), s.sentAt)
	defer s.ticket.End()
	s.here.SentTo(choice.Target.Instance())
	defer s.here.LeftTarget()
	s.waits = s.recall(choice, cancel)
	defer s.waits.end()
	answer, err := s.router.sender.Send(attempt, s.newSend(choice))
	if err != nil {
		return s.unanswered(ctx, choice, err)
	}
	defer answer.Body.Close()
	s.learn(choice, answer)
	if out, ok := s.notRun(choice, answer); ok {
		return out
	}
	s.ran++
	if answer.MatchesRequest {
		f.RecordAccepted(choice.Target.Instance(), s.sentAt)
	}
	if !answer.MatchesRequest || answer.Status < http.StatusOK || (answer.Status < 300 && (!answer.Sealed || answer.Encoded)) {
		f.RecordFailure(choice.Target.Instance(), time.Now())
		return s.lost(retry.Interrupted, "the target %s sent bytes that are not its answer to this request", choice.Target.ID)
	}
	if s.begun && answer.Status >= 300 {
		// The client has the head and the first events of another answer.
		return s.lost(retry.Continued, "target %s answered %d in place of the rest of a stream", choice.Target.ID, answer.Status)
	}
	if s.in.route.Kind == catalog.Stream && answer.Status < 300 {
		return s.stream(choice, answer)
	}
	s.waits.end()
	return s.whole(choice, answer)
}

// Figures of the patience with one target of a request that may be repeated.
const (
	// patienceFactor is how many objectives a target is given: by then it is
	// more likely to hang than to be busy.
	patienceFactor = 3
	// minPatience is the least patience, some runs of a plain service.
	minPatience = 200 * time.Millisecond
)

// attemptContext bounds one attempt where another target may still be asked. A
// target that hangs keeps its connections open and its health good; only
// the time that it takes shows it.
func (s *session) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	r := s.in.route
	if r.Kind != catalog.Idempotent || s.ran+1 >= r.Attempts || r.Objective <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, max(patienceFactor*r.Objective, minPatience))
}

func (s *session) stay(choice fleet.Choice) fleet.RequestLoad {
	return fleet.RequestLoad{
		UncachedTokens:  max(0, s.in.InputTokens-choice.CachedTokens-choice.FetchTokens),
		Transfer:        choice.Transfer,
		PromptTokens:    s.in.InputTokens,
		MaxOutputTokens: s.in.MaxOutputTokens,
		Chain:           choice.Chain,
		Capacity:        s.capacity(),
		Long:            choice.Long,
		HeldTokens:      fleet.EstimateHeldTokens(s.in.InputTokens, choice.CachedTokens, s.in.MaxOutputTokens),
		// The send that begins now counts as one that may have run.
		Resumable: s.in.route.Repeatable() && s.ran+1 < s.in.route.Attempts && s.sends < retry.MaxAttempts,
	}
}

// capacity is what a runner holds at most; what it has dropped of that it tells.
func (s *session) capacity() int {
	if s.in.service.Engine == nil {
		return 0
	}
	return s.in.service.Engine.CapacityTokens
}

func (s *session) newSend(choice fleet.Choice) *Attempt {
	in := s.in
	send := &Attempt{Request: in.Request, Target: choice.Target, Deadline: in.limit, Customer: in.customerName(), Priority: -1, WeightsVersion: choice.WeightsVersion, LastEventID: s.after()}
	if in.Model != "" {
		send.Priority = in.priority()
		send.CacheSalt = in.salt(choice.WeightsVersion)
		send.FetchFrom = choice.Source
		send.SaveTo = choice.SaveTo
	}
	return send
}

// learn takes what an answer says of its target beside the answer itself.
func (s *session) learn(choice fleet.Choice, a *Response) {
	f := s.router.fleet
	if a.HasLoad {
		f.RecordLoad(choice.Target.Instance(), a.Load, time.Now())
	}
	if a.MatchesRequest {
		s.notice(choice, a.Notice)
	}
	if s.in.Model != "" && a.MatchesRequest {
		f.RecordWeights(choice.Target.Instance(), s.in.Model, a.WeightsVersion, time.Now())
	}
}
