package rollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/order"
	"acaciakeel/store"
)

// Lease is the lease of this process in the store.
type Lease interface {
	// ID returns the id of the lease, or "" if there is none.
	ID() store.LeaseID
	// Since returns since when the lease has lasted without a time in which it may have
	// expired.
	Since() clock.BootTime
	// TTL returns how long a lease lasts after its last renewal.
	TTL() time.Duration
	// Valid reports whether the lease lasts for at least a margin from now.
	Valid() bool
	// Remaining returns the least time for which the lease still lasts.
	Remaining() time.Duration
}

// LeaderLock elects the process that sends load orders. It is one key of the platform's
// store, attached to the lease of its holder. The fencing token is not the revision of
// the key: a store that comes back from an older copy gives revisions out again.
type LeaderLock struct {
	store   store.Store
	session Lease
	key     string
	name    string
	// backoff is how long a process that lost the lock does not try to acquire it
	// again.
	backoff time.Duration
	log     logrus.FieldLogger
	// holderAlive reports whether the process of a name is known to run; nil if that is
	// not known of any.
	holderAlive func(name string) bool
	// now and wallClock are replaced by tests.
	now       func() clock.BootTime
	wallClock func() time.Time
	// confirming is held during a call of Confirm.
	confirming sync.Mutex

	mu     sync.Mutex
	report lockReporter
	// state is the latest known state of the key.
	state lockState
	// leaseID is the lease of the latest attempt, which has lasted since leaseSince.
	leaseID    store.LeaseID
	leaseSince clock.BootTime
	// acquiring is set while an attempt to write the key is in progress.
	acquiring bool
	// lostAt is when the lock was last lost, and lostRevision the position of the entry
	// with which it was held.
	lostAt       clock.BootTime
	lostRevision store.Position
	// token is the fencing token of the present hold, 0 if there is none. highestToken is
	// the highest one known, in any history of the store.
	token        int64
	highestToken int64
	// confirmedAt is when the latest call was sent whose response shows that the key has
	// the entry of the present hold.
	confirmedAt clock.BootTime
	restoreState
	// holder is the name of the latest known holder, this process or another.
	holder string
	// history is nil if no record of the holders is kept.
	history *leaderHistory
}

// NewLeaderLock returns the lock at key. name identifies this start of the process. A
// process that lost the lock does not try to acquire it again for backoff: if two
// processes alternated, each could have orders in flight while the other sends some.
func NewLeaderLock(s store.Store, session Lease, key, name string, backoff time.Duration, log logrus.FieldLogger) *LeaderLock {
	return &LeaderLock{store: s, session: session, key: key, name: name, backoff: backoff, log: log,
		now: clock.Now, wallClock: time.Now,
		state: lockState{owner: ownerNone}, restoreState: restoreState{unlisted: true}, report: lockReporter{log: log, vacantSince: clock.Now()}}
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
	held := l.token != 0 && l.underLease() && l.session.Valid() && l.now() >= l.ordersFrom
	if l.history != nil && l.history.recorded != l.token {
		held = false
	}
	return l.token, held
}

// Observe records the value of the key at a position of the store; an empty value means
// that the key was deleted. Observations older than the acquisition by this process
// are ignored, since a listing may have been read before it and arrive later. So are
// observations of an acquisition that was given up since: accepting one would leave the
// lock with two holders.
func (l *LeaderLock) Observe(value string, position store.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.enterHistory(position) || l.precedesHold(position) || (value != "" && position <= l.lostRevision) {
		return
	}
	if value == "" {
		l.apply(ownerNone, position, "")
	} else {
		l.apply(l.ownerOf(value, position), position, value)
	}
	l.unlisted = false
}

// ObserveForeign records that the key has an entry, at a position, that was not written
// by a controller. Such an entry has no lease and never expires, so waiting for its end
// would stop all orders. The lock is acquired over it after the backoff, by when a
// holder whose entry it replaced has noticed that or has lost its lease.
func (l *LeaderLock) ObserveForeign(position store.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.enterHistory(position) || l.precedesHold(position) {
		return
	}
	l.apply(ownerForeign, position, "")
	l.unlisted = false
}

// precedesHold reports whether a position is older than the entry of the present hold;
// the caller holds mu.
func (l *LeaderLock) precedesHold(position store.Position) bool {
	return l.state.owner == ownerSelf && position < l.state.revision
}

// ownerOf returns the owner of an entry with the given value at a position; the caller
// holds mu. An entry of this process that it does not remember writing is an attempt
// whose outcome was unknown. If that were ignored, the lock would stay with a process
// that does not know that it holds it. An entry of a hold that has ended came back with
// an older copy of the store.
func (l *LeaderLock) ownerOf(value string, position store.Position) lockOwner {
	switch {
	case value != l.name:
		return ownerOther
	case l.leaseID == "" || position <= l.lostRevision:
		return ownerFormer
	}
	return ownerSelf
}

// apply replaces the known state of the key, which names holder; the caller holds mu.
func (l *LeaderLock) apply(owner lockOwner, revision store.Position, holder string) {
	next := lockState{owner: owner, revision: revision, learnedAt: l.now(), listed: l.unlisted}
	if next.sameAs(l.state) {
		return
	}
	before, ended := l.state, l.token
	l.state = next
	l.token, l.confirmedAt, l.deadSince = 0, 0, 0
	if l.history != nil {
		l.history.recordHolder(machineOf(l.holder))
		l.history.recordHolder(machineOf(holder))
	}
	l.holder = holder
	l.rememberEntry(holder, revision)
	l.report.recordHolder(next.hasHolder())
	if before.owner == ownerSelf && owner != ownerSelf {
		l.lostRevision, l.lostAt = before.revision, next.learnedAt
	}
	switch {
	case owner == ownerSelf:
		l.issueToken()
		l.startHold(next.learnedAt)
		l.log.WithFields(logrus.Fields{"event": "seat_taken", "fence": l.token, "revision": revision, "orders_in_ms": l.ordersIn().Milliseconds()}).Info("leader lock acquired")
	case before.owner == ownerSelf:
		l.log.WithFields(logrus.Fields{"event": "seat_lost", "fence": ended, "state": next}).Warn("leader lock lost; another process may send load orders now")
	}
}

// issueToken gives the present hold a fencing token that is higher than all known ones;
// the caller holds mu.
func (l *LeaderLock) issueToken() {
	l.token = order.NextToken(l.wallClock(), l.name, l.highestToken)
	l.highestToken = l.token
}

// applyResponse applies what a response says of the key. before is the state known when
// the call was sent. If an observation has replaced it since, that may be newer than the
// response, and only an entry with a higher revision is applied: an older state would
// hide the newer one for as long as the key does not change again. The caller holds mu.
func (l *LeaderLock) applyResponse(r response, before lockState) {
	if r.known && r.entry.Revision != 0 && !l.enterHistory(r.entry.Revision) {
		return
	}
	switch {
	case !r.known || (!l.state.sameAs(before) && r.entry.Revision <= l.state.revision):
	case r.entry.Revision == 0:
		l.waitIfHolderVanished()
		l.apply(ownerNone, l.state.revision, "")
	case r.written && l.leaseID != "":
		l.apply(ownerSelf, r.entry.Revision, l.name)
	default:
		l.apply(l.ownerOf(string(r.entry.Value), r.entry.Revision), r.entry.Revision, string(r.entry.Value))
	}
}

// endWithLease records that the hold has ended with the lease that it was acquired
// under; the caller holds mu. The store deletes the key with the lease, but the event may
// be missing if the entry had been replaced or the store's contents were restored.
func (l *LeaderLock) endWithLease() {
	id := l.session.ID()
	if l.token == 0 || id == "" {
		return
	}
	if id != l.leaseID {
		l.apply(ownerNone, l.state.revision, "")
	} else if !l.underLease() {
		l.resume()
	}
}

// underLease reports whether the lease of the latest attempt has lasted since; the caller
// holds mu.
func (l *LeaderLock) underLease() bool {
	return l.leaseID == l.session.ID() && l.leaseSince == l.session.Since()
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
	case l.state.owner == ownerOther && !l.mayReplaceHolder():
		return HeldElsewhere
	case l.continues():
	case l.now() < l.waitUntil:
		return l.waitReason
	case l.state.owner == ownerForeign && l.since(l.state.learnedAt) < l.backoff:
		return ForeignBackoff
	case l.state.owner != ownerOther && l.lostAt != 0 && l.since(l.lostAt) < l.backoff:
		return LossBackoff
	}
	if l.history != nil {
		return l.history.blocker()
	}
	return NotBlocked
}

// since returns the time elapsed since t.
func (l *LeaderLock) since(t clock.BootTime) time.Duration {
	return time.Duration(l.now() - t)
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
	l.checkHolder()
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
	if l.state.owner == ownerSelf && r.known && r.entry.Revision == l.state.revision {
		l.confirmedAt = max(l.confirmedAt, a.began)
	}
	l.report.recordAttempt(err, logrus.Fields{
		"took_ms": l.since(a.began).Milliseconds(), "lease": a.leaseID, "expected": a.before.expectedRevision(),
		"found": r, "before": a.before, "meanwhile": meanwhile, "after": l.state,
	})
	return l.token != 0
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
	l.acquiring, l.leaseID, l.leaseSince = true, l.session.ID(), l.session.Since()
	l.replacing = l.state.owner == ownerOther
	return attempt{before: l.state, leaseID: l.leaseID, began: l.now()}, true
}

// Release gives up the lock while the lease of this process continues. An acquisition
// that is still in progress keeps the lock until the lease ends.
func (l *LeaderLock) Release(ctx context.Context) error {
	l.mu.Lock()
	hold, fence := l.state, l.token
	if fence != 0 {
		// The entry remains until it is deleted.
		l.apply(ownerOther, l.state.revision, l.name)
	}
	released := l.state
	l.mu.Unlock()
	if fence == 0 || !l.mayDelete(ctx, hold.revision) {
		return nil
	}
	_, err := l.store.Delete(ctx, l.key, hold.revision)
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

// mayDelete reports whether the entry at a position can be this process's own. After an
// unnoticed restore another process's entry may have the same revision.
func (l *LeaderLock) mayDelete(ctx context.Context, position store.Position) bool {
	entry, err := l.store.Get(ctx, l.key)
	if err != nil {
		return !errors.Is(err, store.ErrNotFound)
	}
	return string(entry.Value) == l.name && entry.Revision == position
}

// write writes the key, and returns what the response says of it. If the response does
// not tell, the key is read.
func (l *LeaderLock) write(ctx context.Context, a attempt) (response, error) {
	revision, err := l.store.Put(ctx, l.key, []byte(l.name), a.before.expectedRevision(), a.leaseID)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return response{known: true, written: true, entry: store.Entry{Value: []byte(l.name), Revision: revision}}, nil
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
