// Package stage starts entries as separate processes on loopback for the cases of the second
// review, with a stand-in of the platform's store.
package stage

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"acaciakeel/internal/standin/kv"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Key is the API key of the only tenant.
const Key = "ctnfzs989anu6wsjnban"

// Host is the host of all routes.
const Host = "jepu9.example"

// Record is the file with what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file record.txt in a folder.
func NewRecord(dir string) *Record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		Fail("create the record: %v", err)
	}
	return &Record{file: f, start: time.Now()}
}

// Add adds a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Fail ends a case that cannot run.
func Fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	cleanup()
	os.Exit(CannotRun)
}

var (
	cleanupMu sync.Mutex
	cleanups  []func()
)

func atEnd(f func()) {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	cleanups = append(cleanups, f)
}

func cleanup() {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	cleanups = nil
}

// Exit ends all processes of the case and exits.
func Exit(code int) {
	cleanup()
	os.Exit(code)
}

func init() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		Fail("ended by signal %v", <-told)
	}()
}

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Site is a deployment: a store and entries.
type Site struct {
	Record *Record
	Store  *kv.Store
	// Network is the first three numbers of the loopback addresses of the entries.
	Network string
	// Memory is the memory of the entries' machines in MB.
	Memory  int
	server  *httptest.Server
	dir     string
	ports   [4]int
	version int
}

// NewSite starts a store.
func NewSite(r *Record, memory int) *Site {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		Fail("temporary folder: %v", err)
	}
	atEnd(func() { _ = os.RemoveAll(dir) })
	s := &Site{Record: r, Store: kv.NewStore(0), Memory: memory, dir: dir, Network: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))}
	s.server = httptest.NewServer(kv.NewServer(s.Store).Handler())
	atEnd(s.server.CloseClientConnections)
	for i := range s.ports {
		s.ports[i] = s.freePort()
	}
	return s
}

// freePort returns a port that is free on the first addresses of the network.
func (s *Site) freePort() int {
	for range 100 {
		port := 12000 + rand.IntN(18000)
		l, err := net.Listen("tcp", net.JoinHostPort(s.Network+".1", strconv.Itoa(port)))
		if err == nil {
			l.Close()
			return port
		}
	}
	Fail("no free port")
	return 0
}

// Route is a route of the configuration.
type Route struct {
	Name, Kind, Service string
	TimeoutMS, AimMS    int
	Attempts            int
	Resumable           bool
	// Plain is set for streams without a model.
	Plain bool
}

// Configure writes a configuration as the operator does.
func (s *Site) Configure(routes []Route, services ...map[string]any) {
	s.version += 3
	var all []map[string]any
	for _, r := range routes {
		all = append(all, map[string]any{
			"name": "r-" + r.Name, "host": Host, "path_prefix": "/" + r.Name + "/", "kind": r.Kind, "service": r.Service, "timeout_ms": r.TimeoutMS,
			"target_latency_ms": r.AimMS, "attempts": r.Attempts, "priority": 1, "public": false, "sticky": r.Kind == "streaming" && !r.Plain, "resumable": r.Resumable,
			"gap_target_ms": 250,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version": s.version, "routes": all, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "sese880", "api_keys": []string{Key}, "priority": 1}},
	})
	if err != nil {
		Fail("encode the configuration: %v", err)
	}
	s.Store.Set("op/config", value)
}

// Entry is one machine with an entry.
type Entry struct {
	Name, IP    string
	Front       string
	site        *Site
	file        string
	mu          sync.Mutex
	cmd         *exec.Cmd
	stopped     bool
	Ended       int
	LargestKB   int
	OverMemory  int
	endedBySelf chan struct{}
}

const settings = `node = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "amba"
port_range = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
barracas = "amba"
avellaneda = "amba"
pompeya = "amba"
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.304
cores = 1
memory_mb = %d
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
revoke_fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra_retries = 52
recover_s = 12
transit_ms = 120
retry_after_s = 10
fencing_enforced = false
lease_ms = 3000
thaw_slack_ms = 300
version_ms = 8000
version_all_ms = 11000
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

var zones = []string{"barracas", "avellaneda", "pompeya"}

// NewEntry writes the settings of an entry and starts it with the command of the deploy file.
func (s *Site) NewEntry(i int) *Entry {
	e := &Entry{Name: fmt.Sprintf("front-%s-1", zones[i%3]), IP: fmt.Sprintf("%s.%d", s.Network, i+1), site: s}
	e.Front = net.JoinHostPort(e.IP, strconv.Itoa(s.ports[0]))
	e.file = filepath.Join(s.dir, e.Name+".toml")
	text := fmt.Sprintf(settings, e.Name, e.IP, zones[i%3], s.ports[1], s.ports[1]+15, e.Front, net.JoinHostPort(e.IP, strconv.Itoa(s.ports[2])), s.Memory, strings.TrimPrefix(s.server.URL, "http://"))
	if err := os.WriteFile(e.file, []byte(text), 0o600); err != nil {
		Fail("write the settings: %v", err)
	}
	e.Start()
	atEnd(e.end)
	return e
}

// Start starts the process.
func (e *Entry) Start() {
	// The command of deploy/system.toml, split at spaces.
	cmd := exec.Command("target/acaciakeel-entry", "platform", "--metrics-port", "9464")
	cmd.Env = []string{"ACACIAKEEL_NODE_FILE=" + e.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout = nil
	if os.Getenv("LOGS") != "" {
		out, err := os.OpenFile(filepath.Join(os.Getenv("LOGS"), e.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			Fail("log: %v", err)
		}
		cmd.Stdout, cmd.Stderr = out, out
	}
	if err := cmd.Start(); err != nil {
		Fail("start an entry: %v; build it first", err)
	}
	gone := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.endedBySelf = cmd, gone
	e.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(gone)
	}()
}

// PID returns the ID of the process.
func (e *Entry) PID() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s)
}

// Gone is closed when the present process has ended.
func (e *Entry) Gone() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endedBySelf
}

func (e *Entry) end() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	e.Signal(syscall.SIGCONT)
	e.Signal(syscall.SIGKILL)
	<-e.Gone()
}

// AwaitReady waits until the entry answers its readiness probe.
func (e *Entry) AwaitReady(limit time.Duration) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + net.JoinHostPort(e.IP, strconv.Itoa(e.site.ports[2])) + "/ready"
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	Fail("%s is not ready after %v", e.Name, limit)
}

// restartDelay is how long the platform takes to start a process again.
const restartDelay = 700 * time.Millisecond

// PoliceMemory does what the platform does with a process whose memory exceeds memory_mb: it is
// killed, and started again after a short delay.
func (e *Entry) PoliceMemory() {
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			e.mu.Lock()
			stopped := e.stopped
			e.mu.Unlock()
			if stopped {
				return
			}
			kb := residentKB(e.PID())
			e.mu.Lock()
			e.LargestKB = max(e.LargestKB, kb)
			e.mu.Unlock()
			if kb <= e.site.Memory<<10 {
				continue
			}
			e.site.Record.Say("%s: %d KB of memory, over memory_mb = %d: killed, as the platform does", e.Name, kb, e.site.Memory)
			e.Signal(syscall.SIGKILL)
			<-e.Gone()
			e.mu.Lock()
			e.OverMemory++
			e.mu.Unlock()
			time.Sleep(restartDelay)
			e.mu.Lock()
			stopped = e.stopped
			e.mu.Unlock()
			if stopped {
				return
			}
			e.Start()
		}
	}()
}

// Memory returns the most memory that the entry's processes had, in KB, and how often one was
// over its limit.
func (e *Entry) Memory() (largestKB, over int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.LargestKB, e.OverMemory
}

// residentKB returns the resident memory of a process.
func residentKB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}
