package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/ledger"
	"acaciakeel/placement"
	"acaciakeel/refusal"
	"acaciakeel/resource"
	"acaciakeel/retry"
)

// serviceCall is a decoded call of a plain service.
type serviceCall struct {
	caller      caller
	service     string
	method      string
	path        string
	contentType string
	body        []byte
	key         string
}

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

func decodeCall(ctx context.Context, r *http.Request) (any, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	c := &serviceCall{
		caller:      callerOf(ctx),
		service:     r.PathValue("service"),
		method:      r.Method,
		path:        "/" + r.PathValue("path"),
		contentType: r.Header.Get("Content-Type"),
		body:        body,
		key:         r.Header.Get(headerIdempotency),
	}
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	if len(c.key) > maxKeyBytes {
		return nil, refusal.New(refusal.BadRequest, "use at most 255 bytes", "Idempotency-Key has %d bytes", len(c.key))
	}
	return c, nil
}

// idempotent reports whether a call may be repeated.
func idempotent(s resource.Service, method, path string) bool {
	if method == http.MethodGet || method == http.MethodHead {
		return true
	}
	return slices.ContainsFunc(s.IdempotentPaths, func(prefix string) bool {
		return strings.HasPrefix(path, prefix)
	})
}

// callEndpoint carries one call of a plain service to its end.
func (e *Entry) callEndpoint(ctx context.Context, request any) (any, error) {
	c := request.(*serviceCall)
	snapshot := e.table.Load().snapshot()
	spec, ok := snapshot.Services[c.service]
	if !ok {
		return nil, refusal.New(refusal.UnknownService, "ask the operator which there are", "there is no service %q", c.service)
	}
	if err := e.contracts.begin(c.caller.name, c.caller.contract, 0); err != nil {
		return nil, err
	}
	defer e.contracts.end(c.caller.name, 0)
	e.budget.request(c.caller.name)
	call := &pendingCall{entry: e, call: c, request: e.callRequest(c, spec)}
	call.order = placement.RankTargets(snapshot.TargetsOfService(c.service), call.request.IdempotencyKey)
	if call.boundToHome() && len(call.order) > 1 {
		call.order = call.order[:1]
	}
	answer, refused := call.run(ctx)
	if refused != nil {
		return nil, refused
	}
	return answer, nil
}

func (e *Entry) callRequest(c *serviceCall, spec resource.Service) *keelv1.CallRequest {
	req := &keelv1.CallRequest{
		RequestId:      c.caller.requestID,
		Customer:       c.caller.name,
		Service:        c.service,
		Method:         c.method,
		Path:           c.path,
		Body:           c.body,
		ContentType:    c.contentType,
		IdempotencyKey: c.key,
		Idempotent:     idempotent(spec, c.method, c.path),
		ConfigRevision: uint64(e.follower.Revision()),
		DeadlineMs:     uint32(spec.Timeout().Milliseconds()),
	}
	if c.key == "" {
		// Without a key of its own the caller can't repeat the call; the
		// entry's own sends still need one.
		req.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
		req.FreshKey = true
	}
	return req
}

// pendingCall is one call on its way over the targets of its service.
type pendingCall struct {
	entry   *Entry
	call    *serviceCall
	request *keelv1.CallRequest
	order   []string
	sends   int
}

// boundToHome reports whether only the key's home may run the call: a key
// that carries its time can run there without a claim while the platform's
// service is down, and no other agent could then know of it.
func (p *pendingCall) boundToHome() bool {
	_, carriesTime := ledger.KeyTime(p.request.IdempotencyKey)
	return carriesTime && !p.request.FreshKey && !p.request.Idempotent
}

// run sends the call to the targets in order until one has a final answer.
// A call that may not be repeated goes on only after a truthful "not run".
func (p *pendingCall) run(ctx context.Context) (*keelv1.CallResponse, *refusal.Error) {
	last := refusal.New(refusal.NoTarget, "come back after the time in Retry-After", "service %q has no target that answers", p.call.service).WithRetryAfter(noTargetRetry)
	for _, name := range p.usableOrder() {
		if p.sends > 0 && !p.entry.budget.take(p.call.caller.name) {
			p.entry.metrics.budgetSpent.Inc()
			return nil, last
		}
		answer, refused := p.sendTo(ctx, name)
		if refused == nil {
			return answer, nil
		}
		if refused.Kind == refusal.HeldElsewhere {
			return p.follow(ctx, answer, refused)
		}
		if !retry.Allowed(refused, p.request.Idempotent, p.sends) {
			return nil, refused
		}
		last = refused
		p.entry.metrics.retries.WithLabelValues(string(retryReason(refused, 0))).Inc()
	}
	return nil, last
}

// usableOrder puts targets that are believed dead or leaving last. They are
// kept, because the home of a key decides even when it is slow to answer.
func (p *pendingCall) usableOrder() []string {
	t := p.entry.table.Load()
	var first, later []string
	for _, name := range p.order {
		if isLeaving(t.state, name) || !p.entry.opinions.usable(name) {
			later = append(later, name)
			continue
		}
		first = append(first, name)
	}
	return append(first, later...)
}

// follow asks the agent that holds the claim of a call.
func (p *pendingCall) follow(ctx context.Context, held *keelv1.CallResponse, refused *refusal.Error) (*keelv1.CallResponse, *refusal.Error) {
	if held == nil || held.HolderTarget == "" {
		return nil, refusal.NewUnknown("another agent had the call and can't be named")
	}
	answer, next := p.sendAs(ctx, held.HolderTarget, held.HolderIncarnation)
	if next == nil {
		return answer, nil
	}
	if next.Kind == refusal.HeldElsewhere || next.Kind == refusal.AgentRestarted || isUnreached(next) {
		return nil, refusal.NewUnknown("the agent that had the call can't be reached (%s)", refused.Message)
	}
	return nil, next
}

func isUnreached(r *refusal.Error) bool {
	return r.Kind == refusal.TargetFailed && r.Outcome == refusal.NotRun
}

// Times of settling a call whose answer was lost.
const (
	settlePause   = 200 * time.Millisecond
	settleTries   = 5
	settleTimeout = time.Second
)

// sendTo sends the call to one target's agent, to whichever process is there.
// A call that may not be repeated is addressed to one incarnation, so that
// only that one is asked for what became of it.
func (p *pendingCall) sendTo(ctx context.Context, name string) (*keelv1.CallResponse, *refusal.Error) {
	if p.request.Idempotent {
		return p.sendAs(ctx, name, "")
	}
	incarnation, err := p.entry.incarnations.of(ctx, p.entry, name)
	if err != nil {
		return nil, p.unreached(name, err)
	}
	answer, refused := p.sendAs(ctx, name, incarnation)
	if refused == nil || refused.Kind != refusal.AgentRestarted {
		return answer, refused
	}
	p.entry.incarnations.set(name, answer.Incarnation)
	return p.sendAs(ctx, name, answer.Incarnation)
}

// unreached is the refusal after a send that provably did not happen. At the
// home of a key that is bound to it, an earlier send may have.
func (p *pendingCall) unreached(name string, err error) *refusal.Error {
	r := refusal.New(refusal.TargetFailed, "another target takes the call", "no connection to the agent of %s: %v", name, err)
	if p.boundToHome() {
		r.Outcome = refusal.Unknown
		r.Remedy = "ask again with the same Idempotency-Key"
	}
	return r
}

// sendAs sends the call to one incarnation of one target's agent. Where the
// answer is lost, the same incarnation is asked what became of the call.
func (p *pendingCall) sendAs(ctx context.Context, name, incarnation string) (*keelv1.CallResponse, *refusal.Error) {
	e := p.entry
	url, ok := e.table.Load().agentURL[name]
	if !ok {
		return nil, refusal.NewUnknown("target %q, which had the call, is no longer configured", name)
	}
	p.sends++
	p.request.RequireIncarnation = incarnation
	p.request.Attempt = uint32(p.sends - 1)
	peer := e.links.Peer(url)
	clients := peer.Clients()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.request.DeadlineMs)*time.Millisecond+settleTimeout)
	defer cancel()
	response, err := clients.Agent.Call(ctx, connect.NewRequest(p.request))
	if err == nil {
		e.opinions.succeeded(name)
		return p.read(response.Msg)
	}
	if ending := endingOf(ctx); ending != nil {
		// That is no sign of the agent, and leaves no time to ask it what became of
		// the call.
		return nil, ending
	}
	peer.Reconnect(clients)
	e.opinions.failed(name)
	if isDial(err) {
		return nil, p.unreached(name, err)
	}
	if p.request.Idempotent {
		return nil, refusal.NewUnknown("the answer of %s was lost: %v", name, err)
	}
	return p.settle(ctx, name, url)
}

func (p *pendingCall) read(m *keelv1.CallResponse) (*keelv1.CallResponse, *refusal.Error) {
	if m.Refusal == nil {
		return m, nil
	}
	return m, decodeRefusal(m.Refusal)
}

// settle finds out what became of a call whose answer was lost. Asking with
// Abandon rather than sending again means that a call which had not arrived
// yet can't run after the caller was told "not run".
func (p *pendingCall) settle(ctx context.Context, name, url string) (*keelv1.CallResponse, *refusal.Error) {
	ctx = context.WithoutCancel(ctx)
	peer := p.entry.links.Peer(url)
	for try := range settleTries {
		time.Sleep(time.Duration(try) * settlePause)
		clients := peer.Clients()
		outcome, err := p.askOutcome(ctx, clients.Agent.Abandon)
		if err != nil {
			peer.Reconnect(clients)
			continue
		}
		p.entry.metrics.retries.WithLabelValues(string(retry.Resumed)).Inc()
		if outcome.Incarnation != p.request.RequireIncarnation {
			p.entry.incarnations.set(name, outcome.Incarnation)
			return nil, refusal.NewUnknown("the process of %s that had the call is gone", name)
		}
		if outcome.Outcome == string(refusal.NotRun) {
			return nil, refusal.New(refusal.TargetFailed, "another target takes the call", "the agent of %s never had the call", name)
		}
		if response, err := p.askAnswer(ctx, clients.Agent.Call); err == nil {
			return p.read(response)
		}
	}
	return nil, refusal.NewUnknown("the agent of %s had the call and does not answer", name)
}

type abandonCall func(context.Context, *connect.Request[keelv1.AbandonRequest]) (*connect.Response[keelv1.AbandonResponse], error)

func (p *pendingCall) askOutcome(ctx context.Context, abandon abandonCall) (*keelv1.AbandonResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	response, err := abandon(ctx, connect.NewRequest(&keelv1.AbandonRequest{
		RequestId:      p.request.RequestId,
		Attempt:        p.request.Attempt,
		Customer:       p.request.Customer,
		Service:        p.request.Service,
		IdempotencyKey: p.request.IdempotencyKey,

		RequireIncarnation: p.request.RequireIncarnation,
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

type callCall func(context.Context, *connect.Request[keelv1.CallRequest]) (*connect.Response[keelv1.CallResponse], error)

// askAnswer joins the call at the agent that has it.
func (p *pendingCall) askAnswer(ctx context.Context, call callCall) (*keelv1.CallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.request.DeadlineMs)*time.Millisecond)
	defer cancel()
	response, err := call(ctx, connect.NewRequest(p.request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// headerReplayed marks an answer that an earlier send with the same key gave.
const headerReplayed = "Idempotent-Replayed"

func encodeCall(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(*keelv1.CallResponse)
	w.Header().Set(headerRequestID, callerOf(ctx).requestID)
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	if r.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	w.WriteHeader(int(r.Status))
	_, err := w.Write(r.Body)
	return err
}
