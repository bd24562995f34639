package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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

// Guards against "not run" for a request that its engine was running when its entry gave it up,
// told to a client that resumes the stream elsewhere.
func TestGivenUpJobMayHaveRun(t *testing.T) {
	for name, test := range map[string]struct {
		phase phase
		want  refusal.Outcome
	}{
		"waiting": {waiting, refusal.NotRun}, "prefilling": {prefilling, refusal.Unknown}, "decoding": {decoding, refusal.Unknown},
	} {
		for _, by := range []string{"abandoned", "unread"} {
			t.Run(name+"/"+by, func(t *testing.T) {
				r := newRunner(DefaultSettings(), target.NewEngine("http://127.0.0.1:1"), newMetrics(prometheus.NewRegistry()))
				now := time.Now()
				j := newJob(&keelv1.GenerateRequest{RequestId: "r", Customer: "c"}, 0, now)
				j.phase, r.jobs[j.id] = test.phase, j
				if by == "abandoned" {
					r.abandon(j.id, now)
				} else {
					r.sweep(now.Add(time.Hour))
				}
				_, finish, _ := j.buffer.TokensFrom(0)
				if finish == nil || refusal.From(finish.Err).Outcome != test.want {
					t.Errorf("ended with %+v, want the outcome %s", finish, test.want)
				}
			})
		}
	}
}

// Guards against "not run" for a stream that was begun before the agent's target became a plain
// service.
func TestResumeAtAServiceIsNoRefusalOfTheRun(t *testing.T) {
	for attach, want := range map[bool]refusal.Outcome{false: refusal.NotRun, true: refusal.Unknown} {
		if got := noEngineRefusal(&keelv1.GenerateRequest{AttachOnly: attach}).Outcome; got != want {
			t.Errorf("attach only %t: the outcome is %s, want %s", attach, got, want)
		}
	}
}

// newTestExecutor returns the executor of incarnation "i" of agent "own", which keeps calls for an
// hour.
func newTestExecutor(url string, s store.Store) *callExecutor {
	return &callExecutor{
		service:     target.NewService(url),
		claims:      &claimStore{store: s, self: claim{Target: "own", Incarnation: "i"}, ttl: 24 * time.Hour},
		incarnation: "i",
		slots:       1,
		metrics:     newMetrics(prometheus.NewRegistry()),
		homeStatus:  func(ledger.Key) (bool, time.Time) { return true, time.Now() },
		ledger:      ledger.New(ledger.Limits{MaxRecords: 9, MaxAnswerBytes: 9, Retention: time.Hour, TombstoneRetention: time.Hour}),
	}
}

// heldStore is a store in which another agent holds each claim.
type heldStore struct{ store.Store }

func (heldStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return "1", nil }

func (heldStore) Put(context.Context, string, []byte, store.Position, store.LeaseID) (store.Position, error) {
	return 0, store.ErrConflict
}

func (heldStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{Value: []byte(`{"target":"other","incarnation":"x","nonce":"n"}`), Revision: 7}, nil
}

// Guards against "not run" for a call that another agent has, told to an entry that lost the first
// answer and asks again.
func TestCallHeldElsewhereStaysSo(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the service got the call") }))
	defer service.Close()
	c := newTestExecutor(service.URL, heldStore{})
	req := &keelv1.CallRequest{RequestId: "r", Customer: "c", Service: "s", IdempotencyKey: "k", Method: http.MethodPost, Path: "/", RequireIncarnation: "i"}
	first := c.call(t.Context(), req)
	state := c.abandon(&keelv1.AbandonRequest{RequestId: "r", Customer: "c", Service: "s", IdempotencyKey: "k", RequireIncarnation: "i"})
	again := c.call(t.Context(), req)
	if first.Refusal == nil || first.Refusal.Outcome != string(refusal.Unknown) || state == ledger.NotRun {
		t.Errorf("refused with %v, then settled as %s", first.Refusal, state)
	}
	if again.Refusal == nil || again.Refusal.Outcome != string(refusal.Unknown) || again.HolderTarget != "other" {
		t.Errorf("asked again: %v, holder %q, want an unknown outcome and the holder", again.Refusal, again.HolderTarget)
	}
}

// claimedStore is a store with one key.
type claimedStore struct {
	store.Store
	entry store.Entry
}

func (*claimedStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return "1", nil }

func (s *claimedStore) Put(_ context.Context, key string, value []byte, ifRevision store.Position, _ store.LeaseID) (store.Position, error) {
	if ifRevision != s.entry.Revision {
		return 0, store.ErrConflict
	}
	s.entry = store.Entry{Key: key, Value: value, Revision: s.entry.Revision + 1}
	return s.entry.Revision, nil
}

func (*claimedStore) Delete(context.Context, string, store.Position) (store.Position, error) {
	return 0, store.ErrUnavailable
}

func (s *claimedStore) Get(context.Context, string) (store.Entry, error) { return s.entry, nil }

// Guards against a call sent twice: a caller repeats it after the agent has forgotten its answer,
// while its own claim still stands.
func TestForgottenCallIsNotSentAgain(t *testing.T) {
	var calls atomic.Int32
	service := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer service.Close()
	c := newTestExecutor(service.URL, &claimedStore{})
	req := &keelv1.CallRequest{RequestId: "r", Customer: "c", Service: "s", IdempotencyKey: "k", Method: http.MethodPost, Path: "/", RequireIncarnation: "i"}
	if first := c.call(t.Context(), req); first.Refusal != nil {
		t.Fatal(first.Refusal)
	}
	c.sweep(time.Now().Add(2 * time.Hour))
	req.RequestId = "r2"
	again := c.call(t.Context(), req)
	if again.Refusal == nil || again.Refusal.Outcome != string(refusal.Unknown) {
		t.Errorf("repeated: status %d, refusal %v, want an unknown outcome", again.Status, again.Refusal)
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// Guards against a key that stays unusable after its first attempt was not sent and the claim could
// not be released.
func TestClaimOfUnsentCallIsUsedAgain(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer service.Close()
	c := newTestExecutor("http://127.0.0.1:1", &claimedStore{})
	req := &keelv1.CallRequest{RequestId: "r", Customer: "c", Service: "s", IdempotencyKey: "k", Method: http.MethodPost, Path: "/", RequireIncarnation: "i"}
	if first := c.call(t.Context(), req); first.Refusal == nil || first.Refusal.Outcome != string(refusal.NotRun) {
		t.Fatalf("refusal %v, want one that says not run", first.Refusal)
	}
	c.service = target.NewService(service.URL)
	if again := c.call(t.Context(), req); again.Refusal != nil {
		t.Errorf("sent again: %v", again.Refusal)
	}
}

// Guards against a call sent twice while the platform's service is down: its key carries a time
// after the start of the process, which has run it and has forgotten it.
func TestForgottenCallIsNotProvablyNew(t *testing.T) {
	var calls atomic.Int32
	service := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer service.Close()
	c := newTestExecutor(service.URL, &claimedStore{})
	// The process is an hour old.
	hour := time.Now().Add(-time.Hour)
	c.started, c.homeStatus = hour, func(ledger.Key) (bool, time.Time) { return true, hour }
	key := uuid.Must(uuid.NewV7()).String()
	req := &keelv1.CallRequest{RequestId: "r", Customer: "c", Service: "s", IdempotencyKey: key, Method: http.MethodPost, Path: "/", RequireIncarnation: "i"}
	if first := c.call(t.Context(), req); first.Refusal != nil {
		t.Fatal(first.Refusal)
	}
	c.sweep(time.Now().Add(2 * time.Hour))
	c.claims.store = downStore{}
	again := c.call(t.Context(), req)
	if again.Refusal == nil || again.Refusal.Outcome != string(refusal.Unknown) {
		t.Errorf("repeated: status %d, refusal %v, want an unknown outcome", again.Status, again.Refusal)
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// downStore is a store that is down.
type downStore struct{ store.Store }

func (downStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	return "", store.ErrUnavailable
}

func (downStore) Put(context.Context, string, []byte, store.Position, store.LeaseID) (store.Position, error) {
	return 0, store.ErrUnavailable
}

// Guards against "not run" for a request whose engine's refusal breaks off: what an engine
// truncates states nothing.
func TestTruncatedRefusalOfEngineMayHaveRun(t *testing.T) {
	for name, test := range map[string]struct {
		length int
		body   string
		want   refusal.Outcome
	}{
		"whole": {4, "full", refusal.NotRun}, "truncated": {4, "fu", refusal.Unknown}, "without a body": {4, "", refusal.Unknown},
		"without an end": {1 << 30, strings.Repeat("full", 64<<10), refusal.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(test.length))
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, test.body)
			}))
			t.Cleanup(engine.Close)
			r := newRunner(DefaultSettings(), target.NewEngine(engine.URL), newMetrics(prometheus.NewRegistry()))
			j := newJob(&keelv1.GenerateRequest{RequestId: "r", Customer: "c"}, 0, time.Now())
			r.runJob(j)
			_, finish, _ := j.buffer.TokensFrom(0)
			if finish == nil || refusal.From(finish.Err).Outcome != test.want {
				t.Errorf("ended with %+v, want the outcome %s", finish, test.want)
			}
		})
	}
}
