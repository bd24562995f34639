package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"

	keelv1 "acaciakeel/api/keel/v1"
)

// finishingAgent answers with a whole stream.
type finishingAgent struct{ fakeAgent }

func (a *finishingAgent) Generate(_ context.Context, _ *connect.Request[keelv1.GenerateRequest], out *connect.ServerStream[keelv1.GenerateResponse]) error {
	if err := out.Send(&keelv1.GenerateResponse{Event: &keelv1.GenerateResponse_Token{Token: &keelv1.Token{Text: "x"}}}); err != nil {
		return err
	}
	return out.Send(&keelv1.GenerateResponse{Event: &keelv1.GenerateResponse_Finish{Finish: &keelv1.Finish{Offset: 1, Reason: "stop"}}})
}

// finishWatcher calls onFinish when the last event of a stream is written.
type finishWatcher struct {
	*httptest.ResponseRecorder
	onFinish func()
}

func (w *finishWatcher) Write(p []byte) (int, error) {
	n, err := w.ResponseRecorder.Write(p)
	if strings.Contains(string(p), `"finish_reason":"stop"`) {
		w.onFinish()
	}
	return n, err
}

// Guards against a client that has the last event of its stream and is refused the next one, as if
// the first still ran: its contract allows one stream at a time.
func TestStreamIsNotCountedOnceItsLastEventIsSent(t *testing.T) {
	url, _ := startAgent(t, &finishingAgent{})
	e := newTestEntry(t, map[string]string{"a": url})
	m := testModelRequest()
	m.contract.Streams = 1
	if refused := e.contracts.beginRequest(m.customer, m.contract, 0); refused != nil {
		t.Fatal(refused)
	}
	s := e.startSession(t.Context(), m)
	reply := &completionReply{request: &completionRequest{stream: true}, modelRequest: m, session: s, firstEvent: <-s.events, endRequest: func(tokens int) { e.contracts.endRequest(m.customer, tokens) }}
	finished := false
	out := &finishWatcher{ResponseRecorder: httptest.NewRecorder(), onFinish: func() {
		finished = true
		if streams := openStreams(e, m); streams != 0 {
			t.Errorf("the last event is sent, %d streams are counted", streams)
		}
	}}
	e.writeStream(t.Context(), out, reply)
	if !finished {
		t.Fatalf("no last event: %s", out.Body)
	}
	if streams := openStreams(e, m); streams != 0 {
		t.Errorf("the response is complete, %d streams are counted", streams)
	}
}

// openStreams returns 0 if the contract allows a further stream, otherwise 1.
func openStreams(e *Entry, m *modelRequest) int {
	if refused := e.contracts.beginRequest(m.customer, m.contract, 0); refused != nil {
		return 1
	}
	e.contracts.endRequest(m.customer, 0)
	return 0
}
