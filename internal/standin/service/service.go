// Package service is a stand-in of a plain service: it holds boxes in carts
// and sends letters, counts how often each call ran, and repeats nothing by itself.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Config is the service's constants.
type Config struct {
	// Listen is the address to serve on, IP:PORT.
	Listen string `toml:"listen"`
	// WorkMS is how long a call takes, in milliseconds.
	WorkMS float64 `toml:"work_ms"`
}

// Service counts the calls that ran, by path and body.
type Service struct {
	work time.Duration
	mu   sync.Mutex
	runs map[string]int
}

// New returns a service whose calls take the configured time.
func New(c Config) *Service {
	return &Service{work: time.Duration(c.WorkMS * float64(time.Millisecond)), runs: map[string]int{}}
}

type answer struct {
	Path string `json:"path"`
	Body string `json:"body"`
	// Runs is how often this call has run by now.
	Runs int `json:"runs"`
}

// Handler returns the service, and GET /truth with the count of every call.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /truth", s.serveTruth)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a := answer{Path: r.URL.Path, Body: string(body)}
	a.Runs = s.count(r.Method + " " + r.URL.Path + " " + a.Body)
	time.Sleep(s.work)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

func (s *Service) count(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[call]++
	return s.runs[call]
}

func (s *Service) serveTruth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}
