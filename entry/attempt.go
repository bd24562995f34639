package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/link"
	"acaciakeel/prefix"
	"acaciakeel/refusal"
	"acaciakeel/retry"
	"acaciakeel/settings"
)

// attempt is one execution of a request at one target, read over one or more
// connections.
type attempt struct {
	entry   *Entry
	session *session
	number  uint32
	target  chosenTarget
	request *keelv1.GenerateRequest
}

// Limits of resuming one attempt at its agent. A lost connection costs 1 of
// reattachBudget, a silent one silentConnectionCost, because detecting the silence
// has already taken time.
const (
	reattachBudget       = 4
	silentConnectionCost = 2
	reattachPause        = 150 * time.Millisecond
)

func (e *Entry) newAttempt(s *session, prompt []byte, chain prefix.Chain, salt string) *attempt {
	m := s.request
	req := &keelv1.GenerateRequest{
		RequestId:      m.requestID,
		Attempt:        s.attempt,
		Customer:       m.customer,
		Model:          m.model,
		WeightsVersion: m.weights,
		Adapter:        m.adapter,
		Prompt:         prompt,
		MaxTokens:      uint32(m.maxTokens - s.assembler.Offset()),
		Priority:       uint32(*m.contract.Priority),
		Weight:         uint32(m.contract.Weight),
		PromptTokens:   uint32(chain.Tokens),
		Reservation:    s.target.reservation,
		CacheSalt:      salt,
		Root:           prefix.Root(salt),
		ConfigRevision: uint64(e.follower.Revision()),
		Bound:          len(s.sentText) > 0,
		Build:          s.build,
	}
	if !m.deadline.IsZero() {
		req.DeadlineMs = uint32(max(1, time.Until(m.deadline).Milliseconds()))
	}
	req.BoundaryHash, req.BoundaryTokens = encodeChain(chain)
	return &attempt{entry: e, session: s, number: s.attempt, target: s.target, request: req}
}

// run reads the attempt's stream to its end and resumes it on new connections while
// the agent holds it. A nil result means that the final event was forwarded.
func (a *attempt) run(ctx context.Context) *refusal.Error {
	e := a.entry
	e.health.beginAttempt(a.target.name)
	defer e.health.endAttempt(a.target.name)
	request := a.request
	for budget, reattached := reattachBudget, 0; ; reattached++ {
		refused, connErr := a.readConnection(ctx, request)
		if connErr == nil {
			a.recordTargetHealth(refused)
			return refused
		}
		if request.AttachOnly {
			// The request was sent over an earlier connection.
			refused.Outcome = refusal.Unknown
		}
		budget--
		if errors.Is(connErr, errSilentConnection) {
			budget -= silentConnectionCost - 1
		}
		if ctx.Err() != nil {
			a.handleClientGone()
			return refused
		}
		if budget <= 0 {
			go e.abandon(a.target.url, a.request.Customer, a.request.RequestId, a.number)
			return refused
		}
		if refused.Outcome == refusal.NotRun && reattached == 0 {
			return refused
		}
		e.metrics.retries.WithLabelValues(string(retry.Resumed)).Inc()
		time.Sleep(time.Duration(reattached) * reattachPause)
		request = a.newReattachRequest()
	}
}

// handleClientGone cancels the attempt, unless the client can resume it with the id
// of the last event. In that case the agent ends it after its time limit for unread
// streams.
func (a *attempt) handleClientGone() {
	if a.session.request.resumable && a.session.assembler.Offset() > 0 {
		return
	}
	go a.entry.abandon(a.target.url, a.request.Customer, a.request.RequestId, a.number)
}

// recordTargetHealth updates the target's health from the result of an attempt.
func (a *attempt) recordTargetHealth(refused *refusal.Error) {
	switch {
	case refused == nil:
		a.entry.health.recordSuccess(a.target.name)
	case refused.Kind == refusal.TargetFailed:
		a.entry.health.recordFailure(a.target.name)
	}
}

// newReattachRequest returns the request that resumes reading this attempt.
func (a *attempt) newReattachRequest() *keelv1.GenerateRequest {
	return &keelv1.GenerateRequest{
		RequestId:  a.request.RequestId,
		Attempt:    a.number,
		Customer:   a.request.Customer,
		Offset:     uint32(a.session.assembler.AttemptOffset()),
		AttachOnly: true,
	}
}

// readConnection reads the attempt over one connection. A nil connErr means that the
// attempt has ended; otherwise the connection failed and the attempt may continue.
func (a *attempt) readConnection(ctx context.Context, request *keelv1.GenerateRequest) (refused *refusal.Error, connErr error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	peer := a.entry.links.Peer(a.target.url)
	clients := peer.Clients()
	silenceTimeout := settings.Millis(a.entry.settings.Routing.SilenceMS)
	// A connection can become silent without an error, for example when a device in
	// between drops its state. Agents send several heartbeats within the time-out, so
	// it expires only on a broken connection or a dead agent.
	watchdog := time.AfterFunc(silenceTimeout, func() { cancel(errSilentConnection) })
	defer watchdog.Stop()
	responses, err := clients.Agent.Generate(ctx, connect.NewRequest(request))
	if err != nil {
		return a.connectionLost(ctx, peer, clients, err)
	}
	defer responses.Close()
	for responses.Receive() {
		// Time spent on a slow client must not count as silence of the agent.
		watchdog.Stop()
		switch event := responses.Msg().Event.(type) {
		case *keelv1.GenerateResponse_Token:
			if !a.session.acceptToken(ctx, a.number, event.Token) {
				return a.connectionLost(ctx, peer, clients, errEventsSkipped)
			}
		case *keelv1.GenerateResponse_Finish:
			a.session.emitFinish(ctx, event.Finish)
			return nil, nil
		case *keelv1.GenerateResponse_Refusal:
			return decodeRefusal(event.Refusal), nil
		}
		watchdog.Reset(silenceTimeout)
	}
	return a.connectionLost(ctx, peer, clients, responses.Err())
}

var (
	errEventsSkipped    = errors.New("the stream skipped events")
	errSilentConnection = errors.New("the connection went silent")
	errConnectionEnded  = errors.New("the connection ended before the stream")
)

// connectionLost replaces the link, since the same fault may affect the other
// requests that share it.
func (a *attempt) connectionLost(ctx context.Context, peer *link.Peer, clients *link.Clients, err error) (*refusal.Error, error) {
	if cause := context.Cause(ctx); errors.Is(cause, errSilentConnection) {
		err = cause
	}
	if err == nil {
		err = errConnectionEnded
	}
	if !errors.Is(err, context.Canceled) {
		peer.Reconnect(clients)
		a.entry.health.recordFailure(a.target.name)
	}
	r := refusal.New(refusal.TargetFailed, "send the request again", "the connection to the agent of %s was lost: %v", a.target.name, err)
	if !isDialError(err) {
		r.Outcome = refusal.Unknown
	}
	return r, err
}

// isDialError reports whether the connection could not be made, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func decodeRefusal(r *keelv1.Refusal) *refusal.Error {
	return &refusal.Error{
		Kind:       refusal.Kind(r.Kind),
		Message:    r.Message,
		Remedy:     r.Remedy,
		Outcome:    refusal.Outcome(r.Outcome),
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}
