// Package soak breaks a deployment on the platform's protocol at random, by a
// seed: real entries as separate processes, fault proxies between them and the
// stand-ins of the store and of the targets, signals from outside. Its callers
// and targets check what must always hold.
package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
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

	"golang.org/x/sys/unix"

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
	service *kv.Server
	server  *httptest.Server
	runners []*target
	desks   []*target
	entries []*entry
	version int
	// added are further routes of the configuration.
	added []string
	trap  *trap

	// mu guards what several faults write to the store.
	mu      sync.Mutex
	weights int
	// named is when each version from 2 on was named.
	named []time.Time
	// storeDisturbed is when a fault of the store last began or ended.
	storeDisturbed time.Time
	// written is what each target has written to the list.
	written map[string]string
	// residentMB is the most memory that the processes of each entry had resident.
	residentMB map[string]int
	// ended are the processes that ended and were not told to.
	ended []string
	// direct has targets be reached without their proxies: an address where nobody
	// listens then refuses connections, which a proxy takes and closes.
	direct bool
	// versionMS is the entries' bound on older weights, in milliseconds.
	versionMS int
	// maxBodyBytes is the limit of clients' bodies.
	maxBodyBytes int
	// memoryMB is the memory of the entries' VMs, descriptors how many an entry may open; 0 sets no
	// limit.
	memoryMB    int
	descriptors uint64
}

func (s *site) addressOf(tg *target) string {
	if s.direct {
		return tg.Address()
	}
	return tg.proxy.Addr()
}

// target is a stand-in behind a proxy.
type target struct {
	*runner.Runner
	proxy *faultproxy.Proxy
	// leaves is set while the target lists itself as draining; the site's mu guards it.
	leaves bool
}

// entry is one process of the system, which reaches the store through a proxy
// of its own.
type entry struct {
	site  *site
	name  string
	front string
	ready string
	// metricsPort is where it serves its metrics.
	metricsPort string
	file        string
	proxy       *faultproxy.Proxy

	mu  sync.Mutex
	now *process
	// disturbed is when it was signalled, started or cut off.
	disturbed []time.Time
}

// process is one run of an entry.
type process struct {
	cmd  *exec.Cmd
	gone chan struct{}
	// answered is set once it has been ready, and told once it was told to end.
	answered, told bool
}

// streamPace is the pause between the events of a stream, so that faults meet
// streams that have begun.
const streamPace = 25 * time.Millisecond

func newSite(t *testing.T, entries int, r regression) *site {
	t.Helper()
	s := &site{t: t, direct: r.direct, versionMS: cmp.Or(r.versionMS, usualVersionMS), dir: t.TempDir(), store: kv.NewStore(0), weights: 1, written: map[string]string{}, memoryMB: usualMemoryMB, maxBodyBytes: 4096}
	if r.scarce {
		s.memoryMB = scarceMemoryMB
	}
	if r.shed != nil && r.shed.small {
		s.memoryMB, s.descriptors = smallMemoryMB, smallDescriptors
	}
	if r.endless {
		s.memoryMB = number("SOAK_MEMORY_MB", smallMemoryMB)
	}
	s.trap = newTrap(t)
	s.service = kv.NewServer(s.store)
	s.service.SendsEra = r.sendsEra
	s.server = httptest.NewUnstartedServer(s.service.Handler())
	s.server.Listener = s.service.Listen(s.server.Listener)
	s.server.Start()
	t.Cleanup(s.server.Close)
	t.Cleanup(s.server.CloseClientConnections)
	runners, desks := 4, cmp.Or(r.desks, 2)
	if r.shed != nil {
		runners, desks = r.shed.runners, r.shed.desks
	}
	for i := range runners {
		s.runners = append(s.runners, s.startTarget(fmt.Sprintf("r%d", i), "lm", map[string]int64{model: 1}))
	}
	for _, tg := range s.runners {
		tg.SetBuild(r.build)
	}
	if r.versions {
		s.divideVersions()
	}
	if r.framings {
		s.maxBodyBytes = 2 * runner.EarlyBody
		defer s.mixFramings()
	}
	for i := range desks {
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
		for {
			for _, tg := range s.targets() {
				s.register(tg, false)
			}
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
		}
	}()
}

// register writes the entry of a target that has changed, or in any case.
func (s *site) register(tg *target, anyhow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := "ready"
	if tg.leaves {
		state = "draining"
	}
	e := tg.EntryAt(state, s.addressOf(tg))
	if !anyhow && s.written[e.Key] == string(e.Value) {
		return
	}
	s.store.Set(e.Key, e.Value)
	s.written[e.Key] = string(e.Value)
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
	routes := []any{
		route("draft", "streaming", "lm", 2, true),
		route("match", "streaming", "lm", 1, false),
		route("hold", "non_idempotent", "desk", 1, false),
		route("stock", "idempotent", "desk", 2, false),
	}
	for _, name := range s.added {
		routes = append(routes, route(name, "idempotent", "desk", 2, false))
	}
	value, err := json.Marshal(map[string]any{
		"version": s.version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "lm", "max_conns": 200, "engine": map[string]any{"slots": 16, "kv_capacity_tokens": 100000, "kv_token_bytes": 1000, "models": []any{map[string]any{"name": model}}}},
			map[string]any{"name": "desk", "max_conns": 200},
		},
		"limits":  map[string]any{"max_header_bytes": 8192, "max_body_bytes": s.maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "c1", "api_keys": []string{goodKey}}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Set("op/config", value)
}

// nameWeights has all runners brought to the next version.
func (s *site) nameWeights() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights++
	s.writeWeights()
	s.named = append(s.named, time.Now())
}

func (s *site) writeWeights() {
	s.store.Set("op/version/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, s.weights))
}

// usualVersionMS is the bound on older weights of most seeds, in milliseconds.
const usualVersionMS = 8000

// graceS is how long an entry has after SIGTERM.
const graceS = 6

func (s *site) newEntry(i int) *entry {
	e := &entry{site: s, name: fmt.Sprintf("e%d", i), proxy: s.newProxy(strings.TrimPrefix(s.server.URL, "http://"))}
	e.front, e.ready, e.metricsPort = "127.0.0.1:"+freePort(s.t), "127.0.0.1:"+freePort(s.t), freePort(s.t)
	e.file = filepath.Join(s.dir, e.name+".toml")
	settings := fmt.Sprintf(`node = %q
ip = "127.0.0.1"
zone = "z1"
port_range = [%s, 0]
[listen]
front = %q
ready = %q
[limits]
memory_mb = %d
[bounds]
grace_s = %d
revoke_ms = 5000
revoke_fail_closed = true
version_ms = %d
lease_ms = 3000
retry_budget_ratio = 0.2
budget_extra_retries = 50
budget_window_s = 10
[platform]
address = %q
ttl_min_ms = 1000
`, e.name, freePort(s.t), e.front, e.ready, s.memoryMB, graceS, s.versionMS, e.proxy.Addr())
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
	portsOfASoak = 480
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
		if at := fmt.Sprintf("127.0.0.1:%d", nextPort); isFree(at) {
			return fmt.Sprint(nextPort)
		}
	}
	t.Fatal("no free port; end what uses those from 12000 to 30000")
	return ""
}

// isFree reports whether nobody listens at an address, for connections or datagrams: an
// entry takes one port for the latter.
func isFree(at string) bool {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return false
	}
	l.Close()
	datagrams, err := net.ListenPacket("udp4", at)
	if err != nil {
		return false
	}
	datagrams.Close()
	return true
}

func (e *entry) start() {
	log, err := os.OpenFile(filepath.Join(logDir(e.site.t, e.site.dir), e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		e.site.t.Error(err)
		return
	}
	cmd := exec.Command(filepath.Join(binDir, "acaciakeel-entry"), "platform", "--metrics-port", e.metricsPort)
	cmd.Env = append(os.Environ(), "ACACIAKEEL_NODE_FILE="+e.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		e.site.t.Error(err)
		return
	}
	if err := e.limitDescriptors(cmd.Process.Pid); err != nil {
		e.site.t.Error(err)
	}
	p := &process{cmd: cmd, gone: make(chan struct{})}
	e.mu.Lock()
	e.now = p
	e.disturbed = append(e.disturbed, time.Now())
	e.mu.Unlock()
	go e.follow(p, log)
}

func (e *entry) limitDescriptors(pid int) error {
	if e.site.descriptors == 0 {
		return nil
	}
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: e.site.descriptors, Max: e.site.descriptors}, nil)
}

// follow waits for the end of a process and keeps that it was not told to end.
func (e *entry) follow(p *process, log io.Closer) {
	err := p.cmd.Wait()
	log.Close()
	e.mu.Lock()
	told := p.told
	e.mu.Unlock()
	if !told {
		e.site.mu.Lock()
		e.site.ended = append(e.site.ended, fmt.Sprintf("%s ended by itself: %v", e.name, err))
		e.site.mu.Unlock()
	}
	close(p.gone)
}

// signal sends a signal to the process, which this soak started.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disturbed = append(e.disturbed, time.Now())
	e.now.told = e.now.told || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = e.now.cmd.Process.Signal(s)
}

// hangUp tells the process that its settings file has changed, once it listens
// for that: before its first readiness the signal would end it.
func (e *entry) hangUp() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.now.answered {
		_ = e.now.cmd.Process.Signal(syscall.SIGHUP)
	}
}

func (e *entry) current() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now
}

func (e *entry) wait() {
	<-e.current().gone
}

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	e.wait()
}

func (e *entry) isReady() bool {
	p := e.current()
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p.answered = true
	return true
}
