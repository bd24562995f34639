package entry

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/api/keel/v1/keelv1connect"
	"acaciakeel/configsync"
	"acaciakeel/link"
	"acaciakeel/refusal"
	"acaciakeel/resource"
)

// fakeAgent is an agent with scripted responses.
type fakeAgent struct {
	keelv1connect.UnimplementedAgentServiceHandler
	generate func(*keelv1.GenerateRequest) (*keelv1.GenerateResponse, error)
	call     func(*keelv1.CallRequest) (*keelv1.CallResponse, error)
	abandon  func(*keelv1.AbandonRequest) (*keelv1.AbandonResponse, error)
}

func (a *fakeAgent) Ask(context.Context, *connect.Request[keelv1.AskRequest]) (*connect.Response[keelv1.AskResponse], error) {
	return connect.NewResponse(&keelv1.AskResponse{Ready: true}), nil
}

func (a *fakeAgent) Generate(_ context.Context, r *connect.Request[keelv1.GenerateRequest], out *connect.ServerStream[keelv1.GenerateResponse]) error {
	response, err := a.generate(r.Msg)
	if err != nil {
		return err
	}
	return out.Send(response)
}

func (a *fakeAgent) Call(_ context.Context, r *connect.Request[keelv1.CallRequest]) (*connect.Response[keelv1.CallResponse], error) {
	response, err := a.call(r.Msg)
	return connect.NewResponse(response), err
}

func (a *fakeAgent) Abandon(_ context.Context, r *connect.Request[keelv1.AbandonRequest]) (*connect.Response[keelv1.AbandonResponse], error) {
	response, err := a.abandon(r.Msg)
	return connect.NewResponse(response), err
}

// start serves the agent until the test ends or stop is called, which also ends its connections.
func (a *fakeAgent) start(t *testing.T) (url string, stop func()) {
	t.Helper()
	return startAgent(t, a)
}

// startAgent serves an agent as start does.
func startAgent(t *testing.T, a keelv1connect.AgentServiceHandler) (url string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(keelv1connect.NewAgentServiceHandler(a))
	server := link.NewServer(mux)
	go server.Serve(l) //nolint:errcheck // it ends when the server is closed
	t.Cleanup(func() { server.Close() })
	return "http://" + l.Addr().String(), func() { server.Close() }
}

// newTestEntry returns an entry whose targets, engines of model m, have agents at urls.
func newTestEntry(t *testing.T, urls map[string]string) *Entry {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s := DefaultSettings()
	s.Platform.URL = "http://127.0.0.1:1"
	s.Routing.AskTimeoutMS = 5000
	e := New(s, log)
	snapshot := resource.Empty()
	for name, url := range urls {
		snapshot.Targets[name] = resource.Target{Model: "m", AgentURL: url}
	}
	state := &configsync.State{Snapshot: snapshot}
	table := newRoutingTable(state)
	table.models["m"] = newRunnerSet(state, slices.Collect(maps.Keys(urls)))
	e.table.Store(table)
	return e
}

func refusalResponse(r *refusal.Error) *keelv1.GenerateResponse {
	return &keelv1.GenerateResponse{Event: &keelv1.GenerateResponse_Refusal{Refusal: wireRefusal(r)}}
}

func wireRefusal(r *refusal.Error) *keelv1.Refusal {
	return &keelv1.Refusal{Kind: string(r.Kind), Message: r.Message, Remedy: r.Remedy, Outcome: string(r.Outcome)}
}

var errLost = connect.NewError(connect.CodeUnavailable, errors.New("the answer is lost"))

func testModelRequest() *modelRequest {
	priority := 0
	return &modelRequest{
		requestID: "r", customer: "c", contract: resource.Customer{Priority: &priority}, model: "m", maxTokens: 8,
		spec: resource.Model{BlockTokens: 16, PieceTokens: 64}, preference: resource.Preference{Candidates: 2},
	}
}

// Guards against "not run" for a request that an earlier attempt may have run: the refusal of its
// last attempt speaks for that attempt alone.
func TestRefusalAfterAnUnknownAttemptIsUnknown(t *testing.T) {
	var attempts atomic.Int32
	agent := &fakeAgent{generate: func(*keelv1.GenerateRequest) (*keelv1.GenerateResponse, error) {
		if attempts.Add(1) == 1 {
			r := refusal.New(refusal.TargetFailed, "", "the engine's stream broke")
			r.Outcome = refusal.Unknown
			return refusalResponse(r), nil
		}
		return refusalResponse(refusal.New(refusal.QueueFull, "", "full")), nil
	}}
	urlA, _ := agent.start(t)
	urlB, _ := agent.start(t)
	s := newTestEntry(t, map[string]string{"a": urlA, "b": urlB}).startSession(t.Context(), testModelRequest())
	for range s.events {
		t.Error("an event")
	}
	if n := attempts.Load(); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
	if s.err == nil || s.err.Outcome != refusal.Unknown {
		t.Errorf("refused with %+v, want an unknown outcome", s.err)
	}
}

// Guards against "not run" for a request that its agent got and that may still run there: that
// the agent is not reached again proves nothing.
func TestLostAgentLeavesTheOutcomeUnknown(t *testing.T) {
	for name, resumed := range map[string]bool{"sent": false, "resumed": true} {
		t.Run(name, func(t *testing.T) {
			stopped := make(chan struct{})
			var stop func()
			agent := &fakeAgent{generate: func(*keelv1.GenerateRequest) (*keelv1.GenerateResponse, error) {
				go func() { stop(); close(stopped) }()
				<-stopped
				return nil, errLost
			}}
			url, stopAgent := agent.start(t)
			stop = stopAgent
			e := newTestEntry(t, map[string]string{"a": url})
			var s *session
			if resumed {
				stop()
				var refused *refusal.Error
				s, refused = e.resumeSession(t.Context(), testModelRequest(), resumePoint{requestID: "r", attempt: 1, target: "a", offset: 3})
				if refused != nil {
					t.Fatal(refused)
				}
			} else {
				s = e.startSession(t.Context(), testModelRequest())
			}
			for range s.events {
				t.Error("an event")
			}
			if s.err == nil || s.err.Outcome != refusal.Unknown {
				t.Errorf("refused with %+v, want an unknown outcome", s.err)
			}
		})
	}
}

// Guards against "not run" for a request whose caller closes its side while an agent may run it: a
// caller that has closed only its sending side still reads the answer.
func TestCanceledRequestMayHaveRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	agent := &fakeAgent{
		generate: func(*keelv1.GenerateRequest) (*keelv1.GenerateResponse, error) {
			cancel()
			<-t.Context().Done()
			return nil, errLost
		},
		abandon: func(*keelv1.AbandonRequest) (*keelv1.AbandonResponse, error) {
			return &keelv1.AbandonResponse{}, nil
		},
	}
	url, _ := agent.start(t)
	s := newTestEntry(t, map[string]string{"a": url}).startSession(ctx, testModelRequest())
	for range s.events {
		t.Error("an event")
	}
	if s.err == nil || s.err.Kind != refusal.Canceled || s.err.Outcome != refusal.Unknown {
		t.Errorf("refused with %+v, want canceled with an unknown outcome", s.err)
	}
}

// Guards against "not run" for a stream that has run at a target which is no longer configured.
func TestResumeAtAnUnknownTargetIsNoRefusalOfTheRun(t *testing.T) {
	_, refused := newTestEntry(t, nil).resumeSession(t.Context(), testModelRequest(), resumePoint{requestID: "r", attempt: 1, target: "gone", offset: 3})
	if refused == nil || refused.Outcome != refusal.Unknown {
		t.Errorf("refused with %+v, want an unknown outcome", refused)
	}
}

// Guards against a call that runs after its client was told "not run": while a copy of it may be
// on its way, only an agent that has ruled that copy out can say so.
func TestNotRunIsSettledBeforeItIsSaid(t *testing.T) {
	var ruledOut atomic.Bool
	calls := 0
	agent := &fakeAgent{
		call: func(*keelv1.CallRequest) (*keelv1.CallResponse, error) {
			calls++
			if calls == 1 {
				return nil, errLost
			}
			return &keelv1.CallResponse{Refusal: wireRefusal(refusal.New(refusal.QueueFull, "", "full")), Incarnation: "i"}, nil
		},
		abandon: func(*keelv1.AbandonRequest) (*keelv1.AbandonResponse, error) {
			// Another client attempt with the same key runs at first, and is then refused.
			if calls < 2 {
				return &keelv1.AbandonResponse{Outcome: "running", Incarnation: "i"}, nil
			}
			ruledOut.Store(true)
			return &keelv1.AbandonResponse{Outcome: "not_run", Incarnation: "i"}, nil
		},
	}
	url, _ := agent.start(t)
	e := newTestEntry(t, map[string]string{"a": url})
	call := &pendingCall{entry: e, call: &serviceCall{service: "s"}, request: &keelv1.CallRequest{RequestId: "r", IdempotencyKey: "k", DeadlineMs: 2000}}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, refused := call.sendToIncarnation(ctx, "a", "i")
	if refused == nil || (refused.Outcome == refusal.NotRun && !ruledOut.Load()) {
		t.Errorf("refused with %+v; the late copy was ruled out: %t", refused, ruledOut.Load())
	}
}

// Guards against "not run" of a call that another agent has: the refusal of that agent speaks for the
// repetition, not for the call, which it may have run and forgotten.
func TestHolderCannotRefuseItsCallAsNotRun(t *testing.T) {
	for kind, want := range map[refusal.Kind]refusal.Outcome{
		refusal.QueueFull: refusal.Unknown, refusal.Stopping: refusal.Unknown, refusal.LedgerFull: refusal.Unknown, refusal.NoTarget: refusal.Unknown,
		// The holder knows the key and has refused another call with it.
		refusal.KeyReused: refusal.NotRun,
	} {
		t.Run(string(kind), func(t *testing.T) {
			holder := &fakeAgent{call: func(*keelv1.CallRequest) (*keelv1.CallResponse, error) {
				return &keelv1.CallResponse{Refusal: wireRefusal(refusal.New(kind, "", "refused")), Incarnation: "h"}, nil
			}}
			other := &fakeAgent{call: func(*keelv1.CallRequest) (*keelv1.CallResponse, error) {
				held := refusal.NewUnknown("another agent has this call")
				held.Kind = refusal.HeldElsewhere
				return &keelv1.CallResponse{Refusal: wireRefusal(held), HolderTarget: "holder", HolderIncarnation: "h", Incarnation: "o"}, nil
			}}
			holderURL, _ := holder.start(t)
			otherURL, _ := other.start(t)
			e := newTestEntry(t, map[string]string{"holder": holderURL, "other": otherURL})
			e.incarnations.set("other", "o")
			call := &pendingCall{
				entry: e, call: &serviceCall{service: "s"}, targets: []string{"other"},
				request: &keelv1.CallRequest{RequestId: "r", IdempotencyKey: "k", DeadlineMs: 2000},
			}
			if _, refused := call.run(t.Context()); refused == nil || refused.Outcome != want {
				t.Errorf("refused with %+v, want the outcome %s", refused, want)
			}
		})
	}
}
