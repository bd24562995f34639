package router

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/prefix"
	"acaciakeel/refusal"
	"acaciakeel/retry"
)

// session is one request on its way through one or more targets.
type session struct {
	router *Router
	in     *admitted
	reply  Reply
	// sends counts sends, ran those that may have run.
	sends int
	ran   int
	tried []string
	begun bool
	// lastEvent is the id of the last event passed on.
	lastEvent int64
	hasEvent  bool
	last      fleet.Choice
	ticket    *fleet.Ticket
	firstAt   time.Time
}

// result is how one send ended.
type result struct {
	refused *refusal.Error
	reason  retry.Reason
	// again is set where another target may do better.
	again bool
	// answer is a failure of the target's own, passed on if nothing better comes.
	answer *held
}

// held is a whole answer that waits to be passed on.
type held struct {
	head *Answer
	body []byte
}

// done is the result of an answer that was passed on whole.
var done = result{}

func (s *session) run(ctx context.Context) *refusal.Error {
	s.router.budgets.request(s.in.service.Name, time.Now())
	for {
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
		if ctx.Err() == nil && out.again && s.sends < retry.MaxSends && s.mayRetry(out.reason) {
			s.logRetry(out)
			continue
		}
		return s.giveUp(out)
	}
}

// giveUp passes on the target's own failure, or returns the refusal.
func (s *session) giveUp(out result) *refusal.Error {
	if s.begun {
		s.reply.Break()
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

// overloadFactor is how many times its objective a request may be expected to
// wait for its first token. Beyond it, it would only make those behind it late
// too, and its runners read prompts whose clients have left.
const overloadFactor = 0.75

// overloaded refuses a request whose first token is expected too late, at once
// and with the time until the backlog has shrunk.
func (s *session) overloaded(choice fleet.Choice) *refusal.Error {
	limit := time.Duration(overloadFactor * float64(s.in.route.Objective))
	if s.ran > 0 || s.in.Model == "" || limit <= 0 || choice.FirstToken <= limit {
		return nil
	}
	over := choice.FirstToken - limit
	return refusal.New(refusal.QueueFull, "come back after the time in Retry-After",
		"the first token is expected in %v, over %v", choice.FirstToken.Round(time.Millisecond), limit).After(over + minReturn + rand.N(minReturn))
}

// minReturn is the least time after which a refused client is asked back; twice
// that spreads those refused together.
const minReturn = 200 * time.Millisecond

func (s *session) noTarget() *refusal.Error {
	if s.ran > 0 {
		return refusal.NewUnknown("no other target may be asked after one that may have run the request")
	}
	return refusal.New(refusal.NoTarget, "come back after the time in Retry-After",
		"none of the targets of service %s can take the request", s.in.service.Name).After(retryAfter)
}

func (s *session) choose() (fleet.Choice, bool) {
	in := s.in
	q := fleet.Query{
		Service:       in.service.Name,
		Tried:         s.tried,
		OldWeightsFor: s.router.bounds.OldWeights,
		Weights:       cacheWeights,
	}
	if in.service.Engine != nil && in.Model != "" {
		q.Model = in.Model
		q.TokenBytes = in.service.Engine.TokenBytes
		q.Long = in.long()
		q.Chain = func(weights int64) prefix.Chain { return in.chain(in.salt(weights)) }
	}
	return s.router.fleet.Choose(q, time.Now())
}

// attempt sends the request to one target and passes its answer on.
func (s *session) attempt(ctx context.Context, choice fleet.Choice) result {
	attempt, cancel := s.attemptContext(ctx)
	defer cancel()
	s.sends++
	s.last = choice
	s.tried = append(s.tried, choice.Runner.ID)
	f := s.router.fleet
	s.ticket = f.Begin(choice.Runner.ID, s.stay(choice), time.Now())
	defer s.ticket.End()
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
	if !answer.Own || (answer.Status < 300 && (!answer.Sealed || answer.Encoded)) {
		f.Failed(choice.Runner.ID, time.Now())
		return s.lost(retry.Interrupted, "the target %s sent bytes that are not its answer to this request", choice.Runner.ID)
	}
	if s.begun && answer.Status >= 300 {
		// The client has the head and the first events of another answer.
		return s.lost(retry.Continued, "target %s answered %d in place of the rest of a stream", choice.Runner.ID, answer.Status)
	}
	if s.in.route.Kind == catalog.Stream && answer.Status < 300 {
		return s.stream(choice, answer)
	}
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

func (s *session) stay(choice fleet.Choice) fleet.Stay {
	return fleet.Stay{
		Missing:  max(0, s.in.Input-choice.Cached),
		Chain:    choice.Chain,
		Capacity: s.capacity(),
		Long:     s.in.long(),
		// The send that begins now counts as one that may have run.
		Resumable: s.in.route.Repeatable() && s.ran+1 < s.in.route.Attempts && s.sends < retry.MaxSends,
	}
}

// capacity is what a runner holds at most; what it has dropped of that it tells.
func (s *session) capacity() int {
	if s.in.service.Engine == nil {
		return 0
	}
	return s.in.service.Engine.CapacityTokens
}

func (s *session) newSend(choice fleet.Choice) *Send {
	in := s.in
	send := &Send{Request: in.Request, Runner: choice.Runner, Deadline: in.limit, Priority: -1, Weights: choice.Weights, After: s.after()}
	if in.customer != nil {
		send.Customer = in.customer.Name
	}
	if in.Model != "" {
		send.Priority = in.priority()
		send.Salt = in.salt(choice.Weights)
		send.FetchFrom = choice.Source
		send.SaveTo = choice.SaveTo
	}
	return send
}

// learn takes what an answer says of its target beside the answer itself.
func (s *session) learn(choice fleet.Choice, a *Answer) {
	f := s.router.fleet
	if a.HasLoad {
		f.Loaded(choice.Runner.ID, a.Load, time.Now())
	}
	if s.in.Model != "" && a.Own {
		f.Learn(choice.Runner.ID, s.in.Model, a.Weights, time.Now())
	}
}

// orderPause is for how long a runner that refuses because of an order is left
// alone: it ends its runs and loads for longer, and news of its weights ends the
// pause.
const orderPause = 600 * time.Millisecond

// fullPause is for how long a full target is left alone: about one step of a batch.
const fullPause = 30 * time.Millisecond

// notRun handles answers by which the target did not run the request.
func (s *session) notRun(choice fleet.Choice, a *Answer) (result, bool) {
	if !a.NotRun {
		return result{}, false
	}
	now := time.Now()
	f := s.router.fleet
	kind := refusal.QueueFull
	switch {
	case a.Moved && a.Instance != "" && a.Instance != choice.Runner.ID:
		f.Remove(choice.Runner.ID)
		kind = refusal.NotReady
	case a.Moved:
		s.misjudged(choice, a)
		kind = refusal.NotReady
	case choice.Weights < f.Named()[s.in.Model]:
		f.Busy(choice.Runner.ID, now.Add(orderPause))
		kind = refusal.NotReady
	default:
		f.Busy(choice.Runner.ID, now.Add(fullPause))
	}
	refused := refusal.New(kind, "come back after the time in Retry-After", "target %s did not take the request (status %d)", choice.Runner.ID, a.Status).After(retryAfter)
	return result{refused: refused, reason: retry.TargetAway, again: true}, true
}

// misjudged corrects the belief in a runner's weights after it said that they
// are others: where it does not say which, it has most likely just loaded the
// newest.
func (s *session) misjudged(choice fleet.Choice, a *Answer) {
	f := s.router.fleet
	version := a.Weights
	if version == 0 {
		version = f.Named()[s.in.Model]
	}
	f.Learn(choice.Runner.ID, s.in.Model, version, time.Now())
}

// unanswered handles a send without an answer.
func (s *session) unanswered(ctx context.Context, choice fleet.Choice, err error) result {
	var send *SendError
	sent := !errors.As(err, &send) || send.Sent
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		// The client left, which says nothing of the target.
	case sent:
		s.router.fleet.Failed(choice.Runner.ID, time.Now())
	default:
		s.router.fleet.Unreachable(choice.Runner.ID, time.Now())
	}
	if !sent {
		refused := refusal.New(refusal.NoTarget, "come back after the time in Retry-After", "target %s can't be reached: %v", choice.Runner.ID, err).After(retryAfter)
		return result{refused: refused, reason: retry.Unreachable, again: true}
	}
	s.ran++
	return s.lost(retry.Interrupted, "target %s did not answer: %v", choice.Runner.ID, err)
}

// lost is the result of a send that may have run and has no answer to pass on.
func (s *session) lost(reason retry.Reason, format string, args ...any) result {
	refused := refusal.New(refusal.TargetFailed, "look the result up, or send again what may be repeated", format, args...)
	refused.Outcome = refusal.Unknown
	return result{refused: refused, reason: reason, again: s.repeatable()}
}

// repeatable reports whether another target may run the request too.
func (s *session) repeatable() bool {
	return s.in.route.Repeatable() && s.ran < s.in.route.Attempts
}

// maxAnswer bounds the body of an answer that is held whole, in bytes.
const maxAnswer = 8 << 20

// whole reads a whole answer before it is passed on, so that one that breaks
// off can still become a retry or a clear failure.
func (s *session) whole(choice fleet.Choice, a *Answer) result {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		s.router.fleet.Failed(choice.Runner.ID, time.Now())
		return s.lost(retry.Interrupted, "the answer of target %s broke off: %v", choice.Runner.ID, err)
	}
	if a.Status >= 500 && s.in.route.Kind == catalog.Idempotent {
		return result{reason: retry.Interrupted, again: s.repeatable(), answer: &held{a, body}}
	}
	s.router.fleet.Succeeded(choice.Runner.ID)
	if refused := s.pass(&held{a, body}); refused != nil {
		return result{refused: refused}
	}
	return done
}

// pass writes a whole answer.
func (s *session) pass(h *held) *refusal.Error {
	h.head.Length = int64(len(h.body))
	s.begun = true
	if err := s.reply.Begin(h.head); err != nil {
		return clientLeft(err)
	}
	if err := s.reply.Write(h.body); err != nil {
		return clientLeft(err)
	}
	return nil
}

func clientLeft(err error) *refusal.Error {
	out := refusal.New(refusal.Interrupted, "none", "the client left: %v", err)
	out.Outcome = refusal.Ran
	return out
}

func (s *session) describe(fields logrus.Fields) {
	fields["service"] = s.in.service.Name
	fields["sends"] = s.sends
	fields["target"] = s.last.Runner.ID
	if s.in.Model != "" {
		fields["weights"] = s.last.Weights
		fields["cached"] = s.last.Cached
		fields["shared"] = s.last.Shared
		fields["source"] = s.last.Source
		fields["input"] = s.in.Input
		fields["output"] = s.in.Output
		fields["wait_ms"] = s.last.Wait.Milliseconds()
	}
	if !s.firstAt.IsZero() {
		fields["first_ms"] = s.firstAt.Sub(s.in.Received).Milliseconds()
	}
}

func (s *session) logRetry(out result) {
	fields := logrus.Fields{"event": "retry", "request": s.in.ID, "reason": out.reason, "target": s.last.Runner.ID, "sends": s.sends, "weights": s.last.Weights}
	message := "the target failed the request"
	if out.refused != nil {
		message = out.refused.Message
	}
	s.router.log.WithFields(fields).Info(message)
}
