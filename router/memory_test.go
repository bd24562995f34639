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
	"acaciakeel/responsebuffer"
)

// soundSender answers each request with a whole body of some size.
type soundSender struct {
	size int
	sent []string
}

func (s *soundSender) Send(_ context.Context, a *Attempt) (*Response, error) {
	s.sent = append(s.sent, a.Target.ID)
	return &Response{Status: http.StatusOK, Header: http.Header{}, MatchesRequest: true, Sealed: true, Framing: Length, ContentLength: int64(s.size), Body: io.NopCloser(strings.NewReader(strings.Repeat("x", s.size)))}, nil
}

func (s *soundSender) Runs(context.Context, fleet.Target) (RunReport, error) {
	return RunReport{Idle: true}, nil
}

func (s *soundSender) Identify(_ context.Context, target fleet.Target) (fleet.Instance, error) {
	return target.Instance(), nil
}

func (s *soundSender) Confirm(context.Context, fleet.Target) error { return nil }

func (s *soundSender) Probe(context.Context, fleet.Target) ProbeResult { return Listening }

// Guards against a target that counts as failed because the process lacks memory: other responses,
// which wait for their clients, hold it, and the target's response is sound.
func TestLackOfMemoryIsNoFailureOfTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New("here")
		// The near target is preferred as long as it counts as healthy.
		f.Put(fleet.Target{ID: "near", Zone: "here", Service: "s", Address: "near:1", Slots: 8})
		f.Put(fleet.Target{ID: "far", Zone: "far", Service: "s", Address: "far:1", Slots: 8})
		route := catalog.Route{Name: "r", Host: "h", Prefix: "/", Public: true, Kind: catalog.AtMostOnce, Attempts: 1, Split: []catalog.Share{{Service: "s", Weight: 1}}}
		config := (&catalog.Config{Routes: []*catalog.Route{&route}, Services: map[string]*catalog.Service{"s": {Name: "s"}}}).Index()
		log, hook := logtest.NewNullLogger()
		sender := &soundSender{size: 40 << 10}
		r := New(fixedConfig{config}, f, sender, poison.New(nil), quota.NewLimiter(quota.Tolerance{}, nil, nil, time.Now()), NewMetrics(prometheus.NewRegistry()), log, Bounds{}, ampleRetries)
		pool := responsebuffer.NewPool(responsebuffer.Limits{Response: 64 << 10, Total: 64 << 10}, nil)
		r.LimitBodies(pool)
		serve := func(id string) {
			start := time.Now()
			refused := r.Serve(t.Context(), &Request{ID: id, Method: "POST", Host: "h", Path: "/x", URI: "/x", Received: start, Deadline: start.Add(8 * time.Second)}, &recordedResponse{})
			t.Logf("%s: target %s, refused %v", id, sender.sent[len(sender.sent)-1], refused)
		}
		serve("ample memory")
		others := make([]*responsebuffer.Reservation, 6)
		for i := range others {
			others[i] = pool.Reserve(func() {})
			_ = others[i].Grow(10 << 10)
		}
		serve("short of memory 1")
		serve("short of memory 2")
		for _, other := range others {
			other.Release()
		}
		serve("ample memory again")
		// Probes outlive the requests.
		time.Sleep(probeTimeout + reprobeDelay + probeTimeout)
		want := "near near near near"
		if got := strings.Join(sender.sent, " "); got != want {
			t.Errorf("targets: %s, want %s", got, want)
		}
		for _, entry := range hook.AllEntries() {
			if entry.Data["event"] == "response_oversized" {
				t.Errorf("logged of a sound response: %s", entry.Message)
			}
		}
	})
}
