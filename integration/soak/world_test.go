// Package soak breaks a deployment on the platform's protocol at random, by a
// seed: real entries as separate processes, fault proxies between them and the
// stand-ins of the store and of the targets, signals from outside. Its callers
// and targets check what must always hold.
package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"acaciakeel/internal/faultproxy"
	"acaciakeel/internal/standin/kv"
	"acaciakeel/internal/standin/runner"
)

const (
	model   = "m"
	goodKey = "key-1"
	host    = "soak.example"
)

// site is the deployment: a store, targets behind proxies, entries.
type site struct {
	t       *testing.T
	dir     string
	store   *kv.Store
	server  *httptest.Server
	runners []*target
	desks   []*target
	entries []*entry
	version int
	weights int
}

// target is a stand-in behind a proxy.
type target struct {
	*runner.Runner
	proxy *faultproxy.Proxy
}

// entry is one process of the system, which reaches the store through a proxy
// of its own.
type entry struct {
	site  *site
	name  string
	front string
	ready string
	file  string
	proxy *faultproxy.Proxy

	mu  sync.Mutex
	cmd *exec.Cmd
}

// streamPace is the pause between the events of a stream, so that faults meet
// streams that have begun.
const streamPace = 25 * time.Millisecond

func newSite(t *testing.T, entries int) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), store: kv.NewStore(0), weights: 1}
	s.server = httptest.NewServer(kv.NewServer(s.store).Handler())
	t.Cleanup(s.server.Close)
	t.Cleanup(s.server.CloseClientConnections)
	for i := range 4 {
		s.runners = append(s.runners, s.startTarget(fmt.Sprintf("r%d", i), "lm", map[string]int64{model: 1}))
	}
	for i := range 2 {
		s.desks = append(s.desks, s.startTarget(fmt.Sprintf("d%d", i), "desk", nil))
	}
	s.beat()
	s.configure()
	for i := range entries {
		s.entries = append(s.entries, s.newEntry(i))
	}
	return s
}

func (s *site) startTarget(id, service string, weights map[string]int64) *target {
	r := runner.Start(id, service, weights)
	r.SetPace(streamPace)
	s.t.Cleanup(r.Close)
	return &target{Runner: r, proxy: s.newProxy(r.Address())}
}

// beatEvery is how often a target's entry in the list is written anew.
const beatEvery = 300 * time.Millisecond

// beat keeps the entries of the targets in the list, with the weights that each
// has by then, until the test ends.
func (s *site) beat() {
	ticker := time.NewTicker(beatEvery)
	stop := make(chan struct{})
	s.t.Cleanup(func() { close(stop) })
	go func() {
		defer ticker.Stop()
		written := map[string]string{}
		for {
			for _, tg := range s.targets() {
				e := tg.EntryAt("ready", tg.proxy.Addr())
				if written[e.Key] != string(e.Value) {
					s.store.Set(e.Key, e.Value)
					written[e.Key] = string(e.Value)
				}
			}
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
		}
	}()
}

func (s *site) targets() []*target {
	return append(append([]*target{}, s.runners...), s.desks...)
}

func (s *site) newProxy(to string) *faultproxy.Proxy {
	p, err := faultproxy.New(to)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.Close)
	return p
}

// configure writes a new version of the configuration.
func (s *site) configure() {
	s.version++
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "service": service, "timeout_ms": 6000,
			"target_latency_ms": 1500, "attempts": attempts, "sticky": kind == "streaming", "resumable": resumable,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": s.version,
		"routes": []any{
			route("draft", "streaming", "lm", 2, true),
			route("match", "streaming", "lm", 1, false),
			route("hold", "non_idempotent", "desk", 1, false),
			route("stock", "idempotent", "desk", 2, false),
		},
		"services": []any{
			map[string]any{"name": "lm", "max_conns": 200, "engine": map[string]any{"slots": 16, "kv_capacity_tokens": 100000, "kv_token_bytes": 1000, "models": []any{map[string]any{"name": model}}}},
			map[string]any{"name": "desk", "max_conns": 200},
		},
		"limits":  map[string]any{"max_header_bytes": 8192, "max_body_bytes": 4096, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "c1", "api_keys": []string{goodKey}}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Set("op/config", value)
}

// nameWeights has all runners brought to the next version.
func (s *site) nameWeights() {
	s.weights++
	s.store.Set("op/version/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, s.weights))
}

// graceS is how long an entry has after SIGTERM.
const graceS = 6

func (s *site) newEntry(i int) *entry {
	e := &entry{site: s, name: fmt.Sprintf("e%d", i), proxy: s.newProxy(strings.TrimPrefix(s.server.URL, "http://"))}
	e.front, e.ready = "127.0.0.1:"+freePort(s.t), "127.0.0.1:"+freePort(s.t)
	e.file = filepath.Join(s.dir, e.name+".toml")
	settings := fmt.Sprintf(`node = %q
ip = "127.0.0.1"
zone = "z1"
port_range = [%s, 0]
[listen]
front = %q
ready = %q
[bounds]
grace_s = %d
revoke_ms = 5000
revoke_fail_closed = true
version_ms = 8000
lease_ms = 3000
retry_budget_ratio = 0.2
budget_extra_retries = 50
budget_window_s = 10
[platform]
address = %q
ttl_min_ms = 1000
`, e.name, freePort(s.t), e.front, e.ready, graceS, e.proxy.Addr())
	if err := os.WriteFile(e.file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	e.start()
	s.t.Cleanup(e.kill)
	return e
}

// Ports of entries lie below those that the kernel gives out: an entry's port
// stands free while the entry is down, and were a stand-in of this soak or of one
// beside it to get it, callers would reach that.
const (
	firstPort    = 12000
	lastPort     = 30000
	portsOfASoak = 60
)

var (
	portMu   sync.Mutex
	nextPort = firstPort + os.Getpid()*portsOfASoak%(lastPort-firstPort)
)

// freePort returns a port that nobody uses, of this soak's own part of the range.
func freePort(t *testing.T) string {
	t.Helper()
	portMu.Lock()
	defer portMu.Unlock()
	for range portsOfASoak {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		l.Close()
		return fmt.Sprint(nextPort)
	}
	t.Fatal("no free port; end what uses those from 12000 to 30000")
	return ""
}

func (e *entry) start() {
	log, err := os.OpenFile(filepath.Join(logDir(e.site.t, e.site.dir), e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		e.site.t.Error(err)
		return
	}
	cmd := exec.Command(filepath.Join(binDir, "acaciakeel-entry"), "platform", "--metrics-port", "0")
	cmd.Env = append(os.Environ(), "ACACIAKEEL_NODE_FILE="+e.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		e.site.t.Error(err)
		return
	}
	e.mu.Lock()
	e.cmd = cmd
	e.mu.Unlock()
}

// signal sends a signal to the process, which this soak started.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s)
}

func (e *entry) wait() {
	e.mu.Lock()
	cmd := e.cmd
	e.mu.Unlock()
	_ = cmd.Wait()
}

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	e.wait()
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
