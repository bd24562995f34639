package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/poison"
	"acaciakeel/quota"
	"acaciakeel/refusal"
)

// silentSender sends to three targets. Target a answers nothing to probes and, after some
// events, to requests.
type silentSender struct {
	mu sync.Mutex
	// events is what a sends of a stream before it stops; negative: not even a header.
	events int
	// accepts is set if a accepts connections all the same.
	accepts bool
	// unsent is set if no byte reaches a.
	unsent bool
	sent   []string
	after  []string
}

// silentSenderEvents are the events of a stream. Targets continue it after the event that they are
// told.
var silentSenderEvents = []string{"id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n", "id: 3\ndata: z\n\n"}

func (s *silentSender) Send(ctx context.Context, a *Attempt) (*Response, error) {
	s.mu.Lock()
	s.sent, s.after = append(s.sent, a.Target.ID), append(s.after, a.LastEventID)
	s.mu.Unlock()
	response := &Response{Status: http.StatusOK, Header: http.Header{}, MatchesRequest: true, Sealed: true}
	if a.Target.ID != "a" {
		last, _ := strconv.Atoi(a.LastEventID)
		response.Body = io.NopCloser(strings.NewReader(strings.Join(silentSenderEvents[last:], "")))
		return response, nil
	}
	if s.events < 0 {
		<-ctx.Done()
		return nil, &SendError{Err: ctx.Err(), Sent: !s.unsent}
	}
	sent := silentSenderEvents[:s.events]
	response.Body = &stoppedBody{ctx: ctx, rest: strings.NewReader(strings.Join(sent, ""))}
	return response, nil
}

func (s *silentSender) Runs(context.Context, fleet.Target) (RunReport, error) {
	return RunReport{Idle: true}, nil
}

func (s *silentSender) Identify(_ context.Context, target fleet.Target) (fleet.Instance, error) {
	return target.Instance(), nil
}

func (s *silentSender) Confirm(context.Context, fleet.Target) error { return nil }

func (s *silentSender) Probe(ctx context.Context, target fleet.Target) ProbeResult {
	if target.ID != "a" || s.accepts {
		return Listening
	}
	<-ctx.Done()
	return Inconclusive
}

// stoppedBody returns some bytes, and blocks then until its context ends.
type stoppedBody struct {
	ctx  context.Context
	rest *strings.Reader
}

func (b *stoppedBody) Read(p []byte) (int, error) {
	if n, err := b.rest.Read(p); err == nil {
		return n, nil
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b *stoppedBody) Close() error { return nil }

type fixedConfig struct{ config *catalog.Config }

func (c fixedConfig) Config() *catalog.Config { return c.config }
func (c fixedConfig) Fresh() bool             { return true }

type recordedResponse struct {
	body    bytes.Buffer
	aborted bool
	// left is set if the client has disconnected.
	left bool
}

func (w *recordedResponse) WriteHeader(*Response) error { return nil }
func (w *recordedResponse) Write(p []byte) error        { w.body.Write(p); return nil }
func (w *recordedResponse) Finish() error               { return nil }
func (w *recordedResponse) ClientLeft() bool            { return w.left }
func (w *recordedResponse) Abort()                      { w.aborted = true }

// serveAtSilentTarget serves one request that is first sent to target a, and returns the
// result, the response and the time that it took.
func serveAtSilentTarget(t *testing.T, route catalog.Route, sender Sender, retries RetryBounds) (*refusal.Error, *recordedResponse, time.Duration, *logtest.Hook) {
	t.Helper()
	var (
		refused *refusal.Error
		writer  recordedResponse
		took    time.Duration
		hook    *logtest.Hook
	)
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New("here")
		for _, target := range []fleet.Target{{ID: "a", Zone: "here"}, {ID: "b", Zone: "far"}, {ID: "c", Zone: "far"}} {
			target.Service, target.Address, target.Slots = "s", target.ID+":1", 8
			f.Put(target)
		}
		route.Name, route.Host, route.Prefix, route.Public, route.Split = "r", "h", "/", true, []catalog.Share{{Service: "s", Weight: 1}}
		config := (&catalog.Config{Routes: []*catalog.Route{&route}, Services: map[string]*catalog.Service{"s": {Name: "s"}}}).Index()
		log, h := logtest.NewNullLogger()
		hook = h
		r := New(fixedConfig{config}, f, sender, poison.New(nil), quota.NewLimiter(quota.Tolerance{}, nil, nil, time.Now()), NewMetrics(prometheus.NewRegistry()), log, Bounds{}, retries)
		ctx, cancel := context.WithCancel(t.Context())
		go r.CheckTargets(ctx)
		start := time.Now()
		refused = r.Serve(ctx, &Request{ID: "1", Method: "POST", Host: "h", Path: "/x", URI: "/x", Received: start, Deadline: start.Add(8 * time.Second)}, &writer)
		took = time.Since(start)
		cancel()
		// Probes outlive the request.
		time.Sleep(probeTimeout + reprobeDelay + probeTimeout)
	})
	return refused, &writer, took, hook
}

var ampleRetries = RetryBounds{Ratio: 1, Extra: 1000, Window: 10 * time.Second}

// Guards against requests that wait for their client's deadline at a target that stopped
// responding: 257 did in one run. What may be repeated is sent elsewhere, a stream after
// its last event; anything else fails at once with an unknown outcome.
func TestRequestsAtUnresponsiveTargetAreGivenUp(t *testing.T) {
	resumable := catalog.Route{Kind: catalog.Stream, Resumable: true, Attempts: 2}
	for _, test := range []struct {
		name    string
		route   catalog.Route
		events  int
		retries RetryBounds
		// want is the outcome of a refusal, "" if the request is served; after is the last
		// event ID of the second attempt.
		want  refusal.Outcome
		body  string
		after string
	}{
		{"resumable stream without an event", resumable, -1, ampleRetries, "", "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n", ""},
		{"resumable stream after a header", resumable, 0, ampleRetries, "", "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n", ""},
		{"resumable stream in progress", resumable, 2, ampleRetries, "", "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n", "2"},
		{"resumable stream without attempts left", catalog.Route{Kind: catalog.Stream, Resumable: true, Attempts: 1}, -1, ampleRetries, refusal.Unknown, "", ""},
		{"stream that can't be resumed", catalog.Route{Kind: catalog.Stream, Attempts: 1}, -1, ampleRetries, refusal.Unknown, "", ""},
		{"stream in progress that can't be resumed", catalog.Route{Kind: catalog.Stream, Attempts: 1}, 2, ampleRetries, refusal.Ran, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", ""},
		{"plain request at most once", catalog.Route{Kind: catalog.AtMostOnce, Attempts: 1}, -1, ampleRetries, refusal.Unknown, "", ""},
		{"plain request that may be repeated", catalog.Route{Kind: catalog.Idempotent, Attempts: 2}, -1, ampleRetries, "", "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			sender := &silentSender{events: test.events}
			refused, writer, took, hook := serveAtSilentTarget(t, test.route, sender, test.retries)
			if took > 2*time.Second {
				t.Errorf("took %v, want at most 2 s", took)
			}
			if writer.body.String() != test.body || writer.aborted != (test.want == refusal.Ran) {
				t.Errorf("response %q, aborted %v", writer.body.String(), writer.aborted)
			}
			if test.want == "" {
				if refused != nil {
					t.Fatalf("refused: %v", refused)
				}
				if len(sender.sent) != 2 || sender.sent[0] != "a" || sender.after[1] != test.after {
					t.Errorf("sent to %v after events %q, want a second target after %q", sender.sent, sender.after, test.after)
				}
			} else if refused == nil || refused.Outcome != test.want || len(sender.sent) != 1 {
				t.Errorf("refused with %+v after attempts at %v, want outcome %s", refused, sender.sent, test.want)
			}
			events := map[any]int{}
			for _, entry := range hook.AllEntries() {
				events[entry.Data["event"]]++
			}
			if events["target_unresponsive"] != 1 || events["given_up"] != 1 {
				t.Errorf("logged %v, want one target_unresponsive and one given_up", events)
			}
		})
	}
}

// Guards against sending a request again that the retry budget does not grant, and against
// the client waiting for its deadline in that case.
func TestGivenUpRequestsAreBoundByRetryBudget(t *testing.T) {
	sender := &silentSender{events: -1}
	refused, _, took, _ := serveAtSilentTarget(t, catalog.Route{Kind: catalog.Stream, Resumable: true, Attempts: 2}, sender, RetryBounds{Window: 10 * time.Second})
	if refused == nil || refused.Outcome != refusal.Unknown || len(sender.sent) != 1 || took > 2*time.Second {
		t.Errorf("refused with %+v after attempts at %v in %v, want an unknown outcome within 2 s", refused, sender.sent, took)
	}
}

// Guards against giving up requests at a target that is slow but accepts connections.
func TestRequestsAtSlowTargetAreNotGivenUp(t *testing.T) {
	sender := &silentSender{events: -1, accepts: true}
	refused, _, took, hook := serveAtSilentTarget(t, catalog.Route{Kind: catalog.Stream, Resumable: true, Attempts: 2}, sender, ampleRetries)
	if refused == nil || took < 8*time.Second || len(sender.sent) != 1 {
		t.Errorf("ended after %v with %v after attempts at %v, want its deadline", took, refused, sender.sent)
	}
	for _, entry := range hook.AllEntries() {
		if entry.Data["event"] == "target_unresponsive" {
			t.Error("the target was considered unresponsive")
		}
	}
}

// Guards against a status that allows a second run where the request may have run, and
// against counting a run where no byte was sent.
func TestGivenUpBeforeSendingDidNotRun(t *testing.T) {
	sender := &silentSender{events: -1, unsent: true}
	refused, _, took, _ := serveAtSilentTarget(t, catalog.Route{Kind: catalog.AtMostOnce, Attempts: 1}, sender, ampleRetries)
	if refused != nil || len(sender.sent) != 2 || took > 2*time.Second {
		t.Errorf("got %v after attempts at %v in %v, want it served by a second target", refused, sender.sent, took)
	}
}
