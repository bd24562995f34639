package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/ledger"
	"acaciakeel/refusal"
	"acaciakeel/store"
	"acaciakeel/target"
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

// Guards against "not run" for a call that has run and was forgotten: the refusal of its repetition,
// for which there is no room, speaks for the repetition alone.
func TestRefusedRepetitionOfForgottenCallIsUnknown(t *testing.T) {
	for name, refuse := range map[string]func(*callExecutor){
		"queue full": func(c *callExecutor) { c.slots = 0 },
		"stopping":   func(c *callExecutor) { c.stop() },
		"ledger full": func(c *callExecutor) {
			for i := range 9 {
				c.ledger.Begin(ledger.Key{IdempotencyKey: fmt.Sprint(i)}, ledger.Attempt{}, 0, time.Now())
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			service := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer service.Close()
			c := newTestExecutor(service.URL, &mapStore{entries: map[string]store.Entry{}})
			hour := time.Now().Add(-time.Hour)
			c.started, c.homeStatus = hour, func(ledger.Key) (bool, time.Time) { return true, hour }
			key := uuid.Must(uuid.NewV7()).String()
			if first := c.call(t.Context(), holdRequest("r", key)); first.Refusal != nil {
				t.Fatal(first.Refusal)
			}
			c.sweep(time.Now().Add(2 * time.Hour))
			refuse(c)
			if again := c.call(t.Context(), holdRequest("r2", key)); again.Refusal == nil || again.Refusal.Outcome != string(refusal.Unknown) {
				t.Errorf("repeated: status %d, refusal %v, want an unknown outcome", again.Status, again.Refusal)
			}
			time.Sleep(5 * time.Millisecond) // keys carry milliseconds
			fresh := uuid.Must(uuid.NewV7()).String()
			if other := c.call(t.Context(), holdRequest("r3", fresh)); other.Refusal == nil || other.Refusal.Outcome != string(refusal.NotRun) {
				t.Errorf("a new call: status %d, refusal %v, want one that says not run", other.Status, other.Refusal)
			}
		})
	}
}

// Guards against a late message that a send is given up, which ends or refuses a later send of the same
// key, or another attempt at the same stream.
func TestAbandonEndsOnlyItsOwnSend(t *testing.T) {
	t.Run("call", func(t *testing.T) {
		work := make(chan struct{})
		var calls atomic.Int32
		service := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			calls.Add(1)
			<-work
		}))
		defer service.Close()
		c := newTestExecutor(service.URL, &mapStore{entries: map[string]store.Entry{}})
		later := make(chan *keelv1.CallResponse, 1)
		go func() { later <- c.call(t.Context(), holdRequest("later", "k")) }()
		for calls.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		abandon := &keelv1.AbandonRequest{RequestId: "earlier", Customer: "c", Service: "s", IdempotencyKey: "k", RequireIncarnation: "i"}
		if state := c.abandon(abandon); state != ledger.Running {
			t.Errorf("the earlier send is settled as %s while the call runs", state)
		}
		close(work)
		if answer := <-later; answer.Refusal != nil {
			t.Errorf("the later send is refused: %v", answer.Refusal)
		}
		if copied := c.call(t.Context(), holdRequest("earlier", "k")); copied.Refusal != nil || !copied.Replayed || calls.Load() != 1 {
			t.Errorf("a late copy of the earlier send: %v, replayed %t, %d calls", copied.Refusal, copied.Replayed, calls.Load())
		}
	})
	t.Run("stream", func(t *testing.T) {
		r := newRunner(DefaultSettings(), target.NewEngine("http://127.0.0.1:1"), newMetrics(prometheus.NewRegistry()))
		now := time.Now()
		var jobs []*job
		for _, attempt := range []*keelv1.GenerateRequest{{RequestId: "r", Customer: "c", Attempt: 1}, {RequestId: "r", Customer: "c", Attempt: 2}, {RequestId: "r", Customer: "d", Attempt: 1}} {
			j := newJob(attempt, 0, now)
			j.phase, r.jobs[j.id] = decoding, j
			jobs = append(jobs, j)
		}
		r.abandon(jobID("c", "r", 1), now)
		for i, j := range jobs {
			if gotEnded := j.phase == ended; gotEnded != (i == 0) {
				t.Errorf("job %s has ended: %t", j.id, gotEnded)
			}
		}
	})
}

// Guards against a call that runs twice although its caller sent it once: its answer was lost on the
// way to the entry, which asks for it after the full ledger has forgotten it.
func TestLostAnswerIsSettledAfterAFullLedger(t *testing.T) {
	var calls atomic.Int32
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = w.Write([]byte("ok"))
	}))
	defer service.Close()
	c := newTestExecutor(service.URL, &mapStore{entries: map[string]store.Entry{}})
	request := func(i int) *keelv1.CallRequest {
		r := holdRequest(fmt.Sprint(i), fmt.Sprint(i))
		r.FreshKey = true
		return r
	}
	const sent = 30
	ran := make([]bool, sent)
	for i := range sent {
		answer := c.call(t.Context(), request(i))
		ran[i] = answer.Refusal == nil
	}
	before := calls.Load()
	for i := range sent {
		state := c.abandon(&keelv1.AbandonRequest{RequestId: fmt.Sprint(i), Customer: "c", Service: "s", IdempotencyKey: fmt.Sprint(i), RequireIncarnation: "i"})
		if ran[i] && state == ledger.NotRun {
			t.Errorf("call %d, which ran, is settled as %s", i, state)
		}
		if ran[i] {
			c.call(t.Context(), request(i))
		}
	}
	if n := calls.Load(); n != before {
		t.Errorf("%d calls ran again", n-before)
	}
}
