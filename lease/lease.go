// Package lease keeps one lease of a process in the platform's store, and the
// keys that hang on it: the sign that the process is alive, and the offices
// that it holds.
package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// Session is one process's lease. It is safe for concurrent use.
type Session struct {
	store store.Store
	ttl   time.Duration
	// margin is kept from the end of the lease: whoever relies on the lease
	// may still be about to act when it looks.
	margin time.Duration

	mu         sync.Mutex
	id         store.LeaseID
	validUntil clock.BootTime
	closed     bool
}

// NewSession returns a session whose lease lapses ttl after its last renewal,
// and is not relied on for the last margin of it.
func NewSession(s store.Store, ttl, margin time.Duration) *Session {
	return &Session{store: s, ttl: ttl, margin: margin}
}

// renewalsPerTTL is how many times a lease is renewed within its time, so that one
// or two lost renewalsPerTTL don't end it.
const renewalsPerTTL = 4

// Run keeps the lease until ctx ends. After each new grant it calls granted,
// which puts the keys that hang on the lease.
func (s *Session) Run(ctx context.Context, granted func(context.Context, store.LeaseID)) {
	ticker := time.NewTicker(s.ttl / renewalsPerTTL)
	defer ticker.Stop()
	for {
		if isNew := s.renewOrGrant(ctx); isNew {
			granted(ctx, s.ID())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// renewOrGrant renews the lease or takes a new one, and reports whether it is new.
func (s *Session) renewOrGrant(ctx context.Context) bool {
	// The lease runs from the arrival of the call at the store, which is later
	// than its sending; so the sending is the moment to count from.
	sentAt := clock.Now()
	id := s.ID()
	if id != "" {
		err := s.store.Renew(ctx, id)
		if err == nil {
			s.set(id, sentAt)
			return false
		}
		if !errors.Is(err, store.ErrNotFound) {
			return false
		}
		s.set("", 0)
	}
	sentAt = clock.Now()
	id, err := s.store.Grant(ctx, s.ttl)
	if err != nil {
		return false
	}
	s.set(id, sentAt)
	return true
}

func (s *Session) set(id store.LeaseID, sentAt clock.BootTime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.id = id
	s.validUntil = sentAt.Add(s.ttl - s.margin)
	if id == "" {
		s.validUntil = 0
	}
}

// ID returns the lease, or "" while there is none.
func (s *Session) ID() store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Valid reports whether the lease holds for at least the margin from now on.
// It looks at a clock that a suspended machine can't stop, so a process that
// slept beyond its lease knows at once.
func (s *Session) Valid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id != "" && clock.Now() < s.validUntil
}

// Remaining returns for how long the lease lasts at least; 0 once it may have lapsed. What
// acts by the lease ends by then: a call that was made in time may be held up on its way,
// and would take effect beside another holder's.
func (s *Session) Remaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == "" {
		return 0
	}
	return max(0, time.Duration(s.validUntil.Add(s.margin)-clock.Now()))
}

// Close gives the lease up for good, so that its keys vanish at once.
func (s *Session) Close(ctx context.Context) error {
	id := s.ID()
	s.set("", 0)
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	if id == "" {
		return nil
	}
	return s.store.Revoke(ctx, id)
}
