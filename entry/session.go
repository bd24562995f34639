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

// modelRequest is a model request after decoding: what to run, for whom.
type modelRequest struct {
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

func (p *modelRequest) cacheSalt() string {
	return prefix.Salt{
		Customer:       p.customer,
		Model:          p.model,
		WeightsVersion: p.weights,
		Adapter:        p.adapter,
	}.String()
}

// streamEvent is one thing that a caller's stream consists of: a token, or the end.
type streamEvent struct {
	offset int
	text   string
	// id lets the caller resume after this event.
	id     string
	finish *stream.Finish
}

// session carries one model request to its end, over as many attempts,
// connections and runners as that takes.
type session struct {
	entry        *Entry
	request      *modelRequest
	assembler    stream.Assembler
	sentText     []byte
	attempt      uint32
	attemptCount int
	triedTargets []string
	target       chosenTarget
	// runnerWait is how long the stream has waited for any runner.
	runnerWait time.Duration
	events     chan streamEvent
	err        *refusal.Error
}

// eventBuffer is how many events may wait for a slow caller.
const eventBuffer = 64

// startSession begins to run a plan. Events come on its channel, which closes
// at the end; then err says why a stream broke off, if it did.
func (e *Entry) startSession(ctx context.Context, m *modelRequest) *session {
	s := &session{entry: e, request: m, events: make(chan streamEvent, eventBuffer)}
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
	s.entry.retryBudgets.recordRequest(s.request.customer)
	for {
		refused := s.runAttempt(ctx)
		if refused == nil {
			return nil
		}
		if ctx.Err() != nil {
			if shutdown := shutdownRefusal(ctx); shutdown != nil {
				return shutdown
			}
			return refusal.New(refusal.Canceled, "nothing", "the caller left")
		}
		if len(s.sentText) > 0 && refused.Outcome == refusal.NotRun {
			// The stream as a whole did run.
			refused.Outcome = refusal.Unknown
		}
		if s.canWaitForRunner(refused) {
			if !s.waitForRunner(ctx) {
				return refused
			}
			continue
		}
		if !retry.Allowed(refused, true, s.attemptCount) {
			return refused
		}
		if !s.entry.retryBudgets.take(s.request.customer) {
			s.entry.metrics.retryBudgetExhausted.Inc()
			return refused
		}
		s.entry.metrics.retries.WithLabelValues(string(retryReason(refused, len(s.sentText)))).Inc()
	}
}

// Waiting for a runner in mid-stream.
const (
	maxRunnerWait   = 10 * time.Second
	runnerWaitPause = 200 * time.Millisecond
)

// canWaitForRunner reports whether a stream that has begun should wait for a runner
// to come back. The caller has its first part and reads on; a request of
// which nothing was sent yet is refused at once instead.
func (s *session) canWaitForRunner(refused *refusal.Error) bool {
	return len(s.sentText) > 0 && refused.Kind == refusal.NoTarget
}

// waitForRunner waits a little, and forgets which runners were tried: one that
// crashed may be back. It reports false once the stream has waited too long.
func (s *session) waitForRunner(ctx context.Context) bool {
	if s.runnerWait >= maxRunnerWait {
		return false
	}
	s.runnerWait += runnerWaitPause
	s.triedTargets = nil
	select {
	case <-time.After(runnerWaitPause):
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

// runAttempt makes one attempt with the weights that the model serves now; a
// stream that has begun keeps its own while any runner has them.
func (s *session) runAttempt(ctx context.Context) *refusal.Error {
	m := s.request
	if len(s.sentText) == 0 {
		m.weights = s.entry.rollouts.servingVersion(m, s.entry.table.Load().snapshot())
	}
	refused := s.runAttemptWithWeights(ctx)
	if refused == nil || refused.Kind != refusal.NoTarget || m.weights == m.spec.WeightsVersion {
		return refused
	}
	// No runner has the previous weights any more. Forward is the only way:
	// no request moves to older ones.
	m.weights = m.spec.WeightsVersion
	return s.runAttemptWithWeights(ctx)
}

// runAttemptWithWeights makes an attempt with the plan's weights.
func (s *session) runAttemptWithWeights(ctx context.Context) *refusal.Error {
	m := s.request
	prompt := prefix.Prompt{Text: append(m.prompt.Text[:len(m.prompt.Text):len(m.prompt.Text)], s.sentText...), Ends: m.prompt.Ends}
	salt := m.cacheSalt()
	chain := prefix.NewChain(salt, prompt, m.spec.BlockTokens, m.spec.PieceTokens)
	target, refused := s.entry.chooseTarget(ctx, placementQuery{
		customer:   m.customer,
		priority:   *m.contract.Priority,
		model:      m.model,
		weights:    m.weights,
		root:       prefix.Root(salt),
		chain:      chain,
		preference: m.preference,
		excluded:   s.triedTargets,
	})
	if refused != nil {
		return refused
	}
	s.target = target
	s.attempt++
	s.attemptCount++
	s.triedTargets = append(s.triedTargets, target.name)
	s.assembler.Begin(s.attempt)
	return s.entry.newAttempt(s, prompt.Text, chain, salt).run(ctx)
}

// acceptToken passes one token on, once and in order, and reports whether the
// connection that it came over is still to be believed.
func (s *session) acceptToken(ctx context.Context, attempt uint32, t *keelv1.Token) bool {
	verdict := s.assembler.Take(attempt, int(t.Offset))
	switch verdict {
	case stream.Next:
	case stream.Ahead:
		s.entry.metrics.streamEvents.WithLabelValues(string(verdict)).Inc()
		return false
	default:
		s.entry.metrics.streamEvents.WithLabelValues(string(verdict)).Inc()
		return true
	}
	s.sentText = append(s.sentText, t.Text...)
	offset := s.assembler.Offset() - 1
	s.emit(ctx, streamEvent{offset: offset, text: t.Text, id: s.eventID(offset)})
	return true
}

func (s *session) eventID(offset int) string {
	return resumePoint{
		requestID: s.request.requestID,
		attempt:   s.attempt,
		target:    s.target.name,
		base:      s.assembler.Offset() - s.assembler.Resume(),
		offset:    offset,
	}.String()
}

func (s *session) emit(ctx context.Context, e streamEvent) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// emitFinish passes the end on.
func (s *session) emitFinish(ctx context.Context, f *keelv1.Finish) {
	s.emit(ctx, streamEvent{
		offset: s.assembler.Offset(),
		id:     s.eventID(s.assembler.Offset()),
		finish: &stream.Finish{
			Reason:           f.Reason,
			PromptTokens:     prefix.TokenCount(len(s.request.prompt.Text)),
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
