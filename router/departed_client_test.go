package router

import (
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

// Guards against a target that gets a request whose client has left, while the request's context does
// not say so yet.
func TestNothingIsSentForDepartedClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New("here")
		f.Put(fleet.Target{ID: "a", Zone: "here", Service: "s", Address: "a:1", Slots: 8})
		route := catalog.Route{Name: "r", Host: "h", Prefix: "/", Public: true, Kind: catalog.Idempotent, Attempts: 2, Split: []catalog.Share{{Service: "s", Weight: 1}}}
		config := (&catalog.Config{Routes: []*catalog.Route{&route}, Services: map[string]*catalog.Service{"s": {Name: "s"}}}).Index()
		log, _ := logtest.NewNullLogger()
		sender := &soundSender{}
		r := New(fixedConfig{config}, f, sender, poison.New(nil), quota.NewLimiter(quota.Tolerance{}, nil, nil, time.Now()), NewMetrics(prometheus.NewRegistry()), log, Bounds{}, ampleRetries)
		refused := r.Serve(t.Context(), &Request{ID: "1", Method: "GET", Host: "h", Path: "/x", URI: "/x", Received: time.Now()}, &recordedResponse{left: true})
		if refused == nil || refused.Kind != refusal.Canceled || refused.Outcome != refusal.NotRun || len(sender.sent) > 0 {
			t.Errorf("refused %v, sent to %v", refused, sender.sent)
		}
	})
}
