package agent

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/ledger"
	"acaciakeel/refusal"
)

func holdRequest(requestID, key string) *keelv1.CallRequest {
	return &keelv1.CallRequest{RequestId: requestID, Customer: "c", Service: "s", IdempotencyKey: key, Method: http.MethodPost, Path: "/", RequireIncarnation: "i"}
}

// Guards against "not run" for a send that joined a refused one with the same key, while a third send
// of that key already runs.
func TestJoinedCallIsNotRefusedWhileItRunsAgain(t *testing.T) {
	for _, forgotten := range []bool{false, true} {
		t.Run(fmt.Sprintf("forgotten=%t", forgotten), func(t *testing.T) {
			c := newTestExecutor("http://127.0.0.1:1", &claimedStore{})
			req := holdRequest("joined", "k")
			key := ledgerKey(req)
			_, record := c.ledger.Begin(key, ledger.Attempt{RequestID: "first"}, bodyHash(req), time.Now())
			answers := make(chan *keelv1.CallResponse, 1)
			go func() { answers <- c.call(t.Context(), req) }()
			time.Sleep(100 * time.Millisecond)
			c.mu.Lock()
			c.recordNotSent(key, record, refusal.New(refusal.QueueFull, "", "full"), claim{})
			if forgotten {
				c.ledger.Expire(time.Now().Add(2 * time.Hour))
			}
			c.ledger.Begin(key, ledger.Attempt{RequestID: "third"}, bodyHash(req), time.Now())
			c.mu.Unlock()
			select {
			case early := <-answers:
				if early.Refusal == nil || early.Refusal.Outcome == string(refusal.NotRun) {
					t.Errorf("answered %v while the call runs", early.Refusal)
				}
				return
			case <-time.After(100 * time.Millisecond):
			}
			c.mu.Lock()
			c.ledger.Finish(key, ledger.Answer{Status: http.StatusOK}, time.Now())
			c.mu.Unlock()
			if answer := <-answers; answer.Refusal != nil || answer.Status != http.StatusOK || !answer.Replayed {
				t.Errorf("answered %v, status %d, replayed %t", answer.Refusal, answer.Status, answer.Replayed)
			}
		})
	}
}
