package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/configsync"
	"acaciakeel/refusal"
	"acaciakeel/resource"
)

// Guards against "not run" for a call that ran at an earlier send with the client's key: a refusal
// speaks for its own send, unless the only agent that may run the call, or the one that has it, refused.
func TestRefusedSendIsNoRefusalOfTheKey(t *testing.T) {
	opaque, timed := "order-1", uuid.Must(uuid.NewV7()).String()
	refuse := func(kind refusal.Kind) *refusal.Error { return refusal.New(kind, "", "refused") }
	for name, test := range map[string]struct {
		key string
		// agent is the refusal of all agents; nil if none is reachable.
		agent    *refusal.Error
		contract float64
		want     refusal.Outcome
	}{
		"unreachable":                     {opaque, nil, 0, refusal.Unknown},
		"unreachable, a key with a time":  {timed, nil, 0, refusal.Unknown},
		"unreachable, no key":             {"", nil, 0, refusal.NotRun},
		"queue full":                      {opaque, refuse(refusal.QueueFull), 0, refusal.Unknown},
		"queue full, a key with a time":   {timed, refuse(refusal.QueueFull), 0, refusal.NotRun},
		"queue full, no key":              {"", refuse(refusal.QueueFull), 0, refusal.NotRun},
		"ledger full":                     {opaque, refuse(refusal.LedgerFull), 0, refusal.Unknown},
		"stopping":                        {opaque, refuse(refusal.Stopping), 0, refusal.Unknown},
		"stopping, no key":                {"", refuse(refusal.Stopping), 0, refusal.NotRun},
		"stopping, a key with a time":     {timed, refuse(refusal.Stopping), 0, refusal.NotRun},
		"restarted, a key with a time":    {timed, refuse(refusal.AgentRestarted), 0, refusal.Unknown},
		"no service, a key with a time":   {timed, refuse(refusal.NoTarget), 0, refusal.Unknown},
		"key of another call":             {opaque, refuse(refusal.KeyReused), 0, refusal.NotRun},
		"platform down":                   {opaque, refuse(refusal.PlatformDown), 0, refusal.NotRun},
		"over the contract":               {opaque, nil, 1e-9, refusal.Unknown},
		"over the contract, a timed key":  {timed, nil, 1e-9, refusal.Unknown},
		"over the contract, without keys": {"", nil, 1e-9, refusal.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			agent := &fakeAgent{
				call: func(*keelv1.CallRequest) (*keelv1.CallResponse, error) {
					return &keelv1.CallResponse{Refusal: wireRefusal(test.agent), Incarnation: "i"}, nil
				},
				abandon: func(*keelv1.AbandonRequest) (*keelv1.AbandonResponse, error) {
					return &keelv1.AbandonResponse{Incarnation: "i"}, nil
				},
			}
			url, stop := agent.start(t)
			if test.agent == nil {
				stop()
			}
			e := newTestEntry(t, map[string]string{"a": url})
			snapshot, err := resource.Build(1, []resource.Resource{
				{Kind: resource.KindService, Name: "s", Spec: []byte(`{}`)},
				{Kind: resource.KindTarget, Name: "a", Spec: fmt.Appendf(nil, `{"service":"s","vm":"v","agent_url":%q,"data_centre":"d","region":"r"}`, url)},
			})
			if err != nil {
				t.Fatal(err)
			}
			e.table.Store(newRoutingTable(&configsync.State{Snapshot: snapshot}))
			call := &serviceCall{service: "s", method: http.MethodPost, path: "/", idempotencyKey: test.key}
			call.info.customer, call.info.contract.RequestsPerSecond = "c", test.contract
			send := func(ctx context.Context) *refusal.Error {
				_, err := e.callEndpoint(ctx, call)
				return refusal.From(err)
			}
			refused := send(t.Context())
			for range 3 {
				if test.contract > 0 && refused.Kind != refusal.ContractExceeded {
					refused = send(t.Context())
				}
			}
			if refused.Outcome != test.want {
				t.Errorf("refused with %+v, want the outcome %s", refused, test.want)
			}
		})
	}
}

// Guards against two sends of a client that name one request ID and are taken for one attempt: an agent
// returns the stream that it has of an attempt.
func TestRequestIDOfClientNamesNoAttempt(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]string{}
	agent := &fakeAgent{generate: func(r *keelv1.GenerateRequest) (*keelv1.GenerateResponse, error) {
		mu.Lock()
		defer mu.Unlock()
		seen[r.RequestId] = string(r.Prompt)
		return refusalResponse(refusal.New(refusal.QueueFull, "", "full")), nil
	}}
	url, _ := agent.start(t)
	snapshot, err := resource.Build(1, []resource.Resource{
		{Kind: resource.KindModel, Name: "m", Spec: []byte(`{"weights_version":"v1"}`)},
		{Kind: resource.KindTarget, Name: "a", Spec: fmt.Appendf(nil, `{"model":"m","vm":"v","agent_url":%q,"data_centre":"d","region":"r"}`, url)},
		{Kind: resource.KindCustomer, Name: "c", Spec: fmt.Appendf(nil, `{"key_hashes":[%q]}`, HashKey("key"))},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, prompt := range []string{"first", "second"} {
		// Each is an entry of its own.
		e := newTestEntry(t, nil)
		e.table.Store(newRoutingTable(&configsync.State{Snapshot: snapshot}))
		close(e.configured)
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/completions", strings.NewReader(fmt.Sprintf(`{"model":"m","prompt":%q}`, prompt)))
		r.Header.Set("Authorization", "Bearer key")
		r.Header.Set(headerRequestID, "one")
		w := httptest.NewRecorder()
		e.Handler().ServeHTTP(w, r)
		if w.Code != http.StatusTooManyRequests {
			t.Errorf("answered %d %s", w.Code, w.Body)
		}
	}
	if len(seen) != 2 || seen["one"] != "" {
		t.Errorf("attempts by request ID: %v, want two", seen)
	}
}
