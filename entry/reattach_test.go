package entry

import (
	"context"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"

	keelv1 "acaciakeel/api/keel/v1"
)

// returningAgent loses the connection of a stream after its first token, and does not answer again
// before the third connection that attaches to the stream.
type returningAgent struct {
	fakeAgent
	connections, started atomic.Int32
}

func (a *returningAgent) Generate(_ context.Context, r *connect.Request[keelv1.GenerateRequest], out *connect.ServerStream[keelv1.GenerateResponse]) error {
	if !r.Msg.AttachOnly {
		a.started.Add(1)
	}
	switch a.connections.Add(1) {
	case 1:
		if err := out.Send(&keelv1.GenerateResponse{Event: &keelv1.GenerateResponse_Token{Token: &keelv1.Token{Text: "x"}}}); err != nil {
			return err
		}
		return errLost
	case 2, 3:
		return errLost
	}
	if err := out.Send(&keelv1.GenerateResponse{Event: &keelv1.GenerateResponse_Token{Token: &keelv1.Token{Offset: r.Msg.Offset, Text: "y"}}}); err != nil {
		return err
	}
	return out.Send(&keelv1.GenerateResponse{Event: &keelv1.GenerateResponse_Finish{Finish: &keelv1.Finish{Offset: r.Msg.Offset + 1, Reason: "stop"}}})
}

// Guards against a stream that is begun again although its agent comes back within the time in
// which the entry attaches to it.
func TestStreamGoesOnAtAgentThatComesBack(t *testing.T) {
	agent := &returningAgent{}
	url, _ := startAgent(t, agent)
	s := newTestEntry(t, map[string]string{"a": url}).startSession(t.Context(), testModelRequest())
	text, finished := "", false
	for ev := range s.events {
		text += ev.text
		finished = finished || ev.finish != nil
	}
	if text != "xy" || !finished || s.err != nil {
		t.Errorf("got %q, finished %t, %v", text, finished, s.err)
	}
	if started, all := agent.started.Load(), agent.connections.Load(); started != 1 || all != 4 {
		t.Errorf("the stream was begun %d times on %d connections, want once on 4", started, all)
	}
}
