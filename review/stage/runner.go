package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Model is the model of the streaming routes.
const Model = "daka510000"

// Runner is a stand-in of a runner that follows PROTOCOL.md.
type Runner struct {
	ID, Service, Zone string
	// Slots is how many requests it runs at once.
	Slots int
	// Streams is set for a language-model runner.
	Streams bool
	// FirstAfter is the time from a read request to its first event or answer, Pause that between
	// events, Events how many a stream has.
	FirstAfter, Pause time.Duration
	Events            int
	// NoModel is set for a runner of streams without a model.
	NoModel bool
	// receiveBuffer is the size of the sockets' receive buffers; 0 leaves the default.
	receiveBuffer int

	mu sync.Mutex
	// bytesPerS is how fast it reads each request body; 0 does not limit it.
	bytesPerS int
	arrived   map[string]*Arrival
	server    *http.Server
	address   string
	boot      int64
}

// Arrival is a request that reached a runner.
type Arrival struct {
	ID       string
	Path     string
	At       time.Time
	Ran      bool
	RunAt    time.Time
	Finished bool
	Times    int
	// Resumed is its Last-Event-Id, empty if it has none.
	Resumed string
	// Sent is how many events were sent.
	Sent int
}

// StartRunner starts a runner and writes its entry in the store.
func (s *Site) StartRunner(r *Runner) *Runner {
	r.arrived, r.boot = map[string]*Arrival{}, time.Now().UnixNano()>>20
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if r.receiveBuffer == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, r.receiveBuffer)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		Fail("listen: %v", err)
	}
	r.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("GET /kv-events", r.events)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", r.ID) })
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: mux, IdleTimeout: 30 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	atEnd(func() { _ = r.server.Close() })
	s.Register(r)
	return r
}

// SmallReceiveBuffer limits the sockets' receive buffers; it must be called before StartRunner.
func (r *Runner) SmallReceiveBuffer(bytes int) *Runner {
	r.receiveBuffer = bytes
	return r
}

// Register writes the runner's entry in the store.
func (s *Site) Register(r *Runner) {
	value, err := json.Marshal(map[string]any{
		"service": r.Service, "address": r.address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": "ready", "cold_remaining_ms": 0,
		"stage": "unified", "models": r.models(), "seq_no": 0,
	})
	if err != nil {
		Fail("encode a runner: %v", err)
	}
	s.Store.Set("servers/"+r.ID, value)
}

func (r *Runner) models() []map[string]any {
	if !r.Streams || r.NoModel {
		return []map[string]any{}
	}
	return []map[string]any{{"name": Model, "version": 1, "adapters": []string{}}}
}

// ReadAt sets how fast the runner reads request bodies, in bytes a second; 0 does not limit it.
func (r *Runner) ReadAt(bytesPerS int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytesPerS = bytesPerS
}

func (r *Runner) misdirected(w http.ResponseWriter, req *http.Request) bool {
	if want := req.Header.Get("Expect-Instance"); want == "" || want == r.ID {
		return false
	}
	w.Header().Set("Instance-Id", r.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (r *Runner) report(w http.ResponseWriter, req *http.Request) {
	if r.misdirected(w, req) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "unified", "models": r.models(), "busy": false, "seq_no": 0, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 102461, "handles": 0})
}

func (r *Runner) events(w http.ResponseWriter, req *http.Request) {
	if r.misdirected(w, req) {
		return
	}
	ms, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-req.Context().Done():
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"boot_epoch":%d,"next_token":1,"lost":false,"events":[]}`, r.boot)
}

// readBody reads a body at the set speed.
func (r *Runner) readBody(body io.Reader) error {
	buffer := make([]byte, 32<<10)
	for {
		r.mu.Lock()
		speed := r.bytesPerS
		r.mu.Unlock()
		n, err := body.Read(buffer)
		if speed > 0 && n > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(speed))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.misdirected(w, req) {
		return
	}
	r.mu.Lock()
	a := r.arrived[id]
	if a == nil {
		a = &Arrival{ID: id, Path: req.URL.Path, At: time.Now()}
		r.arrived[id] = a
	}
	a.Times++
	a.Resumed = req.Header.Get("Last-Event-Id")
	r.mu.Unlock()
	if r.readBody(req.Body) != nil {
		return
	}
	r.mu.Lock()
	a.Ran, a.RunAt = true, time.Now()
	r.mu.Unlock()
	if !r.sleep(req.Context(), r.FirstAfter) {
		return
	}
	w.Header().Set("Response-Seal", "seal."+id)
	if !r.Streams {
		fmt.Fprintf(w, "answer to %s", id)
		r.finished(a)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if !r.NoModel {
		w.Header().Set("Weight-Versions", "1")
	}
	flush := http.NewResponseController(w)
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= r.Events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s piece %d of the run at %s that began after %d\n\n", i, id, i, r.ID, after)
		if flush.Flush() != nil {
			return
		}
		r.sentEvent(a)
		if i < r.Events && !r.sleep(req.Context(), r.Pause) {
			return
		}
	}
	r.finished(a)
}

func (r *Runner) sentEvent(a *Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Sent++
}

// Crash ends the runner as the end of its process does: its connections and its listener close.
func (r *Runner) Crash() { _ = r.server.Close() }

func (r *Runner) finished(a *Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Finished = true
}

func (r *Runner) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Arrivals returns the requests that reached the runner, by ID.
func (r *Runner) Arrivals() map[string]Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Arrival, len(r.arrived))
	for id, a := range r.arrived {
		out[id] = *a
	}
	return out
}
