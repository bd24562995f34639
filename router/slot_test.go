package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/poison"
	"acaciakeel/quota"
)

// absentSender answers each request with a whole 404.
type absentSender struct{ soundSender }

func (s *absentSender) Send(ctx context.Context, a *Attempt) (*Response, error) {
	resp, err := s.soundSender.Send(ctx, a)
	resp.Status = http.StatusNotFound
	return resp, err
}

// returningClient calls onBody when it receives the first bytes of a body.
type returningClient struct {
	recordedResponse
	onBody func()
}

func (w *returningClient) Write(p []byte) error {
	if f := w.onBody; f != nil {
		w.onBody = nil
		f()
	}
	return w.recordedResponse.Write(p)
}

// Guards against a client that has its response and whose next request is treated as if the first
// still ran at its target: a whole response may be with the client before its request has ended.
func TestTargetIsFreeWhenResponseIsForwarded(t *testing.T) {
	f := fleet.New("here")
	f.Put(fleet.Target{ID: "a", Zone: "here", Service: "s", Address: "a:1", Slots: 1})
	route := catalog.Route{Name: "r", Host: "h", Prefix: "/", Public: true, Kind: catalog.AtMostOnce, Attempts: 1, Split: []catalog.Share{{Service: "s", Weight: 1}}}
	config := (&catalog.Config{Routes: []*catalog.Route{&route}, Services: map[string]*catalog.Service{"s": {Name: "s"}}}).Index()
	log, _ := logtest.NewNullLogger()
	table := poison.New(nil)
	r := New(fixedConfig{config}, f, &absentSender{soundSender{size: 40 << 10}}, table, quota.NewLimiter(quota.Tolerance{}, nil, nil, time.Now()), NewMetrics(prometheus.NewRegistry()), log, Bounds{}, ampleRetries)
	request := func(id string) *Request {
		now := time.Now()
		return &Request{ID: id, Method: http.MethodPost, Host: "h", Path: "/x", URI: "/x", Received: now, Deadline: now.Add(8 * time.Second)}
	}
	content := poison.Content{Method: http.MethodPost, Host: "h", URI: "/x"}.Fingerprint()
	// A target ended while it ran such a request, so that only one of them may run at a time; a 404
	// doesn't clear that.
	now := time.Now()
	table.RecordBrokenResponse(poison.Case{Content: content, Service: "s"}, fleet.Instance{ID: "gone"}, now, now)
	table.RecordCrash(fleet.Instance{ID: "gone"}, now)
	client := &returningClient{}
	called := false
	client.onBody = func() {
		called = true
		if load := f.LocalOccupancy(10); len(load) > 0 {
			t.Errorf("the response is forwarded, its request counts at its target: %+v", load)
		}
		if refused := r.Serve(t.Context(), request("2"), &recordedResponse{}); refused != nil {
			t.Errorf("the next request is refused: %v", refused)
		}
	}
	if refused := r.Serve(t.Context(), request("1"), client); refused != nil || !called {
		t.Fatalf("refused %v, body sent %t", refused, called)
	}
}
