package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/kit/endpoint"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/ledger"
	"acaciakeel/refusal"
)

// endpoints are the agent's unary operations, independent of the transport.
type endpoints struct {
	ask     endpoint.Endpoint
	call    endpoint.Endpoint
	abandon endpoint.Endpoint
}

func (a *Agent) newEndpoints() endpoints {
	return endpoints{
		ask:     a.askEndpoint,
		call:    endpoint.Chain(a.countRefusals)(a.callEndpoint),
		abandon: a.abandonEndpoint,
	}
}

// countRefusals counts the refusals in responses to calls.
func (a *Agent) countRefusals(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		response, err := next(ctx, request)
		if r, ok := response.(*keelv1.CallResponse); ok && r.Refusal != nil {
			a.metrics.refusals.WithLabelValues(r.Refusal.Kind).Inc()
		}
		return response, err
	}
}

func (a *Agent) askEndpoint(ctx context.Context, request any) (any, error) {
	req := request.(*keelv1.AskRequest)
	a.metrics.asks.Inc()
	a.follower.Hint(int64(req.ConfigRevision))
	if a.runner == nil {
		return &keelv1.AskResponse{}, nil
	}
	answer := a.runner.ask(ctx, req, time.Now())
	answer.ConfigRevision = uint64(a.follower.Revision())
	return answer, nil
}

func (a *Agent) callEndpoint(ctx context.Context, request any) (any, error) {
	req := request.(*keelv1.CallRequest)
	a.follower.Hint(int64(req.ConfigRevision))
	if a.executor == nil {
		r := refusal.New(refusal.NoTarget, "check the Target resource", "this agent's target is no plain service")
		return &keelv1.CallResponse{Refusal: encodeRefusal(r)}, nil
	}
	return a.executor.call(ctx, req), nil
}

func (a *Agent) abandonEndpoint(_ context.Context, request any) (any, error) {
	req := request.(*keelv1.AbandonRequest)
	if a.runner != nil {
		a.runner.abandon(jobID(req.Customer, req.RequestId, req.Attempt), time.Now())
		return &keelv1.AbandonResponse{Outcome: string(ledger.Unknown)}, nil
	}
	return &keelv1.AbandonResponse{Outcome: string(a.executor.abandon(req)), Incarnation: a.incarnation}, nil
}

// Ask implements AgentServiceHandler.
func (a *Agent) Ask(ctx context.Context, req *connect.Request[keelv1.AskRequest]) (*connect.Response[keelv1.AskResponse], error) {
	return unary[keelv1.AskRequest, keelv1.AskResponse](ctx, a.endpoints.ask, req)
}

// Call implements AgentServiceHandler.
func (a *Agent) Call(ctx context.Context, req *connect.Request[keelv1.CallRequest]) (*connect.Response[keelv1.CallResponse], error) {
	return unary[keelv1.CallRequest, keelv1.CallResponse](ctx, a.endpoints.call, req)
}

// Abandon implements AgentServiceHandler.
func (a *Agent) Abandon(ctx context.Context, req *connect.Request[keelv1.AbandonRequest]) (*connect.Response[keelv1.AbandonResponse], error) {
	return unary[keelv1.AbandonRequest, keelv1.AbandonResponse](ctx, a.endpoints.abandon, req)
}

func unary[Req, Res any](ctx context.Context, e endpoint.Endpoint, req *connect.Request[Req]) (*connect.Response[Res], error) {
	response, err := e(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response.(*Res)), nil
}
