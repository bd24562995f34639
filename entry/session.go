package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/prefix"
	"acaciakeel/refusal"
	"acaciakeel/resource"
	"acaciakeel/retry"
	"acaciakeel/stream"
)

// plan is a model request after decoding: what to run, for whom.
type plan struct {
	requestID  string
	customer   string
	contract   resource.Customer
	model      string
	adapter    string
	spec       resource.Model
	prompt     prefix.Prompt
	maxTokens  int
	deadline   time.Time
	preference resource.Preference
	received   time.Time
	// weights is the version that the request runs with.
	weights string
	// resumable: the caller reads a stream, whose events have ids.
	resumable bool
}

func (p *plan) salt() string {
	return prefix.Salt{
		Customer:       p.customer,
		Model:          p.model,
		WeightsVersion: p.weights,
		Adapter:        p.adapter,
	}.String()
}

// event is one thing that a caller's stream consists of: a token, or the end.
type event struct {
	offset int
	text   string
	// id lets the caller resume after this event.
	id     string
	finish *stream.Finish
}

// session carries one model request to its end, over as many attempts,
// connections and runners as that takes.
type session struct {
	entry     *Entry
	plan      *plan
	assembler stream.Assembler
	sent      []byte
	attempt   uint32
	sends     int
	tried     []string
	target    chosen
	// waitedFor is how long the stream has waited for any runner.
	waitedFor time.Duration
	events    chan event
	err       *refusal.Error
}

// eventBuffer is how many events may wait for a slow caller.
const eventBuffer = 64

// startSession begins to run a plan. Events come on its channel, which closes
// at the end; then err says why a stream broke off, if it did.
func (e *Entry) startSession(ctx context.Context, p *plan) *session {
	s := &session{entry: e, plan: p, events: make(chan event, eventBuffer)}
	go func() {
		defer close(s.events)
		s.err = s.run(ctx)
	}()
	return s
}

// run makes attempts until one brings the stream to its end. An attempt that
// broke off is continued at another runner from the prompt and what was sent,
// so that only what no cache holds is computed again.
func (s *session) run(ctx context.Context) *refusal.Error {
	s.entry.budget.request(s.plan.customer)
	for {
		refused := s.attemptOnce(ctx)
		if refused == nil {
			return nil
		}
		if ctx.Err() != nil {
			if ending := endingOf(ctx); ending != nil {
				return ending
			}
			return refusal.New(refusal.Canceled, "nothing", "the caller left")
		}
		if len(s.sent) > 0 && refused.Outcome == refusal.NotRun {
			// The stream as a whole did run.
			refused.Outcome = refusal.Unknown
		}
		if s.mayAwait(refused) {
			if !s.awaitRunner(ctx) {
				return refused
			}
			continue
		}
		if !retry.Allowed(refused, true, s.sends) {
			return refused
		}
		if !s.entry.budget.take(s.plan.customer) {
			s.entry.metrics.budgetSpent.Inc()
			return refused
		}
		s.entry.metrics.retries.WithLabelValues(string(retryReason(refused, len(s.sent)))).Inc()
	}
}

// Waiting for a runner in mid-stream.
const (
	awaitRunnerFor   = 10 * time.Second
	awaitRunnerPause = 200 * time.Millisecond
)

// mayAwait reports whether a stream that has begun should wait for a runner
// to come back. The caller has its first part and reads on; a request of
// which nothing was sent yet is refused at once instead.
func (s *session) mayAwait(refused *refusal.Error) bool {
	return len(s.sent) > 0 && refused.Kind == refusal.NoTarget
}

// awaitRunner waits a little, and forgets which runners were tried: one that
// crashed may be back. It reports false once the stream has waited too long.
func (s *session) awaitRunner(ctx context.Context) bool {
	if s.waitedFor >= awaitRunnerFor {
		return false
	}
	s.waitedFor += awaitRunnerPause
	s.tried = nil
	select {
	case <-time.After(awaitRunnerPause):
	case <-ctx.Done():
	}
	return true
}

func retryReason(r *refusal.Error, sent int) retry.Reason {
	switch {
	case sent > 0:
		return retry.Continued
	case r.Kind == refusal.TargetNotReady || r.Kind == refusal.Stopping:
		return retry.TargetUnavailable
	case r.Outcome == refusal.NotRun:
		return retry.Unreachable
	}
	return retry.Interrupted
}

// attemptOnce makes one attempt with the weights that the model serves now; a
// stream that has begun keeps its own while any runner has them.
func (s *session) attemptOnce(ctx context.Context) *refusal.Error {
	p := s.plan
	if len(s.sent) == 0 {
		p.weights = s.entry.rollouts.serving(p, s.entry.table.Load().snapshot())
	}
	refused := s.send(ctx)
	if refused == nil || refused.Kind != refusal.NoTarget || p.weights == p.spec.WeightsVersion {
		return refused
	}
	// No runner has the previous weights any more. Forward is the only way:
	// no request moves to older ones.
	p.weights = p.spec.WeightsVersion
	return s.send(ctx)
}

// send makes an attempt with the plan's weights.
func (s *session) send(ctx context.Context) *refusal.Error {
	p := s.plan
	prompt := prefix.Prompt{Text: append(p.prompt.Text[:len(p.prompt.Text):len(p.prompt.Text)], s.sent...), Ends: p.prompt.Ends}
	salt := p.salt()
	chain := prefix.NewChain(salt, prompt, p.spec.BlockTokens, p.spec.PieceTokens)
	target, refused := s.entry.choose(ctx, question{
		customer:   p.customer,
		priority:   *p.contract.Priority,
		model:      p.model,
		weights:    p.weights,
		root:       prefix.Root(salt),
		chain:      chain,
		preference: p.preference,
		tried:      s.tried,
	})
	if refused != nil {
		return refused
	}
	s.target = target
	s.attempt++
	s.sends++
	s.tried = append(s.tried, target.name)
	s.assembler.StartAttempt(s.attempt)
	return s.entry.newAttempt(s, prompt.Text, chain, salt).run(ctx)
}

// take passes one token on, once and in order, and reports whether the
// connection that it came over is still to be believed.
func (s *session) take(ctx context.Context, attempt uint32, t *keelv1.Token) bool {
	verdict := s.assembler.Accept(attempt, int(t.Offset))
	switch verdict {
	case stream.Next:
	case stream.Gap:
		s.entry.metrics.streamEvents.WithLabelValues(string(verdict)).Inc()
		return false
	default:
		s.entry.metrics.streamEvents.WithLabelValues(string(verdict)).Inc()
		return true
	}
	s.sent = append(s.sent, t.Text...)
	offset := s.assembler.Offset() - 1
	s.emit(ctx, event{offset: offset, text: t.Text, id: s.eventID(offset)})
	return true
}

func (s *session) eventID(offset int) string {
	return resumePoint{
		requestID: s.plan.requestID,
		attempt:   s.attempt,
		target:    s.target.name,
		base:      s.assembler.Offset() - s.assembler.AttemptOffset(),
		offset:    offset,
	}.String()
}

func (s *session) emit(ctx context.Context, e event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// finish passes the end on.
func (s *session) finish(ctx context.Context, f *keelv1.Finish) {
	s.emit(ctx, event{
		offset: s.assembler.Offset(),
		id:     s.eventID(s.assembler.Offset()),
		finish: &stream.Finish{
			Reason:           f.Reason,
			PromptTokens:     prefix.TokenCount(len(s.plan.prompt.Text)),
			CachedTokens:     int(f.CachedTokens),
			CompletionTokens: s.assembler.Offset(),
			WeightsVersion:   f.WeightsVersion,
		},
	})
}

// abandonTimeout bounds telling an agent that an attempt was given up.
const abandonTimeout = time.Second

// abandon tells the agent of an attempt that nobody will read it any more.
func (e *Entry) abandon(url, customer, requestID string, attempt uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	req := connect.NewRequest(&keelv1.AbandonRequest{Customer: customer, RequestId: requestID, Attempt: attempt})
	// A failure leaves the attempt to the agent's own limit for unread streams.
	_, _ = e.links.Peer(url).Clients().Agent.Abandon(ctx, req)
}
