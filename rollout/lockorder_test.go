package rollout

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"acaciakeel/lease"
	"acaciakeel/store"
)

// lateStore is a memoryStore that carries out a write at once and holds back the response
// until release is closed.
type lateStore struct {
	*memoryStore
	written, release chan struct{}
	// detailed makes a conflict carry the key's entry.
	detailed bool
}

func newLateStore(m *memoryStore) *lateStore {
	return &lateStore{memoryStore: m, written: make(chan struct{}), release: make(chan struct{})}
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, ifRevision store.Position, id store.LeaseID) (store.Position, error) {
	revision, err := s.memoryStore.Put(ctx, key, value, ifRevision, id)
	if s.detailed && errors.Is(err, store.ErrConflict) {
		err = &store.ConflictError{Current: store.Entry{Key: key, Value: []byte(s.value), Revision: s.revision}}
	}
	close(s.written)
	<-s.release
	return revision, err
}

// tryWithLateResponse tries to acquire the lock and calls meanwhile after the write took
// effect and before its response arrives.
func tryWithLateResponse(t *testing.T, lock *LeaderLock, s *lateStore, meanwhile func()) bool {
	t.Helper()
	lock.store = s
	acquired := make(chan bool)
	go func() { acquired <- lock.TryAcquire(t.Context()) }()
	<-s.written
	meanwhile()
	close(s.release)
	result := <-acquired
	lock.store = s.memoryStore
	return result
}

// Guards against a lock that nobody tries again because a late conflict replaced the newer
// observation of a foreign entry, which has no lease and never expires.
func TestLateConflictKeepsNewerForeignEntry(t *testing.T) {
	for _, detailed := range []bool{false, true} {
		m := &memoryStore{value: "bytes", revision: 5}
		lock, _ := newTestLock(t, m, "a")
		s := newLateStore(m)
		s.detailed = detailed
		if tryWithLateResponse(t, lock, s, func() { lock.ObserveForeign(5) }) {
			t.Fatal("acquired a lock whose key has a foreign entry")
		}
		lock.backoff = 0
		if !lock.TryAcquire(t.Context()) {
			t.Errorf("detailed=%t: the lock is not tried again after the backoff", detailed)
		}
	}
}

// Guards against a lock that nobody tries again because a late conflict replaced the newer
// observation that its holder is gone.
func TestLateConflictKeepsNewerDeletion(t *testing.T) {
	for _, detailed := range []bool{false, true} {
		m := &memoryStore{value: "b", revision: 5}
		lock, _ := newTestLock(t, m, "a")
		s := newLateStore(m)
		s.detailed = detailed
		tryWithLateResponse(t, lock, s, func() {
			m.value, m.revision = "", 6
			lock.Observe("b", 5)
			lock.Observe("", 6)
		})
		if !lock.TryAcquire(t.Context()) {
			t.Errorf("detailed=%t: the lock is free and not tried again", detailed)
		}
	}
}

// Guards against two holders: the late response to a write must not restore a hold that was
// observed to have ended.
func TestLateResponseDoesNotRestoreLostLock(t *testing.T) {
	m := &memoryStore{}
	lock, _ := newTestLock(t, m, "a")
	tryWithLateResponse(t, lock, newLateStore(m), func() {
		lock.Observe("a", 1)
		lock.Observe("", 2)
		lock.Observe("b", 3)
	})
	if fence, held := lock.Held(); held {
		t.Errorf("holds the lock with fence %d after another process acquired it at 3", fence)
	}
}

// Guards against a hold that outlives its lease because a foreign entry replaced the key, so
// that the end of the lease deletes nothing and the watch has nothing to say.
func TestLockTriedAgainUnderNewLease(t *testing.T) {
	m := &memoryStore{}
	grants := &leaseSequence{memoryStore: m, ids: []store.LeaseID{"7", "8"}}
	session := lease.NewSession(grants, 20*time.Millisecond, time.Millisecond)
	granted := make(chan store.LeaseID, 2)
	go session.Run(t.Context(), func(_ context.Context, id store.LeaseID) { granted <- id })
	<-granted
	lock := NewLeaderLock(m, session, "seat", "a", 0, discardLogger())
	if !lock.TryAcquire(t.Context()) {
		t.Fatal("a free lock was not acquired")
	}
	m.value = ""
	grants.ended.Store(true)
	<-granted
	if !lock.TryAcquire(t.Context()) {
		t.Error("the lock is not tried under the new lease")
	}
	if fence, _ := lock.Held(); fence == 0 || fence != lock.highestToken || lock.state.revision != m.revision {
		t.Errorf("the lock has token %d of %d and the entry %s, want the one at %d", fence, lock.highestToken, lock.state, m.revision)
	}
}

// Guards against a lock that is written again and again and never held, because the store was
// restored from an older copy and its revisions are lower than the known one.
func TestLockAcquiredInRestoredStore(t *testing.T) {
	m := &memoryStore{revision: 3}
	lock, _ := newTestLock(t, m, "a")
	lock.Observe("", 10)
	if !lock.TryAcquire(t.Context()) {
		t.Fatal("a free lock was not acquired")
	}
	checkHold(t, lock, m.revision)
}

// leaseSequence grants leases with the given ids; the first one ends when ended is set.
type leaseSequence struct {
	*memoryStore
	ids   []store.LeaseID
	ended atomic.Bool
}

func (s *leaseSequence) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	id := s.ids[0]
	s.ids = s.ids[1:]
	return id, nil
}

func (s *leaseSequence) Renew(_ context.Context, id store.LeaseID) error {
	if id == "7" && s.ended.Load() {
		return store.ErrNotFound
	}
	return nil
}
