package entry

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/placement"
	"acaciakeel/refusal"
	"acaciakeel/resource"
	"acaciakeel/retry"
)

// serviceCall is a decoded call of a service that is not a model.
type serviceCall struct {
	info           requestInfo
	service        string
	method         string
	path           string
	contentType    string
	body           []byte
	idempotencyKey string
}

// maxIdempotencyKeyBytes limits the length of an Idempotency-Key.
const maxIdempotencyKeyBytes = 255

func decodeCall(ctx context.Context, r *http.Request) (any, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	c := &serviceCall{
		info:           requestInfoFrom(ctx),
		service:        r.PathValue("service"),
		method:         r.Method,
		path:           servicePath(r.URL),
		contentType:    r.Header.Get("Content-Type"),
		body:           body,
		idempotencyKey: r.Header.Get(headerIdempotencyKey),
	}
	if len(c.idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, refusal.New(refusal.BadRequest, "use at most 255 bytes", "Idempotency-Key has %d bytes", len(c.idempotencyKey))
	}
	return c, nil
}

// servicePath returns the path and the query of a call behind the name of its service, escaped as
// the caller sent them.
func servicePath(u *url.URL) string {
	const segments = 4 // empty, "services", the name, and the rest
	path := "/" + strings.SplitN(u.EscapedPath(), "/", segments)[segments-1]
	if u.RawQuery != "" || u.ForceQuery {
		path += "?" + u.RawQuery
	}
	return path
}

// isIdempotent reports whether a call may be repeated.
func isIdempotent(s resource.Service, method, path string) bool {
	if method == http.MethodGet || method == http.MethodHead {
		return true
	}
	return slices.ContainsFunc(s.IdempotentPaths, func(prefix string) bool {
		return strings.HasPrefix(path, prefix)
	})
}

// callEndpoint runs one service call and returns its final answer.
func (e *Entry) callEndpoint(ctx context.Context, request any) (any, error) {
	c := request.(*serviceCall)
	snapshot := e.table.Load().snapshot()
	spec, ok := snapshot.Services[c.service]
	if !ok {
		return nil, refusal.New(refusal.UnknownService, "ask the operator which there are", "there is no service %q", c.service)
	}
	call := &pendingCall{entry: e, call: c, request: e.newCallRequest(c, spec)}
	if refused := e.contracts.beginRequest(c.info.customer, c.info.contract, 0); refused != nil {
		return nil, call.refusalOfCall(refused)
	}
	defer e.contracts.endRequest(c.info.customer, 0)
	e.retryBudgets.recordRequest(c.info.customer)
	call.targets = placement.RankTargets(snapshot.TargetsOfService(c.service), call.request.IdempotencyKey)
	if call.requiresHomeTarget() && len(call.targets) > 1 {
		call.targets = call.targets[:1]
	}
	answer, refused := call.run(ctx)
	if refused != nil {
		return nil, call.refusalOfCall(refused)
	}
	return answer, nil
}

func (e *Entry) newCallRequest(c *serviceCall, spec resource.Service) *keelv1.CallRequest {
	req := &keelv1.CallRequest{
		RequestId:      c.info.requestID,
		Customer:       c.info.customer,
		Service:        c.service,
		Method:         c.method,
		Path:           c.path,
		Body:           c.body,
		ContentType:    c.contentType,
		IdempotencyKey: c.idempotencyKey,
		Idempotent:     isIdempotent(spec, c.method, c.path),
		ConfigRevision: uint64(e.follower.Revision()),
		DeadlineMs:     uint32(spec.Timeout().Milliseconds()),
	}
	if c.idempotencyKey == "" {
		// Without its own key the client can't repeat the call, but the entry's
		// retries still need one.
		req.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
		req.FreshKey = true
	}
	return req
}

// pendingCall is one service call and the targets that may run it.
type pendingCall struct {
	entry     *Entry
	call      *serviceCall
	request   *keelv1.CallRequest
	targets   []string
	sendCount int
	// agentRefusal is the last refusal that an agent sent; nil if there is none.
	agentRefusal *refusal.Error
}

// run sends the call to the targets in order until one gives a final answer. A call
// that is not idempotent is sent to another target only if it certainly did not run.
func (p *pendingCall) run(ctx context.Context) (*keelv1.CallResponse, *refusal.Error) {
	last := refusal.New(refusal.NoTarget, "come back after the time in Retry-After", "service %q has no target that answers", p.call.service).WithRetryAfter(noTargetRetryAfter)
	for _, name := range p.targetsByAvailability() {
		if refused := p.refuseAtShutdown(time.Now()); refused != nil {
			return nil, refused
		}
		if p.sendCount > 0 && !p.entry.retryBudgets.take(p.call.info.customer) {
			p.entry.metrics.retryBudgetExhausted.Inc()
			return nil, last
		}
		answer, refused := p.sendTo(ctx, name)
		if refused == nil {
			return answer, nil
		}
		if refused.Kind == refusal.HeldElsewhere {
			return p.sendToHolder(ctx, answer, refused)
		}
		if !retry.Allowed(refused, p.request.Idempotent, p.sendCount) {
			return nil, refused
		}
		last = refused
		p.entry.metrics.retries.WithLabelValues(string(retryReason(refused, 0))).Inc()
	}
	return nil, last
}

// refuseAtShutdown refuses a call that may run only once, and longer than this process does; it
// returns nil for others. It is asked before each send, and only calls that have not run are sent
// again.
func (p *pendingCall) refuseAtShutdown(now time.Time) *refusal.Error {
	stop := p.entry.stopDeadline.Load()
	if stop == nil || p.request.Idempotent || !now.Add(time.Duration(p.request.DeadlineMs)*time.Millisecond).After(*stop) {
		return nil
	}
	refused := refusal.New(refusal.Stopping, "send it to another entry", "this process stops before the call is certain to end").WithRetryAfter(stoppingRetryAfter)
	if !p.request.FreshKey {
		// An earlier call with the client's key may have run.
		refused.Outcome, refused.Remedy = refusal.Unknown, "ask again with the same Idempotency-Key"
	}
	return refused
}

// stoppingRetryAfter is short: other entries serve, and a new connection leads to one of them.
const stoppingRetryAfter = 100 * time.Millisecond

// targetsByAvailability returns the targets with dead and draining ones last. They are
// not omitted, because the home target of a key decides even if it is slow to answer.
func (p *pendingCall) targetsByAvailability() []string {
	t := p.entry.table.Load()
	var available, unavailable []string
	for _, name := range p.targets {
		if isDraining(t.state, name) || !p.entry.health.allowRequest(name) {
			unavailable = append(unavailable, name)
			continue
		}
		available = append(available, name)
	}
	return append(available, unavailable...)
}

// sendToHolder sends the call to the agent that holds its claim.
func (p *pendingCall) sendToHolder(ctx context.Context, holder *keelv1.CallResponse, refused *refusal.Error) (*keelv1.CallResponse, *refusal.Error) {
	if holder == nil || holder.HolderTarget == "" {
		return nil, refusal.NewUnknown("another agent had the call and can't be named")
	}
	answer, next := p.sendToIncarnation(ctx, holder.HolderTarget, holder.HolderIncarnation)
	if next == nil {
		return answer, nil
	}
	if next.Kind == refusal.HeldElsewhere || next.Kind == refusal.AgentRestarted || isNotSent(next) {
		return nil, refusal.NewUnknown("the agent that had the call can't be reached (%s)", refused.Message)
	}
	if next.Kind != refusal.KeyReused {
		// It refuses the repetition; the call itself it may have run and forgotten.
		next.Outcome = refusal.Unknown
	}
	return nil, next
}

func isNotSent(r *refusal.Error) bool {
	return r.Kind == refusal.TargetFailed && r.Outcome == refusal.NotRun
}

// Limits of querying the outcome of a call whose answer was lost.
const (
	outcomeQueryPause   = 200 * time.Millisecond
	outcomeQueryTries   = 5
	outcomeQueryTimeout = time.Second
)

// sendTo sends the call to one target's agent. A call that is not idempotent is
// addressed to one incarnation (process) of the agent, so that its outcome is queried
// from the same process.
func (p *pendingCall) sendTo(ctx context.Context, name string) (*keelv1.CallResponse, *refusal.Error) {
	if p.request.Idempotent {
		return p.sendToIncarnation(ctx, name, "")
	}
	incarnation, err := p.entry.incarnations.getOrFetch(ctx, p.entry, name)
	if err != nil {
		return nil, p.notSent(name, err)
	}
	answer, refused := p.sendToIncarnation(ctx, name, incarnation)
	if refused == nil || refused.Kind != refusal.AgentRestarted {
		return answer, refused
	}
	p.entry.incarnations.set(name, answer.Incarnation)
	return p.sendToIncarnation(ctx, name, answer.Incarnation)
}

// notSent returns the refusal for a call that could not be sent. The outcome is
// unknown if only the key's home target may run the call, because an earlier send may
// have reached it.
func (p *pendingCall) notSent(name string, err error) *refusal.Error {
	r := refusal.New(refusal.TargetFailed, "another target takes the call", "no connection to the agent of %s: %v", name, err)
	if p.requiresHomeTarget() {
		r.Outcome = refusal.Unknown
		r.Remedy = "ask again with the same Idempotency-Key"
	}
	return r
}

// sendToIncarnation sends the call to one incarnation of one target's agent. If the
// answer is lost, it queries the outcome from the same incarnation.
func (p *pendingCall) sendToIncarnation(ctx context.Context, name, incarnation string) (*keelv1.CallResponse, *refusal.Error) {
	e := p.entry
	url, ok := e.table.Load().agentURL[name]
	if !ok {
		return nil, refusal.NewUnknown("target %q, which had the call, is no longer configured", name)
	}
	p.sendCount++
	p.request.RequireIncarnation = incarnation
	p.request.Attempt = uint32(p.sendCount - 1)
	peer := e.links.Peer(url)
	clients := peer.Clients()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.request.DeadlineMs)*time.Millisecond+outcomeQueryTimeout)
	defer cancel()
	response, err := clients.Agent.Call(ctx, connect.NewRequest(p.request))
	if err == nil {
		e.health.recordSuccess(name)
		return p.decodeResponse(response.Msg)
	}
	if shutdown := shutdownRefusal(ctx); shutdown != nil {
		// The entry is shutting down: this says nothing about the health of the agent,
		// and there is no time to query the outcome of the call.
		return nil, shutdown
	}
	peer.Reconnect(clients)
	e.health.recordFailure(name)
	if isDialError(err) {
		return nil, p.notSent(name, err)
	}
	if p.request.Idempotent {
		return nil, refusal.NewUnknown("the answer of %s was lost: %v", name, err)
	}
	return p.resolveOutcome(ctx, name, url)
}

func (p *pendingCall) decodeResponse(m *keelv1.CallResponse) (*keelv1.CallResponse, *refusal.Error) {
	if m.Refusal == nil {
		return m, nil
	}
	p.agentRefusal = decodeRefusal(m.Refusal)
	return m, p.agentRefusal
}

// resolveOutcome determines the outcome of a call whose answer was lost. It uses
// Abandon rather than sending the call again, so that a call that is still in transit
// can't run after the client has received "not run".
func (p *pendingCall) resolveOutcome(ctx context.Context, name, url string) (*keelv1.CallResponse, *refusal.Error) {
	ctx = context.WithoutCancel(ctx)
	peer := p.entry.links.Peer(url)
	for try := range outcomeQueryTries {
		time.Sleep(time.Duration(try) * outcomeQueryPause)
		clients := peer.Clients()
		outcome, err := p.queryOutcome(ctx, clients.Agent.Abandon)
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
			return nil, refusal.New(refusal.TargetFailed, "another target takes the call", "the agent of %s has not run the call and will not", name)
		}
		response, err := p.joinCall(ctx, clients.Agent.Call)
		if err != nil {
			continue
		}
		// The refusal of a second copy says nothing of the first, which may be on its way: only
		// Abandon rules that out.
		if answer, refused := p.decodeResponse(response); refused == nil || refused.Outcome != refusal.NotRun {
			return answer, refused
		}
	}
	return nil, refusal.NewUnknown("the agent of %s had the call and does not answer", name)
}

type abandonFunc func(context.Context, *connect.Request[keelv1.AbandonRequest]) (*connect.Response[keelv1.AbandonResponse], error)

func (p *pendingCall) queryOutcome(ctx context.Context, abandon abandonFunc) (*keelv1.AbandonResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeQueryTimeout)
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

type callFunc func(context.Context, *connect.Request[keelv1.CallRequest]) (*connect.Response[keelv1.CallResponse], error)

// joinCall sends the same call again to the agent that has it and returns its answer.
func (p *pendingCall) joinCall(ctx context.Context, call callFunc) (*keelv1.CallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.request.DeadlineMs)*time.Millisecond)
	defer cancel()
	response, err := call(ctx, connect.NewRequest(p.request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// headerReplayed marks an answer that was stored for an earlier call with the same key.
const headerReplayed = "Idempotent-Replayed"

func encodeCall(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(*keelv1.CallResponse)
	w.Header().Set(headerRequestID, requestInfoFrom(ctx).requestID)
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
