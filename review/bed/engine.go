package bed

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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

// Use is a use of a cached part of a prompt.
type Use struct {
	At      time.Duration
	Runner  string
	Part    string
	Salt    string
	Request string
	Tenant  string
	// MadeBy and MakerTenant are the request that had the part prefilled, and its tenant.
	MadeBy      string
	MakerTenant string
}

// made is who had a part prefilled.
type made struct{ request, tenant string }

// Engine is a stand-in of a model runner, as the protocol's page describes it: it reports its
// weights and loads new ones by order, runs requests with a prompt, and keeps the parts of their
// prompts under their Cache-Salt.
type Engine struct {
	ID      string
	Service string
	Model   string
	Zone    string
	Slots   int
	Load    time.Duration
	// OnOrder is called with each order that arrived, in its order at this runner.
	OnOrder func(Order)
	// OnUse is called with each use of a cached part.
	OnUse func(Use)
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
	// cached are the parts by salt and ID.
	cached map[string]made
}

// StartEngine starts a model runner with the first version and lists it in the store.
func (b *Bed) StartEngine(e *Engine, ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	e.bed, e.listener, e.address, e.version, e.boot = b, l, l.Addr().String(), 1, time.Now().UnixMilli()
	e.cached = map[string]made{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.expected(e.report))
	mux.HandleFunc("GET /kv-events", e.expected(e.events))
	mux.HandleFunc("POST /order", e.expected(e.order))
	mux.HandleFunc("/", e.expected(e.run))
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

// run runs a request with a prompt: it uses the parts that are cached under the request's salt, as
// far as all parts before them are, keeps the others, and answers with a stream.
func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h := r.Header
	id, salt, tenant := h.Get("Request-Id"), h.Get("Cache-Salt"), h.Get("Tenant")
	e.mu.Lock()
	version := strconv.FormatInt(e.version, 10)
	if expected := h.Get("Expect-Version"); expected != "" && expected != version {
		e.mu.Unlock()
		w.Header().Set("Instance-Id", e.ID)
		w.Header().Set("Weight-Versions", version)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.bed.Note("%s runs %s of tenant %s under salt %s", e.ID, id, tenant, salt)
	found := true
	for _, entry := range strings.Split(h.Get("Prefix-Hash"), ",") {
		part, _, _ := strings.Cut(entry, ":")
		key := salt + " " + part
		maker, cached := e.cached[key]
		if found = found && cached; !found {
			e.cached[key] = made{id, tenant}
			continue
		}
		u := Use{At: e.bed.Now(), Runner: e.ID, Part: part, Salt: salt, Request: id, Tenant: tenant, MadeBy: maker.request, MakerTenant: maker.tenant}
		e.bed.Note("%s: %s of tenant %s uses part %s, made by %s of tenant %s", e.ID, id, tenant, part, maker.request, maker.tenant)
		e.OnUse(u)
	}
	e.mu.Unlock()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal-"+e.ID+"-"+id)
	w.Header().Set("Weight-Versions", version)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 5 {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
	}
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
