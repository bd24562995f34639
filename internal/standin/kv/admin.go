package kv

import (
	"net/http"
	"sync"
	"time"
)

// restoreDelay lets the response to a request to restore leave before all connections are cut.
const restoreDelay = 50 * time.Millisecond

// savedCopy is the copy that trials make and restore over HTTP.
type savedCopy struct {
	mu   sync.Mutex
	copy Copy
}

// saveCopy makes the copy that restoreCopy restores.
func (s *Server) saveCopy(http.ResponseWriter, *http.Request) {
	s.saved.mu.Lock()
	defer s.saved.mu.Unlock()
	s.saved.copy = s.store.Copy()
}

func (s *Server) restoreCopy(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	s.saved.mu.Lock()
	saved := s.saved.copy
	s.saved.mu.Unlock()
	time.AfterFunc(restoreDelay, func() { s.Restore(saved) })
}
