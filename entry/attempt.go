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

// attempt is one try at one target, over one or more connections.
type attempt struct {
	entry   *Entry
	session *session
	number  uint32
	target  chosen
	request *keelv1.GenerateRequest
}

// Bounds of resuming one attempt at its agent. A lost connection costs one of
// reattachPatience, a silent one silentCost, since it has taken long already.
const (
	reattachPatience = 4
	silentCost       = 2
	reattachPause    = 150 * time.Millisecond
)

func (e *Entry) newAttempt(s *session, prompt []byte, chain prefix.Chain, salt string) *attempt {
	p := s.plan
	req := &keelv1.GenerateRequest{
		RequestId:      p.requestID,
		Attempt:        s.attempt,
		Customer:       p.customer,
		Model:          p.model,
		WeightsVersion: p.weights,
		Adapter:        p.adapter,
		Prompt:         prompt,
		MaxTokens:      uint32(p.maxTokens - s.assembler.Offset()),
		Priority:       uint32(*p.contract.Priority),
		Weight:         uint32(p.contract.Weight),
		PromptTokens:   uint32(chain.Tokens),
		Reservation:    s.target.reservation,
		CacheSalt:      salt,
		Root:           prefix.Root(salt),
		ConfigRevision: uint64(e.follower.Revision()),
	}
	if !p.deadline.IsZero() {
		req.DeadlineMs = uint32(max(1, time.Until(p.deadline).Milliseconds()))
	}
	req.BoundaryHash, req.BoundaryTokens = encodeChain(chain)
	return &attempt{entry: e, session: s, number: s.attempt, target: s.target, request: req}
}

// run reads the attempt's stream to its end, resuming it on new connections
// while the agent has it. A nil result means that the end was passed on.
func (a *attempt) run(ctx context.Context) *refusal.Error {
	e := a.entry
	e.opinions.begin(a.target.name)
	defer e.opinions.end(a.target.name)
	request := a.request
	for patience, tries := reattachPatience, 0; ; tries++ {
		refused, lost := a.read(ctx, request)
		if lost == nil {
			a.judge(refused)
			return refused
		}
		patience--
		if errors.Is(lost, errSilent) {
			patience -= silentCost - 1
		}
		if ctx.Err() != nil {
			a.callerLeft()
			return refused
		}
		if patience <= 0 {
			go e.abandon(a.target.url, a.request.Customer, a.request.RequestId, a.number)
			return refused
		}
		if refused.Outcome == refusal.NotRun && tries == 0 {
			return refused
		}
		e.metrics.retries.WithLabelValues(string(retry.Resumed)).Inc()
		time.Sleep(time.Duration(tries) * reattachPause)
		request = a.reattach()
	}
}

// callerLeft cancels the attempt, unless its caller can come back for it with
// the id of the last event; then the agent ends it once its time for unread
// streams is over.
func (a *attempt) callerLeft() {
	if a.session.plan.resumable && a.session.assembler.Offset() > 0 {
		return
	}
	go a.entry.abandon(a.target.url, a.request.Customer, a.request.RequestId, a.number)
}

// judge forms the entry's opinion of the target from how an attempt ended.
func (a *attempt) judge(refused *refusal.Error) {
	switch {
	case refused == nil:
		a.entry.opinions.succeeded(a.target.name)
	case refused.Kind == refusal.TargetFailed:
		a.entry.opinions.failed(a.target.name)
	}
}

// reattach returns the request that goes on reading this attempt.
func (a *attempt) reattach() *keelv1.GenerateRequest {
	return &keelv1.GenerateRequest{
		RequestId:  a.request.RequestId,
		Attempt:    a.number,
		Customer:   a.request.Customer,
		Offset:     uint32(a.session.assembler.AttemptOffset()),
		AttachOnly: true,
	}
}

// read reads one connection. It returns how the attempt ended, or in lost how
// the connection did while the attempt may go on.
func (a *attempt) read(ctx context.Context, request *keelv1.GenerateRequest) (refused *refusal.Error, lost error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	peer := a.entry.links.Peer(a.target.url)
	clients := peer.Clients()
	silence := settings.Millis(a.entry.settings.Routing.SilenceMS)
	// A connection can go silent for good without an error, when something
	// between its ends has lost track of it. Heartbeats come several times
	// within the bound, so only a silent connection or a dead agent meets it.
	watchdog := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	in, err := clients.Agent.Generate(ctx, connect.NewRequest(request))
	if err != nil {
		return a.connectionLost(ctx, peer, clients, err)
	}
	defer in.Close()
	for in.Receive() {
		// A slow caller must not look like a silent agent.
		watchdog.Stop()
		switch event := in.Msg().Event.(type) {
		case *keelv1.GenerateResponse_Token:
			if !a.session.take(ctx, a.number, event.Token) {
				return a.connectionLost(ctx, peer, clients, errSkipped)
			}
		case *keelv1.GenerateResponse_Finish:
			a.session.finish(ctx, event.Finish)
			return nil, nil
		case *keelv1.GenerateResponse_Refusal:
			return decodeRefusal(event.Refusal), nil
		}
		watchdog.Reset(silence)
	}
	return a.connectionLost(ctx, peer, clients, in.Err())
}

var (
	errSkipped = errors.New("the stream skipped events")
	errSilent  = errors.New("the connection went silent")
	errEnded   = errors.New("the connection ended before the stream")
)

// connectionLost replaces the link: whatever made this connection fail or go
// silent may hold the others that share it.
func (a *attempt) connectionLost(ctx context.Context, peer *link.Peer, clients *link.Clients, err error) (*refusal.Error, error) {
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		err = cause
	}
	if err == nil {
		err = errEnded
	}
	if !errors.Is(err, context.Canceled) {
		peer.Reconnect(clients)
		a.entry.opinions.failed(a.target.name)
	}
	r := refusal.New(refusal.TargetFailed, "send the request again", "the connection to the agent of %s was lost: %v", a.target.name, err)
	if !isDial(err) {
		r.Outcome = refusal.Unknown
	}
	return r, err
}

// isDial reports whether no connection could be made, so that nothing was sent.
func isDial(err error) bool {
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
