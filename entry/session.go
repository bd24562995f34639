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

// modelRequest is a validated model request with its customer and model settings.
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
	// weights is the weights version that the request runs with.
	weights string
	// resumable is set if the client reads an event stream. Its event ids allow it to
	// resume.
	resumable bool
}

func (m *modelRequest) cacheSalt() string {
	return prefix.Salt{
		Customer:       m.customer,
		Model:          m.model,
		WeightsVersion: m.weights,
		Adapter:        m.adapter,
	}.String()
}

// streamEvent is one event of a client's stream: a token, or the end if finish is set.
type streamEvent struct {
	offset int
	text   string
	// id is the SSE event id; the client sends it to resume after this event.
	id     string
	finish *stream.Finish
}

// session runs one model request, with as many attempts, connections and runners
// as it needs.
type session struct {
	entry     *Entry
	request   *modelRequest
	assembler stream.Assembler
	sentText  []byte
	// build is the software version of the engine that sent the first token. The stream is
	// continued only at engines of that version.
	build string
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun   bool
	attempt      uint32
	attemptCount int
	triedTargets []string
	target       chosenTarget
	// runnerWait is the total time that the stream has waited for a ready runner.
	runnerWait time.Duration
	events     chan streamEvent
	err        *refusal.Error
}

// eventBuffer is the number of events buffered for a slow client.
const eventBuffer = 64

// startSession starts running a request. Events arrive on the events channel. When
// it is closed, err holds the reason if the stream was interrupted.
func (e *Entry) startSession(ctx context.Context, m *modelRequest) *session {
	s := &session{entry: e, request: m, events: make(chan streamEvent, eventBuffer)}
	go func() {
		defer close(s.events)
		s.err = s.run(ctx)
	}()
	return s
}

// run makes attempts until one completes the stream. An interrupted attempt is
// continued at another runner with the prompt and the text already sent, so that
// only tokens missing from every cache are recomputed.
func (s *session) run(ctx context.Context) *refusal.Error {
	s.entry.retryBudgets.recordRequest(s.request.customer)
	for {
		refused := s.runAttempt(ctx)
		if refused == nil {
			return nil
		}
		s.mayHaveRun = s.mayHaveRun || len(s.sentText) > 0 || refused.Outcome != refusal.NotRun
		if s.mayHaveRun && refused.Outcome == refusal.NotRun {
			// The refusal speaks for the last attempt only.
			refused.Outcome = refusal.Unknown
		}
		if ctx.Err() != nil {
			if shutdown := shutdownRefusal(ctx); shutdown != nil {
				return shutdown
			}
			left := refusal.New(refusal.Canceled, "nothing", "the caller left")
			left.Outcome = refused.Outcome
			return left
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

// Limits of waiting for a runner after a stream has started.
const (
	maxRunnerWait   = 10 * time.Second
	runnerWaitPause = 200 * time.Millisecond
	// waitingProbeInterval is the most time between two probes of a dead runner while streams wait.
	// Without it, a runner that is back may be asked only after they have given up.
	waitingProbeInterval = 500 * time.Millisecond
)

// canWaitForRunner reports whether the session should wait for a runner to become
// ready. Only a stream of which the client has received a part waits; a request
// of which nothing was sent is refused immediately.
func (s *session) canWaitForRunner(refused *refusal.Error) bool {
	return len(s.sentText) > 0 && refused.Kind == refusal.NoTarget
}

// waitForRunner pauses and clears the list of tried runners, because one that crashed
// may have restarted. It returns false after maxRunnerWait in total.
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

// runAttempt makes one attempt with the weights that the model serves now. A started
// stream keeps its weights version while any runner has it loaded.
func (s *session) runAttempt(ctx context.Context) *refusal.Error {
	m := s.request
	if len(s.sentText) == 0 {
		m.weights = s.entry.rollouts.servingVersion(m, s.entry.table.Load().snapshot())
	}
	refused := s.runAttemptWithWeights(ctx)
	if refused == nil || refused.Kind != refusal.NoTarget || m.weights == m.spec.WeightsVersion {
		return refused
	}
	// No runner has the previous weights any more. A request may move to newer
	// weights, but never to older ones.
	m.weights = m.spec.WeightsVersion
	return s.runAttemptWithWeights(ctx)
}

// runAttemptWithWeights makes one attempt with the request's weights version.
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
		bound:      len(s.sentText) > 0,
		build:      s.build,
		waits:      s.runnerWait > 0,
	})
	if refused != nil {
		return refused
	}
	s.target = target
	s.attempt++
	s.attemptCount++
	s.triedTargets = append(s.triedTargets, target.name)
	s.assembler.StartAttempt(s.attempt)
	return s.entry.newAttempt(s, prompt.Text, chain, salt).run(ctx)
}

// acceptToken forwards each token once and in order. It returns false if the token
// leaves a gap, in which case the connection must not be read further.
func (s *session) acceptToken(ctx context.Context, attempt uint32, t *keelv1.Token) bool {
	status := s.assembler.Accept(attempt, int(t.Offset))
	switch status {
	case stream.Next:
	case stream.Gap:
		s.entry.metrics.streamEvents.WithLabelValues(string(status)).Inc()
		return false
	default:
		s.entry.metrics.streamEvents.WithLabelValues(string(status)).Inc()
		return true
	}
	if len(s.sentText) == 0 {
		s.build = t.Build
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
		base:      s.assembler.Offset() - s.assembler.AttemptOffset(),
		offset:    offset,
	}.String()
}

func (s *session) emit(ctx context.Context, e streamEvent) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// emitFinish sends the final event with the token counts.
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

// abandonTimeout limits the Abandon request to an agent.
const abandonTimeout = time.Second

// abandon tells the agent that the output of an attempt will not be read any more.
func (e *Entry) abandon(url, customer, requestID string, attempt uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	req := connect.NewRequest(&keelv1.AbandonRequest{Customer: customer, RequestId: requestID, Attempt: attempt})
	// If this fails, the agent's time limit for unread streams ends the attempt.
	_, _ = e.links.Peer(url).Clients().Agent.Abandon(ctx, req)
}
