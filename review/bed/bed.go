// Package bed is what the review's scripts have in common: a deployment like the users' small
// ones on loopback, with the project's stand-in of the platform's store and the entry as
// separate processes, started as the deploy file says.
package bed

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"acaciakeel/internal/standin/kv"
)

// Exit codes of a script.
const (
	Held    = 0
	Broken  = 1
	Invalid = 2
)

// Ports are the same on all machines of a day.
const (
	frontPort   = "8782"
	readyPort   = "8789"
	controlPort = "8783"
	storePort   = "8784"
	metricsPort = "9464"
	firstPort   = 7340
	lastPort    = 7355
)

// runCommand is the run line of deploy/system.toml.
const runCommand = "target/acaciakeel-entry platform --metrics-port 9464"

// Zones are the zones of the machines, one entry in each.
var Zones = []string{"ulemiste", "kopli", "lasnamae"}

// Bed is a running deployment.
type Bed struct {
	Store   *kv.Store
	Entries []*Entry

	started time.Time
	record  *os.File
	dir     string
	net     string
	server  *http.Server
	mu      sync.Mutex
}

// Trouble reports whether the script runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// New starts the store; entries are started by StartEntries. Every address is a loopback one.
func New(recordFile string) (*Bed, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &Bed{Store: kv.NewStore(0), started: time.Now(), record: record, dir: dir}
	for i := range 200 {
		b.net = fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+i)%200, (os.Getpid()/200+i)%250)
		l, err := net.Listen("tcp", b.IP(1)+":"+storePort)
		if err != nil {
			continue
		}
		b.server = &http.Server{Handler: kv.NewServer(b.Store).Handler()}
		go func() { _ = b.server.Serve(l) }()
		b.Note("trouble=%v", Trouble())
		return b, nil
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// IP returns the deployment's loopback address number n.
func (b *Bed) IP(n int) string { return fmt.Sprintf("%s%d", b.net, n) }

// Now is the time since the start, as in the record.
func (b *Bed) Now() time.Duration { return time.Since(b.started) }

// Note writes a line to the record.
func (b *Bed) Note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", b.Now().Seconds(), fmt.Sprintf(format, args...))
}

// Set writes a key as the operator or a runner does.
func (b *Bed) Set(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	b.Store.Set(key, data)
}

// Entry is one entry, a process of the project.
type Entry struct {
	Name string
	Zone string
	bed  *Bed
	ip   string
	file string

	mu   sync.Mutex
	cmd  *exec.Cmd
	gone chan struct{}
}

// Front is the address at which clients reach the entry.
func (e *Entry) Front() string { return e.ip + ":" + frontPort }

// IP is the entry's address.
func (e *Entry) IP() string { return e.ip }

// StartEntries starts an entry in each zone and waits until all are ready.
func (b *Bed) StartEntries(n int) error {
	for i := range n {
		zone := Zones[i%len(Zones)]
		e := &Entry{Name: "front-" + zone + "-1", Zone: zone, bed: b, ip: b.IP(30 + i)}
		e.file = filepath.Join(b.dir, e.Name+".toml")
		if err := os.WriteFile(e.file, []byte(b.settings(e)), 0o600); err != nil {
			return err
		}
		b.Entries = append(b.Entries, e)
		if err := e.Start(); err != nil {
			return err
		}
	}
	for _, e := range b.Entries {
		if !e.AwaitReady(20 * time.Second) {
			return fmt.Errorf("%s is not ready after 20 s", e.Name)
		}
	}
	return nil
}

func (b *Bed) settings(e *Entry) string {
	var seeds []string
	for i := range Zones {
		seeds = append(seeds, fmt.Sprintf("%q", b.IP(30+i)+":"+controlPort))
	}
	return fmt.Sprintf(`node = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "tallinn"
port_range = [%d,%d]
seeds = [%s]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
ulemiste = "tallinn"
kopli = "tallinn"
lasnamae = "tallinn"
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.304
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
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
version_ms = 12000
version_all_ms = 17000
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, e.Name, e.ip, e.Zone, firstPort, lastPort, strings.Join(seeds, ","), e.Front(), e.ip+":"+readyPort, b.IP(1)+":"+storePort)
}

// Start starts the entry's process with the command of the deploy file.
func (e *Entry) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(e.bed.dir, e.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(runCommand)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = append(os.Environ(), "ACACIAKEEL_NODE_FILE="+e.file)
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with the script, whatever ends that.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	e.cmd, e.gone = cmd, gone
	e.bed.Note("%s started", e.Name)
	go func() {
		err := cmd.Wait()
		log.Close()
		e.bed.Note("%s ended: %v", e.Name, err)
		close(gone)
	}()
	return nil
}

// Signal sends a signal to the entry's process.
func (e *Entry) Signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bed.Note("%s gets %v", e.Name, s)
	_ = e.cmd.Process.Signal(s)
}

// Await waits for the end of the entry's process.
func (e *Entry) Await(limit time.Duration) bool {
	e.mu.Lock()
	gone := e.gone
	e.mu.Unlock()
	select {
	case <-gone:
		return true
	case <-time.After(limit):
		return false
	}
}

// AwaitReady waits until the entry's readiness probe says 200.
func (e *Entry) AwaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ip + ":" + readyPort + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Close ends the processes and the store, and removes the temporary folder.
func (b *Bed) Close() {
	for _, e := range b.Entries {
		e.mu.Lock()
		if e.cmd != nil {
			_ = e.cmd.Process.Kill()
		}
		e.mu.Unlock()
		e.Await(5 * time.Second)
	}
	_ = b.server.Close()
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, e := range b.Entries {
			if data, err := os.ReadFile(filepath.Join(b.dir, e.Name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, e.Name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(b.dir)
	_ = b.record.Close()
}

// Verdict writes the verdict, closes everything and ends the script.
func (b *Bed) Verdict(code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.Note("verdict %d: %s", code, text)
	b.Close()
	fmt.Println(text)
	os.Exit(code)
}
