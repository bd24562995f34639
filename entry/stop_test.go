package entry

import (
	"testing"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/refusal"
)

// Guards against a call that may run only once and is sent so late in a stop that it is interrupted,
// with an unknown outcome.
func TestStopSendsNoCallThatMayNotEnd(t *testing.T) {
	const remaining = 5 * time.Second
	for name, test := range map[string]struct {
		request *keelv1.CallRequest
		sent    bool
		outcome refusal.Outcome
	}{
		"may take longer":                   {&keelv1.CallRequest{FreshKey: true, DeadlineMs: 10000}, false, refusal.NotRun},
		"may take longer, by its own key":   {&keelv1.CallRequest{DeadlineMs: 10000}, false, refusal.Unknown},
		"may take longer and be repeated":   {&keelv1.CallRequest{Idempotent: true, DeadlineMs: 10000}, true, ""},
		"ends before the end of the stop":   {&keelv1.CallRequest{FreshKey: true, DeadlineMs: 1000}, true, ""},
		"the same, after another has begun": {&keelv1.CallRequest{DeadlineMs: 1000}, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			agent := &fakeAgent{call: func(*keelv1.CallRequest) (*keelv1.CallResponse, error) {
				calls++
				return &keelv1.CallResponse{Incarnation: "i"}, nil
			}}
			url, _ := agent.start(t)
			e := newTestEntry(t, map[string]string{"a": url})
			e.incarnations.set("a", "i")
			deadline := time.Now().Add(remaining)
			e.stopDeadline.Store(&deadline)
			test.request.RequestId, test.request.IdempotencyKey = "r", "k"
			call := &pendingCall{entry: e, call: &serviceCall{service: "s"}, targets: []string{"a"}, request: test.request}
			_, refused := call.run(t.Context())
			if (calls == 1) != test.sent {
				t.Errorf("sent %d times", calls)
			}
			if !test.sent && (refused == nil || refused.Outcome != test.outcome) {
				t.Errorf("refused with %+v, want the outcome %s", refused, test.outcome)
			}
		})
	}
}
