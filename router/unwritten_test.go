package router

import (
	"context"
	"io"
	"net/http"
	"strings"
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

// lateSender does not write requests in time until writes is set, and has the others answered.
type lateSender struct {
	play
	// connected is set if unwritten requests have a connection to their target.
	connected, writes bool
}

func (s *lateSender) Send(ctx context.Context, a *Attempt) (*Response, error) {
	if !s.writes {
		<-ctx.Done()
		return nil, &SendError{Err: ctx.Err(), Connected: s.connected}
	}
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), Framing: Length, MatchesRequest: true, RequestID: a.Request.ID, Sealed: true}, nil
}

// Guards against a target that counts as unreachable because this process got no processor time to
// write to an open connection: requests were refused although the target served.
func TestTargetOfUnwrittenRequestStaysReachable(t *testing.T) {
	for name, test := range map[string]struct {
		connected bool
		// timeout is the time that the clients of unwritten requests wait.
		timeout time.Duration
		served  bool
	}{
		"the attempt's time ends on a connection":    {true, 4 * time.Second, true},
		"the client's deadline ends on a connection": {true, 100 * time.Millisecond, true},
		"the attempt's time ends without one":        {false, 4 * time.Second, false},
		"the client's deadline ends without one":     {false, 100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New("here")
				f.Put(fleet.Target{ID: "a", Zone: "here", Service: "s", Address: "a:1", Slots: 8})
				route := &catalog.Route{Name: "r", Host: "h", Prefix: "/", Public: true, Kind: catalog.Idempotent, Attempts: 2, Objective: 100 * time.Millisecond, Split: []catalog.Share{{Service: "s", Weight: 1}}}
				config := (&catalog.Config{Routes: []*catalog.Route{route}, Services: map[string]*catalog.Service{"s": {Name: "s"}}}).Index()
				log, _ := logtest.NewNullLogger()
				sender := &lateSender{connected: test.connected}
				r := New(fixedConfig{config}, f, sender, poison.New(nil), quota.NewLimiter(quota.Tolerance{}, nil, nil, time.Now()), NewMetrics(prometheus.NewRegistry()), log, Bounds{}, ampleRetries)
				serve := func(id string, timeout time.Duration) *refusal.Error {
					now := time.Now()
					ctx, cancel := context.WithDeadline(t.Context(), now.Add(timeout))
					defer cancel()
					return r.Serve(ctx, &Request{ID: id, Method: "GET", Host: "h", Path: "/x", URI: "/x", Received: now, Deadline: now.Add(timeout)}, &recordedResponse{})
				}
				for _, id := range []string{"1", "2"} {
					if refused := serve(id, test.timeout); refused == nil || refused.Outcome != refusal.NotRun {
						t.Errorf("unwritten request %s ended with %v, want a refusal that it did not run", id, refused)
					}
				}
				sender.writes = true
				if next := serve("3", 4*time.Second); (next == nil) != test.served {
					t.Errorf("the next request ended with %v, want it served: %v", next, test.served)
				}
			})
		})
	}
}
