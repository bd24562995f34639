package rollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/lease"
	"acaciakeel/store"
)

// LeaderLock is the office of giving orders: one key of the platform's store that
// hangs on its holder's lease. The key's revision is the fence.
type LeaderLock struct {
	store   store.Store
	session *lease.Session
	key     string
	name    string
	// backoff is how long a process that lost the seat leaves it to the others.
	backoff time.Duration
	log     logrus.FieldLogger

	mu      sync.Mutex
	fence   int64
	leaseID store.LeaseID
	// occupied is set while the key is known to be there.
	occupied bool
	// acquiring is set while a try to take it is under way.
	acquiring bool
	// lostAt is when the seat was last lostAt, gone the fence under which it was held.
	lostAt    clock.BootTime
	lostFence int64
	// foreignRevision is the revision of an entry at the key that no holder wrote, found at
	// foreignAt; 0 where there is none.
	foreignRevision int64
	foreignAt       clock.BootTime
}

// NewLeaderLock returns the seat at key for the process that name names in this
// start. A process that lost it does not seek it for pause: two that take turns
// might each have orders on the way while the other gives some.
func NewLeaderLock(s store.Store, session *lease.Session, key, name string, backoff time.Duration, log logrus.FieldLogger) *LeaderLock {
	return &LeaderLock{store: s, session: session, key: key, name: name, backoff: backoff, log: log}
}

// Held implements Office.
func (s *LeaderLock) Held() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.fence != 0 && s.leaseID == s.session.ID() && s.session.Valid()
	return s.fence, held
}

// Remaining implements Office.
func (s *LeaderLock) Remaining() time.Duration {
	return s.session.Remaining()
}

// Observe notes what the store says of the key at a revision; an empty value is
// its absence. What is older than the seat's own taking says nothing of it: a
// listing may have been read before and arrive after. Nor does the taking of one
// that was given up since: adopted by its late news, it would have two holders.
func (s *LeaderLock) Observe(value string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.fence || (value != "" && revision <= s.lostFence) {
		return
	}
	s.occupied, s.foreignRevision = value != "", 0
	if value == s.name && s.fence == 0 && s.leaseID != "" {
		// A write whose outcome was unknown was carried out after all. Left
		// alone, the seat would stay with a process that does not know of it.
		s.markAcquired(revision)
		return
	}
	if s.fence != 0 && (value != s.name || revision != s.fence) {
		s.markLost()
	}
}

// markLost notes that the seat is held no more; the caller holds mu.
func (s *LeaderLock) markLost() {
	s.lostFence, s.fence = s.fence, 0
	s.lostAt = clock.Now()
	s.log.WithField("event", "seat_lost").Warn("another process may give the orders now")
}

// ObserveForeign notes that the store has an entry at the key, of a revision, that no
// holder wrote. It hangs on no lease, so that waiting for its end nobody would give
// orders any more. After a pause, in which a holder whose entry it replaced has
// learnt that or has lost its lease, the seat is taken over it.
func (s *LeaderLock) ObserveForeign(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.fence || revision == s.foreignRevision {
		return
	}
	s.occupied, s.foreignRevision, s.foreignAt = true, revision, clock.Now()
	if s.fence != 0 {
		s.markLost()
	}
}

// available reports whether the seat may be sought; the caller holds mu.
func (s *LeaderLock) available() bool {
	if s.occupied && (s.foreignRevision == 0 || s.foreignAt.Since() < s.backoff) {
		return false
	}
	return !s.acquiring && (s.lostAt == 0 || s.lostAt.Since() >= s.backoff)
}

// TryAcquire tries to take the seat if it is free.
func (s *LeaderLock) TryAcquire(ctx context.Context) bool {
	s.mu.Lock()
	lease := s.session.ID()
	if lease == "" || !s.available() {
		s.mu.Unlock()
		return false
	}
	s.acquiring = true
	s.leaseID = lease
	overRevision := s.foreignRevision
	s.mu.Unlock()
	fence, err := s.write(ctx, lease, overRevision)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acquiring = false
	if errors.Is(err, store.ErrConflict) {
		s.occupied, s.foreignRevision = true, 0
	}
	if err != nil || s.fence != 0 {
		return s.fence != 0
	}
	s.markAcquired(fence)
	return true
}

// markAcquired notes that the seat is held under a fence; the caller holds mu.
func (s *LeaderLock) markAcquired(fence int64) {
	s.occupied, s.fence, s.foreignRevision = true, fence, 0
	s.log.WithFields(logrus.Fields{"event": "seat_taken", "fence": fence}).Info("this process gives the orders now")
}

// Release gives the seat to whoever seeks it, while this process's lease goes on.
// One that is being taken just now stays until the lease ends.
func (s *LeaderLock) Release(ctx context.Context) error {
	s.mu.Lock()
	fence := s.fence
	if fence != 0 {
		s.markLost()
	}
	s.mu.Unlock()
	if fence == 0 {
		return nil
	}
	_, err := s.store.Delete(ctx, s.key, fence)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) {
		// It has passed to another process already.
		return nil
	}
	return err
}

// write writes the key over the revision given; 0 is none.
func (s *LeaderLock) write(ctx context.Context, lease store.LeaseID, overRevision int64) (int64, error) {
	fence, err := s.store.Put(ctx, s.key, []byte(s.name), overRevision, lease)
	if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnavailable) {
		return fence, err
	}
	// The answer was lost; the key tells whether the call was carried out.
	entry, readErr := s.store.Get(ctx, s.key)
	if readErr == nil && string(entry.Value) == s.name {
		return entry.Revision, nil
	}
	return 0, err
}
