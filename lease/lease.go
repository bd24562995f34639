// Package lease maintains a process's lease in the platform's store. The keys attached
// to the lease show that the process is alive and which leader roles it holds.
package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// Session is the lease of one process. It is safe for concurrent use.
type Session struct {
	store store.Store
	ttl   time.Duration
	// margin is subtracted from the end of the lease, because a caller may act for a
	// short while after it has checked the lease.
	margin time.Duration
	// onLost, if set, is called when the store does not know a lease that must still last.
	onLost func()

	mu         sync.Mutex
	id         store.LeaseID
	validUntil clock.BootTime
	// since is when the lease was granted, or renewed for the first time after it had
	// expired by what this process knew.
	since  clock.BootTime
	closed bool
}

// NewSession returns a session whose lease expires ttl after its last renewal. Valid
// reports false for the last margin of that time.
func NewSession(s store.Store, ttl, margin time.Duration) *Session {
	return &Session{store: s, ttl: ttl, margin: margin}
}

// OnLost sets the function that is called when the store does not know a lease that must still
// last: it has lost what it acknowledged. It must be called before Run.
func (s *Session) OnLost(notify func()) {
	s.onLost = notify
}

// renewalsPerTTL is how many times a lease is renewed within its TTL, so that one or
// two lost renewals don't end it.
const renewalsPerTTL = 4

// Run grants and renews the lease until ctx ends. After each new grant it calls granted
// in its own goroutine, which must write the keys attached to the lease: at a slow store
// these writes take longer than the lease lasts without a renewal.
func (s *Session) Run(ctx context.Context, granted func(context.Context, store.LeaseID)) {
	ticker := time.NewTicker(s.ttl / renewalsPerTTL)
	defer ticker.Stop()
	for {
		if isNew := s.renewOrGrant(ctx); isNew {
			go granted(ctx, s.ID())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// renewOrGrant renews the lease, or requests a new one if the store no longer has it.
// It reports whether the lease is new.
func (s *Session) renewOrGrant(ctx context.Context) bool {
	// The TTL starts when the call arrives at the store, which is after it was sent, so
	// counting from the time of sending never overestimates the lease.
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
		if s.Valid() && s.onLost != nil {
			s.onLost()
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
	if id != s.id || clock.Now() >= s.validUntil.Add(s.margin) {
		s.since = sentAt
	}
	s.id = id
	s.validUntil = sentAt.Add(s.ttl - s.margin)
	if id == "" {
		s.validUntil = 0
	}
}

// TTL returns how long a lease lasts after its last renewal.
func (s *Session) TTL() time.Duration { return s.ttl }

// ID returns the id of the lease, or "" if there is none.
func (s *Session) ID() store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Since returns since when the lease has lasted without a time in which it may have
// expired by what this process knew. A lease that was renewed after such a time may be
// that of an older copy of the store; another process may have acted meanwhile.
func (s *Session) Since() clock.BootTime {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since
}

// Valid reports whether the lease lasts for at least the margin from now. It uses a
// clock that continues while the VM is suspended, so that a process that was suspended
// beyond its lease detects this at once.
func (s *Session) Valid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id != "" && clock.Now() < s.validUntil
}

// Remaining returns the least time for which the lease still lasts, or 0 if it may have
// expired. It is the deadline for calls made under the lease: a call sent in time may
// be delayed on its way and would take effect while another process holds the lease.
func (s *Session) Remaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == "" {
		return 0
	}
	return max(0, time.Duration(s.validUntil.Add(s.margin)-clock.Now()))
}

// Close revokes the lease permanently, so that the store deletes its keys at once.
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
