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

	mu     sync.Mutex
	report lockReporter
	// state is the latest known state of the key.
	state lockState
	// leaseID is the lease of the latest attempt.
	leaseID store.LeaseID
	// acquiring is set while an attempt to write the key is in progress.
	acquiring bool
	// lostAt is when the lock was last lost, and lostFence the fencing token with which
	// it was held.
	lostAt    clock.BootTime
	lostFence int64
	// holder is the name of the latest known holder, this process or another.
	holder string
	// history is nil if no record of the holders is kept.
	history *leaderHistory
}

// NewLeaderLock returns the lock at key. name identifies this start of the process. A
// process that lost the lock does not try to acquire it again for backoff: if two
// processes alternated, each could have orders in flight while the other sends some.
func NewLeaderLock(s store.Store, session *lease.Session, key, name string, backoff time.Duration, log logrus.FieldLogger) *LeaderLock {
	return &LeaderLock{store: s, session: session, key: key, name: name, backoff: backoff, log: log,
		state: lockState{owner: ownerNone}, report: lockReporter{log: log, vacantSince: clock.Now()}}
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
	l.report.recordBlocker(blocker, l.state)
}

// Held implements Leadership.
func (l *LeaderLock) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.fence() != 0 && l.leaseID == l.session.ID() && l.session.Valid()
	if l.history != nil && l.history.recorded != l.fence() {
		held = false
	}
	return l.fence(), held
}

// fence returns the fencing token, or 0 if this process does not hold the lock; the
// caller holds mu.
func (l *LeaderLock) fence() int64 {
	if l.state.owner != ownerSelf {
		return 0
	}
	return int64(l.state.revision)
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
func (l *LeaderLock) Observe(value string, revision store.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int64(revision) < l.fence() || (value != "" && int64(revision) <= l.lostFence) {
		return
	}
	if value == "" {
		l.apply(ownerNone, revision, "")
		return
	}
	l.apply(l.ownerOf(value), revision, value)
}

// ObserveForeign records that the key has an entry, at a revision, that was not written
// by a controller. Such an entry has no lease and never expires, so waiting for its end
// would stop all orders. The lock is acquired over it after the backoff, by when a
// holder whose entry it replaced has noticed that or has lost its lease.
func (l *LeaderLock) ObserveForeign(revision store.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int64(revision) < l.fence() {
		return
	}
	l.apply(ownerForeign, revision, "")
}

// ownerOf returns the owner of an entry with the given value; the caller holds mu. An
// entry of this process that it does not remember writing is an attempt whose outcome
// was unknown. If that were ignored, the lock would stay with a process that does not
// know that it holds it.
func (l *LeaderLock) ownerOf(value string) lockOwner {
	if value == l.name && l.leaseID != "" {
		return ownerSelf
	}
	return ownerOther
}

// apply replaces the known state of the key, which names holder; the caller holds mu.
func (l *LeaderLock) apply(owner lockOwner, revision store.Position, holder string) {
	next := lockState{owner: owner, revision: revision, learnedAt: clock.Now()}
	if next.sameAs(l.state) {
		return
	}
	before := l.fence()
	l.state = next
	if l.history != nil {
		l.history.recordHolder(machineOf(l.holder))
		l.history.recordHolder(machineOf(holder))
	}
	l.holder = holder
	l.report.recordHolder(next.hasHolder())
	switch {
	case l.fence() != 0:
		l.log.WithFields(logrus.Fields{"event": "seat_taken", "fence": l.fence()}).Info("leader lock acquired")
	case before != 0:
		l.lostFence, l.lostAt = before, next.learnedAt
		l.log.WithFields(logrus.Fields{"event": "seat_lost", "state": next}).Warn("leader lock lost; another process may send load orders now")
	}
}

// applyResponse applies what a response says of the key. before is the state known when
// the call was sent. If an observation has replaced it since, that may be newer than the
// response, and only an entry with a higher revision is applied: an older state would
// hide the newer one for as long as the key does not change again. The caller holds mu.
func (l *LeaderLock) applyResponse(r response, before lockState) {
	switch {
	case !r.known || (!l.state.sameAs(before) && r.entry.Revision <= l.state.revision):
	case r.entry.Revision == 0:
		l.apply(ownerNone, l.state.revision, "")
	default:
		l.apply(l.ownerOf(string(r.entry.Value)), r.entry.Revision, string(r.entry.Value))
	}
}

// endWithLease records that the hold has ended with the lease that it was acquired
// under; the caller holds mu. The store deletes the key with the lease, but the event may
// be missing if the entry had been replaced or the store's contents were restored.
func (l *LeaderLock) endWithLease() {
	if id := l.session.ID(); l.fence() != 0 && id != "" && id != l.leaseID {
		l.apply(ownerNone, l.state.revision, "")
	}
}

// blocker returns why the lock may not be acquired now; the caller holds mu.
func (l *LeaderLock) blocker() AcquireBlocker {
	switch {
	case l.session.ID() == "":
		return NoLease
	case l.acquiring:
		return AttemptInProgress
	case l.state.owner == ownerSelf:
		return HeldHere
	case l.state.owner == ownerOther:
		return HeldElsewhere
	case l.state.owner == ownerForeign && l.state.learnedAt.Since() < l.backoff:
		return ForeignBackoff
	case l.lostAt != 0 && l.lostAt.Since() < l.backoff:
		return LossBackoff
	}
	if l.history != nil {
		return l.history.blocker()
	}
	return NotBlocked
}

// attempt is one attempt to write the key.
type attempt struct {
	// before is the state on which it is based.
	before  lockState
	leaseID store.LeaseID
	began   clock.BootTime
}

// TryAcquire tries to acquire the lock if it is available, and reports whether this
// process may send orders now and could not before.
func (l *LeaderLock) TryAcquire(ctx context.Context) bool {
	a, ok := l.beginAttempt()
	acquired := ok && l.attempt(ctx, a)
	if l.history != nil {
		return l.recordHold(ctx)
	}
	return acquired
}

// attempt makes an attempt, and reports whether this process has the lock.
func (l *LeaderLock) attempt(ctx context.Context, a attempt) bool {
	r, err := l.write(ctx, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acquiring = false
	meanwhile := l.state
	l.applyResponse(r, a.before)
	l.report.recordAttempt(err, logrus.Fields{
		"took_ms": a.began.Since().Milliseconds(), "lease": a.leaseID, "expected": a.before.expectedRevision(),
		"found": r, "before": a.before, "meanwhile": meanwhile, "after": l.state,
	})
	return l.fence() != 0
}

// beginAttempt begins an attempt; ok is false if none may be made now.
func (l *LeaderLock) beginAttempt() (a attempt, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endWithLease()
	blocker := l.blocker()
	l.report.recordBlocker(blocker, l.state)
	if blocker != NotBlocked {
		return attempt{}, false
	}
	l.acquiring, l.leaseID = true, l.session.ID()
	return attempt{before: l.state, leaseID: l.leaseID, began: clock.Now()}, true
}

// Release gives up the lock while the lease of this process continues. An acquisition
// that is still in progress keeps the lock until the lease ends.
func (l *LeaderLock) Release(ctx context.Context) error {
	l.mu.Lock()
	fence := l.fence()
	if fence != 0 {
		// The entry remains until it is deleted.
		l.apply(ownerOther, l.state.revision, l.name)
	}
	released := l.state
	l.mu.Unlock()
	if fence == 0 {
		return nil
	}
	_, err := l.store.Delete(ctx, l.key, store.Position(fence))
	l.log.WithError(err).WithFields(logrus.Fields{"event": "seat_released", "fence": fence}).Info("leader lock given up")
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) {
		// Another process holds the lock already.
		return nil
	}
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.applyResponse(response{known: true}, released)
	}
	return err
}

// write writes the key, and returns what the response says of it. If the response does
// not tell, the key is read.
func (l *LeaderLock) write(ctx context.Context, a attempt) (response, error) {
	revision, err := l.store.Put(ctx, l.key, []byte(l.name), a.before.expectedRevision(), a.leaseID)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return response{known: true, entry: store.Entry{Value: []byte(l.name), Revision: revision}}, nil
	case errors.As(err, &conflict):
		return response{known: true, entry: conflict.Current}, err
	case errors.Is(err, store.ErrUnavailable):
		return response{}, err
	}
	entry, readErr := l.store.Get(ctx, l.key)
	switch {
	case errors.Is(readErr, store.ErrNotFound):
		return response{known: true}, err
	case readErr != nil:
		return response{}, err
	}
	return response{known: true, entry: entry}, err
}
