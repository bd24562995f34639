// Package weights is a stand-in of the weight store: it counts how many
// runners load at once, which makes each of them slower past three.
package weights

import (
	"encoding/json"
	"net/http"
	"sync"

	"acaciakeel/internal/standin/engine"
)

// Store counts the loads that run.
type Store struct {
	mu      sync.Mutex
	loading int
	most    int
}

// Handler returns the store's protocol, and GET /truth with the most loads at once.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/loads", s.change(1))
	mux.HandleFunc("DELETE /v1/loads", s.change(-1))
	mux.HandleFunc("GET /truth", s.serveTruth)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

func (s *Store) change(by int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.loading += by
		s.most = max(s.most, s.loading)
		_ = json.NewEncoder(w).Encode(engine.WeightStoreAnswer{Loading: s.loading})
	}
}

func (s *Store) serveTruth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(struct {
		Most int `json:"most"`
	}{s.most})
}
