package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/lease"
	"acaciakeel/store"
)

// LeaderLock elects the process that sends load orders. It is one key of the platform's
// store, attached to the lease of its holder. The revision of the key is the fencing
// token.
type LeaderLock struct {
	store   store.Store
	session *lease.Session
	key     string
	name    string
	// backoff is how long a process that lost the lock does not try to acquire it
	// again.
	backoff time.Duration
	log     logrus.FieldLogger

	mu      sync.Mutex
	report  lockReporter
	fence   int64
	leaseID store.LeaseID
	// occupied is set while the key is known to exist.
	occupied bool
	// acquiring is set while an attempt to write the key is in progress.
	acquiring bool
	// lostAt is when the lock was last lost, and lostFence the fencing token with which
	// it was held.
	lostAt    clock.BootTime
	lostFence int64
	// foreignRevision is the revision of an entry at the key that was not written by a
	// controller, found at foreignAt; 0 if there is none.
	foreignRevision int64
	foreignAt       clock.BootTime
}

// NewLeaderLock returns the lock at key. name identifies this start of the process. A
// process that lost the lock does not try to acquire it again for backoff: if two
// processes alternated, each could have orders in flight while the other sends some.
func NewLeaderLock(s store.Store, session *lease.Session, key, name string, backoff time.Duration, log logrus.FieldLogger) *LeaderLock {
	return &LeaderLock{store: s, session: session, key: key, name: name, backoff: backoff, log: log, report: lockReporter{log: log, vacantSince: clock.Now()}}
}

// SetMetrics makes the lock count its attempts. It must be called before the lock is used.
func (l *LeaderLock) SetMetrics(m *LockMetrics) {
	l.report.metrics = m
}

// VacantFor returns the time since a process was last known to hold the lock, or 0 while
// one does.
func (l *LeaderLock) VacantFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.report.vacantSince == 0 {
		return 0
	}
	return l.report.vacantSince.Since()
}

// RecordBlocker logs why this process does not try to acquire the lock at all.
func (l *LeaderLock) RecordBlocker(blocker AcquireBlocker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.recordBlocker(blocker, l.state())
}

// state describes what is known of the key, for the log; the caller holds mu.
func (l *LeaderLock) state() string {
	return fmt.Sprintf("fence=%d occupied=%t foreign=%d holder_known=%t", l.fence, l.occupied, l.foreignRevision, l.report.vacantSince == 0)
}

// Held implements Leadership.
func (l *LeaderLock) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.fence != 0 && l.leaseID == l.session.ID() && l.session.Valid()
	return l.fence, held
}

// Remaining implements Leadership.
func (l *LeaderLock) Remaining() time.Duration {
	return l.session.Remaining()
}

// Observe records the value of the key at a revision of the store; an empty value means
// that the key does not exist. Observations older than the acquisition by this process
// are ignored, since a listing may have been read before it and arrive later. So are
// observations of an acquisition that was given up since: accepting one would leave the
// lock with two holders.
func (l *LeaderLock) Observe(value string, revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.fence || (value != "" && revision <= l.lostFence) {
		return
	}
	l.occupied, l.foreignRevision = value != "", 0
	l.report.recordHolder(value != "")
	if value == l.name && l.fence == 0 && l.leaseID != "" {
		// A write with an unknown outcome did succeed. If that were ignored, the lock
		// would stay with a process that does not know that it holds it.
		l.markAcquired(revision)
		return
	}
	if l.fence != 0 && (value != l.name || revision != l.fence) {
		l.markLost()
	}
}

// markLost records that the lock is no longer held; the caller holds mu.
func (l *LeaderLock) markLost() {
	l.lostFence, l.fence = l.fence, 0
	l.lostAt = clock.Now()
	l.log.WithField("event", "seat_lost").Warn("leader lock lost; another process may send load orders now")
}

// ObserveForeign records that the key has an entry, at a revision, that was not written
// by a controller. Such an entry has no lease and never expires, so waiting for its end
// would stop all orders. The lock is acquired over it after the backoff, by when a
// holder whose entry it replaced has noticed that or has lost its lease.
func (l *LeaderLock) ObserveForeign(revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.fence || revision == l.foreignRevision {
		return
	}
	l.occupied, l.foreignRevision, l.foreignAt = true, revision, clock.Now()
	l.report.recordHolder(false)
	if l.fence != 0 {
		l.markLost()
	}
}

// blocker returns why the lock may not be acquired now; the caller holds mu.
func (l *LeaderLock) blocker() AcquireBlocker {
	switch {
	case l.session.ID() == "":
		return NoLease
	case l.acquiring:
		return AttemptInProgress
	case l.fence != 0:
		return HeldHere
	case l.occupied && l.foreignRevision == 0:
		return HeldElsewhere
	case l.occupied && l.foreignAt.Since() < l.backoff:
		return ForeignBackoff
	case l.lostAt != 0 && l.lostAt.Since() < l.backoff:
		return LossBackoff
	}
	return NotBlocked
}

// TryAcquire tries to acquire the lock if it is available, and reports whether this
// process has acquired it.
func (l *LeaderLock) TryAcquire(ctx context.Context) bool {
	l.mu.Lock()
	blocker := l.blocker()
	l.report.recordBlocker(blocker, l.state())
	if blocker != NotBlocked {
		l.mu.Unlock()
		return false
	}
	l.acquiring = true
	l.leaseID = l.session.ID()
	leaseID, overRevision, before := l.leaseID, l.foreignRevision, l.state()
	l.mu.Unlock()
	began := clock.Now()
	fence, err := l.write(ctx, leaseID, overRevision)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acquiring = false
	fields := logrus.Fields{"lease": leaseID, "expected": overRevision, "found": fence, "before": before, "meanwhile": l.state()}
	if errors.Is(err, store.ErrConflict) {
		l.occupied, l.foreignRevision = true, 0
	}
	fields["after"] = l.state()
	l.report.recordAttempt(err, began.Since(), fields)
	if err != nil || l.fence != 0 {
		return l.fence != 0
	}
	l.markAcquired(fence)
	return true
}

// markAcquired records that the lock is held with a fencing token; the caller holds mu.
func (l *LeaderLock) markAcquired(fence int64) {
	l.occupied, l.fence, l.foreignRevision = true, fence, 0
	l.report.recordHolder(true)
	l.log.WithFields(logrus.Fields{"event": "seat_taken", "fence": fence}).Info("leader lock acquired; this process sends load orders now")
}

// Release gives up the lock while the lease of this process continues. An acquisition
// that is still in progress keeps the lock until the lease ends.
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
		// Another process holds the lock already.
		return nil
	}
	return err
}

// write writes the key if its revision is overRevision; 0 requires that the key does
// not exist.
func (l *LeaderLock) write(ctx context.Context, leaseID store.LeaseID, overRevision int64) (int64, error) {
	fence, err := l.store.Put(ctx, l.key, []byte(l.name), overRevision, leaseID)
	if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnavailable) {
		return fence, err
	}
	// The response was lost; reading the key shows whether the write succeeded.
	entry, readErr := l.store.Get(ctx, l.key)
	if readErr == nil && string(entry.Value) == l.name {
		return entry.Revision, nil
	}
	return 0, err
}
