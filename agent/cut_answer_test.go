package agent

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/internal/standin/cut"
	"acaciakeel/ledger"
	"acaciakeel/refusal"
)

// Guards against a service's answer that ends early, at any byte, and is passed on or recorded as
// the answer to a call, or lets the call be sent again.
func TestCutAnswerIsNotTheAnswerOfACall(t *testing.T) {
	for name, answer := range map[string]string{
		"length":       "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\nbox held",
		"length first": "HTTP/1.1 200 OK\r\nContent-Length: 8\r\nContent-Type: text/plain\r\n\r\nbox held",
		"chunks":       "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nbox held\r\n0\r\nX-Sum: 1\r\n\r\n",
		"refusal":      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nno room",
		"until close":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			last := len(answer) - 1
			if strings.HasPrefix(name, "until") {
				last = len(answer)
			}
			for n := 0; n <= last; n++ {
				for _, end := range []cut.End{cut.Close, cut.Reset} {
					checkCutAnswer(t, cut.Response{Text: answer, Bytes: n, EndsWhole: true, End: end})
				}
			}
		})
	}
}

func checkCutAnswer(t *testing.T, sent cut.Response) {
	t.Helper()
	var calls atomic.Int64
	service := cut.Start(t, func(*http.Request, []byte) cut.Response {
		calls.Add(1)
		return sent
	})
	c := newTestExecutor("http://"+service.Address, &claimedStore{})
	// The process is an hour old, so that the key is new to it.
	hour := time.Now().Add(-time.Hour)
	c.started, c.homeStatus = hour, func(ledger.Key) (bool, time.Time) { return true, hour }
	key := uuid.Must(uuid.NewV7()).String()
	for _, idempotent := range []bool{true, false} {
		calls.Store(0)
		req := &keelv1.CallRequest{RequestId: "r", Customer: "c", Service: "s", IdempotencyKey: key, Method: http.MethodPost, Path: "/", Idempotent: idempotent}
		for range 2 {
			if got := callReaching(t, c, req, &calls); got.Refusal == nil || got.Refusal.Outcome != string(refusal.Unknown) {
				t.Errorf("%s after %d bytes, idempotent %t: answered %d %q, refused with %v", sent.End, sent.Bytes, idempotent, got.Status, got.Body, got.Refusal)
			}
		}
	}
	state := c.abandon(&keelv1.AbandonRequest{RequestId: "r", Customer: "c", Service: "s", IdempotencyKey: key, RequireIncarnation: "i"})
	if calls.Load() != 1 || state != ledger.Unknown {
		t.Errorf("%s after %d bytes: the service got the call %d times, and its state is %s", sent.End, sent.Bytes, calls.Load(), state)
	}
}

// callReaching makes a call, and makes it again if its connection to the service could not be opened in
// time: no answer was cut then.
func callReaching(t *testing.T, c *callExecutor, req *keelv1.CallRequest, calls *atomic.Int64) (got *keelv1.CallResponse) {
	t.Helper()
	for range 20 {
		before := calls.Load()
		got = c.call(t.Context(), req)
		if got.Refusal == nil || got.Refusal.Outcome != string(refusal.NotRun) || calls.Load() != before {
			return got
		}
	}
	return got
}
