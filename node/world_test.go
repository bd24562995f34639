package node

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/internal/standin/client"
	"acaciakeel/internal/standin/kv"
	"acaciakeel/internal/standin/runner"
	"acaciakeel/platform"
	"acaciakeel/policy"
	"acaciakeel/quota"
	"acaciakeel/telemetry"
)

// testEnv is a node with its platform: a store, two runners of a model and two targets of a
// plain service.
type testEnv struct {
	t            *testing.T
	store        *kv.Store
	kv           *httptest.Server
	node         *Node
	runners      []*runner.Runner
	plainTargets []*runner.Runner
	version      int
	// graceS is the grace period, in seconds, of nodes started from now on.
	graceS float64
	// lookupService is the service that lookups go to.
	lookupService string
	// routes are further routes of the configuration.
	routes []any
	// streamService is the service that streams which may be resumed go to.
	streamService string
	log           logrus.FieldLogger
	// lastStart is when the last node was started.
	lastStart time.Time
	// customer has additional fields of the customer in the configuration.
	customer map[string]any
	// versionMS is the bound on older weights, in milliseconds.
	versionMS int
	// maxBodyBytes is the limit of clients' bodies in the configuration.
	maxBodyBytes int
	// holdTimeoutMS is the timeout of requests that may run once, in milliseconds.
	holdTimeoutMS int
	// options are those of nodes started from now on.
	options Options
	// storeVia is the address by which nodes started from now on reach the store; empty for its own.
	storeVia string
}

// testLimiter returns the limiter of customers' limits of a node without peers.
func testLimiter() *quota.Limiter {
	return quota.NewLimiter(quota.Tolerance{}, nil, func() bool { return true }, time.Now())
}

const (
	model    = "m"
	goodKey  = "key-1"
	otherKey = "key-2"
)

func newEnv(t *testing.T) *testEnv {
	t.Helper()
	return newEnvWith(t, newFailureLog(t))
}

// shownLogBytes is how much of the nodes' log a failed test shows, from its end.
const shownLogBytes = 64 << 10

// logEnd keeps the end of what is written to it.
type logEnd struct {
	mu  sync.Mutex
	end []byte
}

// Write implements io.Writer.
func (l *logEnd) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = append(l.end, p...)
	if len(l.end) > 2*shownLogBytes {
		l.end = append(l.end[:0], l.end[len(l.end)-shownLogBytes:]...)
	}
	return len(p), nil
}

// newFailureLog returns a log that is shown if the test fails.
func newFailureLog(t *testing.T) *logrus.Logger {
	l := &logEnd{}
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		t.Logf("end of the nodes' log:\n%s", l.end[max(0, len(l.end)-shownLogBytes):])
	})
	return telemetry.NewLoggerTo(l, "info")
}

// newEnvWith returns an environment whose nodes log to log; changes are applied before its
// node starts.
func newEnvWith(t *testing.T, log logrus.FieldLogger, changes ...func(*testEnv)) *testEnv {
	t.Helper()
	// The tests send each request to a given node, also while that gets too little processor time.
	options := Options{Disabled: policy.Disabled{policy.ConnectionRefusal: true}}
	w := &testEnv{t: t, options: options, store: kv.NewStore(0), graceS: 8, lookupService: "desk", streamService: "lm", log: log, versionMS: 8000, maxBodyBytes: 1000, holdTimeoutMS: 15000}
	w.kv = httptest.NewServer(kv.NewServer(w.store).Handler())
	for i := range 2 {
		w.runners = append(w.runners, runner.Start(fmt.Sprintf("r%d", i), "lm", map[string]int64{model: 1}))
		w.plainTargets = append(w.plainTargets, runner.Start(fmt.Sprintf("d%d", i), "desk", nil))
	}
	for _, change := range changes {
		change(w)
	}
	for _, r := range append(w.runners, w.plainTargets...) {
		w.store.Set(r.Entry("ready").Key, r.Entry("ready").Value)
		t.Cleanup(r.Close)
	}
	w.configure(goodKey, otherKey)
	w.node = w.startNode("n0")
	t.Cleanup(w.kv.Close)
	t.Cleanup(w.kv.CloseClientConnections)
	return w
}

// startNode starts a node and waits until it is ready.
func (w *testEnv) startNode(name string) *Node {
	w.t.Helper()
	settings := platform.NodeSettings{
		Name: name, IP: "127.0.0.1", Zone: "z1", Ports: []int{0},
		Listen: platform.Listen{Front: "127.0.0.1:0", Ready: "127.0.0.1:0"},
		Bounds: platform.Bounds{
			GraceS: w.graceS, RevokeMS: 5000, RevokeFailClosed: true, VersionMS: w.versionMS, LeaseMS: 3000,
			RetryRatio: 0.2, RetryExtra: 50, RetryWindowS: 10,
		},
		Store: platform.StoreConfig{Address: cmp.Or(w.storeVia, strings.TrimPrefix(w.kv.URL, "http://")), MinLeaseMS: 1000},
	}
	n := New(settings, w.options, w.log)
	if err := n.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(n.cancel)
	w.lastStart = time.Now()
	w.until("the node is ready", func() bool { return get(w.t, n.ReadyAddress()) == http.StatusOK })
	return n
}

func get(t *testing.T, address string) int {
	t.Helper()
	resp, err := http.Get("http://" + address + "/ready")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// waitTimeout bounds the wait for an expected event; no test depends on how long it took.
const waitTimeout = 20 * time.Second

func (w *testEnv) until(what string, done func() bool) {
	w.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	w.t.Fatalf("timed out waiting until %s", what)
}

// configure writes a new version of the configuration with the given keys.
func (w *testEnv) configure(keys ...string) {
	w.version++
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 5000, "target_latency_ms": 2000, "attempts": 2}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	services := []any{
		map[string]any{"name": "lm", "max_conns": 100, "engine": map[string]any{"slots": 8, "kv_capacity_tokens": 100000, "kv_token_bytes": 1000, "models": []any{map[string]any{"name": model}}}},
		map[string]any{"name": "desk", "max_conns": 100},
	}
	if w.streamService != "lm" {
		services = append(services, map[string]any{"name": w.streamService, "max_conns": 100, "engine": map[string]any{"slots": 8, "kv_capacity_tokens": 100000, "kv_token_bytes": 1000, "models": []any{map[string]any{"name": model}}}})
	}
	if w.lookupService != "desk" {
		services = append(services, map[string]any{"name": w.lookupService, "max_conns": 100})
	}
	customer := map[string]any{"name": "c1", "api_keys": keys}
	maps.Copy(customer, w.customer)
	value, _ := json.Marshal(map[string]any{
		"version": w.version,
		"routes": append([]any{
			route("draft", "/draft/", "streaming", w.streamService, map[string]any{"sticky": true, "resumable": true}),
			route("match", "/match/", "streaming", "lm", map[string]any{"sticky": true, "attempts": 1, "timeout_ms": 15000}),
			route("hold", "/hold/", "non_idempotent", "desk", map[string]any{"attempts": 1, "timeout_ms": w.holdTimeoutMS}),
			route("stock", "/stock/", "idempotent", w.lookupService, map[string]any{"target_latency_ms": 100}),
		}, w.routes...),
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 8192, "max_body_bytes": w.maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{customer},
	})
	w.store.Set("op/config", value)
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

var lastID int

// send sends one attempt of a client, with a new id.
func (w *testEnv) send(method, path, body string, header map[string]string) response {
	w.t.Helper()
	lastID++
	return w.sendTo(w.node, method, path, body, fmt.Sprintf("id-%d", lastID), header)
}

func (w *testEnv) sendTo(n *Node, method, path, body, id string, header map[string]string) response {
	w.t.Helper()
	req, err := client.Request{
		Method: method, Host: "h.example", Path: path, ID: id, Key: goodKey, Body: body, Deadline: 5 * time.Second,
	}.To(n.FrontAddress())
	if err != nil {
		w.t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

func promptHeaders() map[string]string {
	return map[string]string{"Model": model, "Token-Count": "900,50", "Prefix-Hash": "aa:400,bb:300,cc:200"}
}

func (w *testEnv) executed(targets []*runner.Runner) []runner.Seen {
	var out []runner.Seen
	for _, r := range targets {
		for _, s := range r.Seen() {
			if s.Ran {
				out = append(out, s)
			}
		}
	}
	return out
}

func completeStream() string {
	var b strings.Builder
	for i := 1; i <= runner.Events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}
