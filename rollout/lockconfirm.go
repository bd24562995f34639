package rollout

import (
	"context"
	"errors"
	"time"

	"acaciakeel/store"
)

// confirmationsPerTTL is how many times within a lease's TTL a hold is confirmed while
// orders are given.
const confirmationsPerTTL = 4

// Remaining implements Leadership. The lease alone does not bound a hold: after a restore
// of the store that this process has not noticed, its id may be that of another process's
// lease, and its renewals succeed.
func (l *LeaderLock) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.owner != ownerSelf || l.confirmedAt == 0 || !l.underLease() {
		return 0
	}
	confirmed := time.Duration(l.confirmedAt.Add(l.session.TTL()) - l.now())
	return max(0, min(l.session.Remaining(), confirmed))
}

// Confirm implements Leadership. Calls to the store are priced, so it reads the key only if
// the latest confirmation is no longer recent.
func (l *LeaderLock) Confirm(ctx context.Context) {
	l.confirming.Lock()
	defer l.confirming.Unlock()
	l.mu.Lock()
	hold, sentAt := l.state, l.now()
	due := hold.owner == ownerSelf && (l.confirmedAt == 0 || l.since(l.confirmedAt) >= l.session.TTL()/confirmationsPerTTL)
	l.mu.Unlock()
	if !due {
		return
	}
	entry, err := l.store.Get(ctx, l.key)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(err, store.ErrNotFound):
		l.applyResponse(response{known: true}, hold)
	case err != nil:
	case l.state.sameAs(hold) && string(entry.Value) == l.name && entry.Revision == hold.revision:
		l.confirmedAt = sentAt
	default:
		l.applyResponse(response{known: true, entry: entry}, hold)
	}
}
