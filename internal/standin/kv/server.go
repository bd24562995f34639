package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"acaciakeel/store"
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
	// LateMS is at most how long after a write took effect it is answered, at random.
	LateMS int `json:"late_ms"`
	// LoseAnswers cuts the connection after a write took effect.
	LoseAnswers bool `json:"lose_answers"`
	// ReadOnly answers each write with 503.
	ReadOnly bool `json:"read_only"`
}

// Server serves the stand-in over HTTP.
type Server struct {
	store  *Store
	mu     sync.Mutex
	faults Faults
	saved  savedCopy
	calls  atomic.Int64
	writes atomic.Int64
	// SendsEra has each response carry Store-Era, which rises by one with each restore. It is set
	// before the server is used.
	SendsEra bool
	conns    connections
}

// NewServer returns a server of the store.
func NewServer(store *Store) *Server {
	return &Server{store: store}
}

// Handler returns the platform's protocol and, for trials, POST /faults, /admin/copy and /admin/restore
// and GET /stats.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.counted(s.serveGet))
	mux.HandleFunc("GET /kv-range", s.counted(s.serveList))
	mux.HandleFunc("GET /kv-watch", s.counted(s.serveWatch))
	mux.HandleFunc("POST /kv-txn", s.counted(s.serveTransaction))
	mux.HandleFunc("POST /kv-lease", s.counted(s.serveGrant))
	mux.HandleFunc("POST /kv-keep/{lease}", s.counted(s.serveRenew))
	mux.HandleFunc("DELETE /kv-lease-end/{lease}", s.counted(s.serveRevoke))
	mux.HandleFunc("GET /v1/vms", s.counted(s.serveVMs))
	mux.HandleFunc("PUT /admin/vms", s.setVM)
	mux.HandleFunc("DELETE /admin/vms", s.deleteVM)
	mux.HandleFunc("POST /admin/copy", s.saveCopy)
	mux.HandleFunc("POST /admin/restore", s.restoreCopy)
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
		era := s.store.Era()
		if s.SendsEra {
			w.Header().Set("Store-Era", strconv.Itoa(era))
		}
		if faults.Down || faults.ReadOnly && r.Method != http.MethodGet {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		out, err := serve(w, r)
		if faults.LoseAnswers && r.Method != http.MethodGet {
			panic(http.ErrAbortHandler)
		}
		if faults.LateMS > 0 && r.Method != http.MethodGet {
			time.Sleep(time.Duration(rand.IntN(faults.LateMS)) * time.Millisecond)
		}
		if s.store.Era() != era {
			// What the call found or wrote is of the contents before the restore.
			panic(http.ErrAbortHandler)
		}
		answer(w, out, err)
	}
}

func answer(w http.ResponseWriter, out any, err error) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		answerConflict(w, err)
	case errors.Is(err, store.ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		_ = json.NewEncoder(w).Encode(out)
	}
}

// answerConflict answers with the current entries of the conditions' keys.
func answerConflict(w http.ResponseWriter, err error) {
	var c *conflict
	if !errors.As(err, &c) {
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusPreconditionFailed)
	_ = json.NewEncoder(w).Encode(page{Items: c.current})
}

func integer(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

type single struct {
	item
	Current store.Position `json:"current_rev"`
}

func (s *Server) serveGet(_ http.ResponseWriter, r *http.Request) (any, error) {
	e, current, err := s.store.get(r.URL.Query().Get("key"))
	return single{item: e, Current: current}, err
}

// pageItems is the most items of one page.
const pageItems = 500

type page struct {
	Items    []item         `json:"items"`
	More     bool           `json:"more_pages"`
	Revision store.Position `json:"current_rev"`
}

func (s *Server) serveList(_ http.ResponseWriter, r *http.Request) (any, error) {
	all, revision := s.store.list(r.URL.Query().Get("path_prefix"))
	after := r.URL.Query().Get("after")
	slices.SortFunc(all, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	out := page{Items: []item{}, Revision: revision}
	for _, e := range all {
		if e.Key <= after {
			continue
		}
		if len(out.Items) == pageItems {
			out.More = true
			break
		}
		out.Items = append(out.Items, e)
	}
	return out, nil
}

type changes struct {
	Events   []item         `json:"events"`
	Revision store.Position `json:"current_rev"`
}

func (s *Server) serveWatch(_ http.ResponseWriter, r *http.Request) (any, error) {
	prefix, era := r.URL.Query().Get("path_prefix"), s.store.Era()
	deadline := time.NewTimer(time.Duration(integer(r, "wait_ms")) * time.Millisecond)
	defer deadline.Stop()
	for {
		h := s.store.after(prefix, store.Position(integer(r, "after")))
		if h.lost {
			return nil, store.ErrCompacted
		}
		out := changes{Events: h.events, Revision: h.revision}
		if len(h.events) > 0 {
			return out, nil
		}
		select {
		case <-h.changed:
		case <-deadline.C:
			return out, nil
		case <-r.Context().Done():
			return out, nil
		}
		if s.store.Era() != era {
			panic(http.ErrAbortHandler)
		}
	}
}

type transaction struct {
	Conditions []item `json:"precondition"`
	Puts       []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Removes []string `json:"remove"`
}

func (s *Server) serveTransaction(w http.ResponseWriter, r *http.Request) (any, error) {
	s.writes.Add(1)
	var t transaction
	// Base64 makes a value a third longer.
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxValue)).Decode(&t); err != nil {
		return nil, err
	}
	var change change
	for _, c := range t.Conditions {
		change.conditions = append(change.conditions, item{Key: c.Key, Revision: c.Revision})
	}
	for _, p := range t.Puts {
		if len(p.Value) > maxValue {
			return nil, fmt.Errorf("value of %s has %d bytes, over %d", p.Key, len(p.Value), maxValue)
		}
		change.puts = append(change.puts, write{key: p.Key, data: p.Value, lease: p.Lease})
	}
	change.removes = t.Removes
	revision, err := s.store.commit(change)
	return map[string]store.Position{"revision": revision}, err
}

func (s *Server) serveGrant(_ http.ResponseWriter, r *http.Request) (any, error) {
	s.writes.Add(1)
	var in struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return nil, err
	}
	id := s.store.Grant(time.Duration(in.TTLMS) * time.Millisecond)
	return map[string]int64{"lease": id, "ttl_ms": in.TTLMS}, nil
}

func leaseOf(r *http.Request) int64 {
	n, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	return n
}

func (s *Server) serveRenew(_ http.ResponseWriter, r *http.Request) (any, error) {
	s.writes.Add(1)
	ttl, err := s.store.renew(leaseOf(r))
	return map[string]int64{"ttl_ms": ttl.Milliseconds()}, err
}

func (s *Server) serveRevoke(_ http.ResponseWriter, r *http.Request) (any, error) {
	s.writes.Add(1)
	return struct{}{}, s.store.revoke(leaseOf(r))
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
	s.SetFaults(f)
}

// SetFaults sets what goes wrong from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	calls, writes := s.Stats()
	answer(w, map[string]int64{"calls": calls, "writes": writes}, nil)
}

// Stats returns how many calls arrived, and how many of them write or concern leases.
func (s *Server) Stats() (calls, writes int64) {
	return s.calls.Load(), s.writes.Load()
}
