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
func (l *LeaderLock) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.fence != 0 && l.leaseID == l.session.ID() && l.session.Valid()
	return l.fence, held
}

// Remaining implements Office.
func (l *LeaderLock) Remaining() time.Duration {
	return l.session.Remaining()
}

// Observe notes what the store says of the key at a revision; an empty value is
// its absence. What is older than the seat's own taking says nothing of it: a
// listing may have been read before and arrive after. Nor does the taking of one
// that was given up since: adopted by its late news, it would have two holders.
func (l *LeaderLock) Observe(value string, revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.fence || (value != "" && revision <= l.lostFence) {
		return
	}
	l.occupied, l.foreignRevision = value != "", 0
	if value == l.name && l.fence == 0 && l.leaseID != "" {
		// A write whose outcome was unknown was carried out after all. Left
		// alone, the seat would stay with a process that does not know of it.
		l.markAcquired(revision)
		return
	}
	if l.fence != 0 && (value != l.name || revision != l.fence) {
		l.markLost()
	}
}

// markLost notes that the seat is held no more; the caller holds mu.
func (l *LeaderLock) markLost() {
	l.lostFence, l.fence = l.fence, 0
	l.lostAt = clock.Now()
	l.log.WithField("event", "seat_lost").Warn("another process may give the orders now")
}

// ObserveForeign notes that the store has an entry at the key, of a revision, that no
// holder wrote. It hangs on no lease, so that waiting for its end nobody would give
// orders any more. After a pause, in which a holder whose entry it replaced has
// learnt that or has lost its lease, the seat is taken over it.
func (l *LeaderLock) ObserveForeign(revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.fence || revision == l.foreignRevision {
		return
	}
	l.occupied, l.foreignRevision, l.foreignAt = true, revision, clock.Now()
	if l.fence != 0 {
		l.markLost()
	}
}

// available reports whether the seat may be sought; the caller holds mu.
func (l *LeaderLock) available() bool {
	if l.occupied && (l.foreignRevision == 0 || l.foreignAt.Since() < l.backoff) {
		return false
	}
	return !l.acquiring && (l.lostAt == 0 || l.lostAt.Since() >= l.backoff)
}

// TryAcquire tries to take the seat if it is free.
func (l *LeaderLock) TryAcquire(ctx context.Context) bool {
	l.mu.Lock()
	leaseID := l.session.ID()
	if leaseID == "" || !l.available() {
		l.mu.Unlock()
		return false
	}
	l.acquiring = true
	l.leaseID = leaseID
	overRevision := l.foreignRevision
	l.mu.Unlock()
	fence, err := l.write(ctx, leaseID, overRevision)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acquiring = false
	if errors.Is(err, store.ErrConflict) {
		l.occupied, l.foreignRevision = true, 0
	}
	if err != nil || l.fence != 0 {
		return l.fence != 0
	}
	l.markAcquired(fence)
	return true
}

// markAcquired notes that the seat is held under a fence; the caller holds mu.
func (l *LeaderLock) markAcquired(fence int64) {
	l.occupied, l.fence, l.foreignRevision = true, fence, 0
	l.log.WithFields(logrus.Fields{"event": "seat_taken", "fence": fence}).Info("this process gives the orders now")
}

// Release gives the seat to whoever seeks it, while this process's lease goes on.
// One that is being taken just now stays until the lease ends.
func (l *LeaderLock) Release(ctx context.Context) error {
	l.mu.Lock()
	fence := l.fence
	if fence != 0 {
		l.markLost()
	}
	l.mu.Unlock()
	if fence == 0 {
		return nil
	}
	_, err := l.store.Delete(ctx, l.key, fence)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) {
		// It has passed to another process already.
		return nil
	}
	return err
}

// write writes the key over the revision given; 0 is none.
func (l *LeaderLock) write(ctx context.Context, lease store.LeaseID, overRevision int64) (int64, error) {
	fence, err := l.store.Put(ctx, l.key, []byte(l.name), overRevision, lease)
	if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnavailable) {
		return fence, err
	}
	// The answer was lost; the key tells whether the call was carried out.
	entry, readErr := l.store.Get(ctx, l.key)
	if readErr == nil && string(entry.Value) == l.name {
		return entry.Revision, nil
	}
	return 0, err
}
