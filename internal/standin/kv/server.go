package kv

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"acaciakeel/platform"
	"acaciakeel/vm"
)

// maxValue is the largest value that the service holds, in bytes.
const maxValue = 1 << 20

// Faults is what goes wrong with the service, set over POST /faults.
type Faults struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// DelayMS delays each call.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers cuts the connection after a write took effect.
	LoseAnswers bool `json:"lose_answers"`
}

// Server serves the stand-in over HTTP.
type Server struct {
	store  *Store
	mu     sync.Mutex
	faults Faults
	calls  atomic.Int64
	writes atomic.Int64
}

// NewServer returns a server of the store.
func NewServer(store *Store) *Server {
	return &Server{store: store}
}

// Handler returns the platform's protocol and, for trials, POST /faults and GET /stats.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv", s.counted(s.serveGet))
	mux.HandleFunc("PUT /v1/kv", s.counted(s.servePut))
	mux.HandleFunc("DELETE /v1/kv", s.counted(s.serveDelete))
	mux.HandleFunc("GET /v1/list", s.counted(s.serveList))
	mux.HandleFunc("GET /v1/watch", s.counted(s.serveWatch))
	mux.HandleFunc("POST /v1/leases", s.counted(s.serveGrant))
	mux.HandleFunc("PUT /v1/leases", s.counted(s.serveRenew))
	mux.HandleFunc("GET /v1/vms", s.counted(s.serveVMs))
	mux.HandleFunc("PUT /admin/vms", s.setVM)
	mux.HandleFunc("DELETE /admin/vms", s.deleteVM)
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.HandleFunc("GET /stats", s.stats)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

func (s *Server) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

type result func(w http.ResponseWriter, r *http.Request) (any, error)

func (s *Server) counted(serve result) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		faults := s.current()
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		out, err := serve(w, r)
		if faults.LoseAnswers && r.Method != http.MethodGet {
			panic(http.ErrAbortHandler)
		}
		answer(w, out, err)
	}
}

func answer(w http.ResponseWriter, out any, err error) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		_ = json.NewEncoder(w).Encode(out)
	}
}

func integer(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *Server) serveGet(_ http.ResponseWriter, r *http.Request) (any, error) {
	return s.store.get(r.URL.Query().Get("key"))
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) (any, error) {
	s.writes.Add(1)
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		return nil, err
	}
	lease := platform.LeaseID(r.URL.Query().Get("lease"))
	revision, err := s.store.put(r.URL.Query().Get("key"), data, integer(r, "if_revision"), lease)
	return map[string]int64{"revision": revision}, err
}

func (s *Server) serveDelete(_ http.ResponseWriter, r *http.Request) (any, error) {
	s.writes.Add(1)
	revision, err := s.store.delete(r.URL.Query().Get("key"), integer(r, "if_revision"))
	return map[string]int64{"revision": revision}, err
}

func (s *Server) serveList(_ http.ResponseWriter, r *http.Request) (any, error) {
	return s.store.list(r.URL.Query().Get("prefix")), nil
}

func (s *Server) serveWatch(_ http.ResponseWriter, r *http.Request) (any, error) {
	prefix := r.URL.Query().Get("prefix")
	deadline := time.NewTimer(time.Duration(integer(r, "wait_ms")) * time.Millisecond)
	defer deadline.Stop()
	for {
		events, changed := s.store.after(prefix, integer(r, "after"))
		if len(events.Events) > 0 || events.Compacted {
			return events, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return events, nil
		case <-r.Context().Done():
			return events, nil
		}
	}
}

func (s *Server) serveGrant(_ http.ResponseWriter, r *http.Request) (any, error) {
	s.writes.Add(1)
	id := platform.LeaseID(r.URL.Query().Get("id"))
	s.store.grant(id, time.Duration(integer(r, "ttl_ms"))*time.Millisecond)
	return map[string]platform.LeaseID{"id": id}, nil
}

func (s *Server) serveRenew(_ http.ResponseWriter, r *http.Request) (any, error) {
	s.writes.Add(1)
	id := platform.LeaseID(r.URL.Query().Get("id"))
	return map[string]platform.LeaseID{"id": id}, s.store.renew(id)
}

func (s *Server) serveVMs(http.ResponseWriter, *http.Request) (any, error) {
	return s.store.listVMs(), nil
}

func (s *Server) setVM(w http.ResponseWriter, r *http.Request) {
	var v vm.VM
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.SetVM(v)
}

func (s *Server) deleteVM(_ http.ResponseWriter, r *http.Request) {
	s.store.removeVM(r.URL.Query().Get("name"))
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	answer(w, map[string]int64{"calls": s.calls.Load(), "writes": s.writes.Load()}, nil)
}
