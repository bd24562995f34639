package bed

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Order is an order that arrived at a runner.
type Order struct {
	At      time.Duration
	Runner  string
	Holder  string
	Fence   int64
	Version int64
	Status  int
}

// Engine is a stand-in of a model runner without clients, as the protocol's page describes it: it
// reports its weights and loads new ones by order.
type Engine struct {
	ID      string
	Service string
	Model   string
	Zone    string
	Slots   int
	Load    time.Duration
	// OnOrder is called with each order that arrived, in its order at this runner.
	OnOrder func(Order)
	// Loses, if set, has callers reach the runner over a Link with this Loses.
	Loses func(p []byte) float64

	bed      *Bed
	listener net.Listener
	address  string

	mu      sync.Mutex
	version int64
	seq     int64
	// busy is set while an order is in progress, loading is its version.
	busy    bool
	loading int64
	boot    int64
}

// StartEngine starts a model runner with the first version and lists it in the store.
func (b *Bed) StartEngine(e *Engine, ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	e.bed, e.listener, e.address, e.version, e.boot = b, l, l.Addr().String(), 1, time.Now().UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.expected(e.report))
	mux.HandleFunc("GET /kv-events", e.expected(e.events))
	mux.HandleFunc("POST /order", e.expected(e.order))
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	if e.Loses != nil {
		link, err := NewLink(ip, e.address, e.Loses)
		if err != nil {
			return err
		}
		e.address = link.Address()
	}
	e.list()
	return nil
}

func (e *Engine) expected(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if meant := r.Header.Get("Expect-Instance"); meant != "" && meant != e.ID {
			w.Header().Set("Instance-Id", e.ID)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		serve(w, r)
	}
}

func (e *Engine) models() []map[string]any {
	return []map[string]any{{"name": e.Model, "version": e.version, "adapters": []any{}}}
}

// list writes the runner's entry in the store.
func (e *Engine) list() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bed.Set("servers/"+e.ID, map[string]any{
		"service": e.Service, "address": e.address, "zone": e.Zone, "version": "v1", "slots": e.Slots, "state": "ready",
		"cold_remaining_ms": 0, "stage": "unified", "models": e.models(), "seq_no": e.seq,
	})
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "unified", "models": e.models(), "busy": e.busy, "seq_no": e.seq, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 90000, "handles": 0,
	})
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	time.Sleep(200 * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"boot_epoch": e.boot, "next_token": 1, "lost": false, "events": []any{}})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Op           string `json:"op"`
		Model        string `json:"model"`
		Version      int64  `json:"version"`
		Holder       string `json:"holder"`
		Fence        int64  `json:"fence"`
		Precondition *int64 `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Holder == "" || in.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := Order{At: e.bed.Now(), Runner: e.ID, Holder: in.Holder, Fence: in.Fence, Version: in.Version}
	o.Status = e.take(in.Version, in.Precondition)
	e.bed.Note("%s gets an order of %s with fence %d for version %d: %d", e.ID, o.Holder, o.Fence, o.Version, o.Status)
	e.OnOrder(o)
	w.WriteHeader(o.Status)
}

// take carries out an order, and returns the status that answers it. An order for the weights that
// are being loaded is being carried out already.
func (e *Engine) take(version int64, precondition *int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case version == e.version:
		return http.StatusOK
	case e.busy && version == e.loading:
		return http.StatusAccepted
	case e.busy || precondition != nil && *precondition != e.seq:
		return http.StatusConflict
	}
	e.busy, e.loading = true, version
	e.seq++
	go e.load(version)
	return http.StatusAccepted
}

// Version returns the version of the weights that the runner has.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// load loads weights: no requests run here, so nothing has to finish first.
func (e *Engine) load(version int64) {
	time.Sleep(e.Load)
	e.mu.Lock()
	e.version, e.busy = version, false
	e.mu.Unlock()
	e.list()
}
