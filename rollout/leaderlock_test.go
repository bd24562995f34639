package rollout

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/lease"
	"acaciakeel/store"
)

// memoryStore is a store with one key.
type memoryStore struct {
	store.Store
	value    string
	revision store.Position
	// dropResponse makes the next write succeed and its response get lost.
	dropResponse bool
	// failReads makes reads fail.
	failReads bool
	writes    int
	reads     int
}

var errNoResponse = errors.New("response lost")

func (m *memoryStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return "7", nil }
func (m *memoryStore) Renew(context.Context, store.LeaseID) error                  { return nil }
func (m *memoryStore) Revoke(context.Context, store.LeaseID) error                 { m.value = ""; return nil }

func (m *memoryStore) Get(context.Context, string) (store.Entry, error) {
	m.reads++
	if m.failReads {
		return store.Entry{}, errNoResponse
	}
	if m.value == "" {
		return store.Entry{}, store.ErrNotFound
	}
	return store.Entry{Value: []byte(m.value), Revision: m.revision}, nil
}

func (m *memoryStore) Put(_ context.Context, _ string, value []byte, ifRevision store.Position, _ store.LeaseID) (store.Position, error) {
	m.writes++
	if m.value != "" && (ifRevision == 0 || ifRevision != m.revision) {
		return 0, store.ErrConflict
	}
	m.value = string(value)
	m.revision++
	if m.dropResponse {
		m.dropResponse = false
		return 0, errNoResponse
	}
	return m.revision, nil
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// newTestLock returns a lock whose session has a lease.
func newTestLock(t *testing.T, m *memoryStore, name string) (*LeaderLock, *lease.Session) {
	t.Helper()
	session := lease.NewSession(m, time.Minute, time.Second)
	granted := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go session.Run(ctx, func(context.Context, store.LeaseID) { close(granted) })
	<-granted
	t.Cleanup(cancel)
	return NewLeaderLock(m, session, "seat", name, time.Minute, discardLogger()), session
}

// checkHold fails the test if the lock is not held by the entry at a revision, with the latest
// token.
func checkHold(t *testing.T, lock *LeaderLock, revision store.Position) {
	t.Helper()
	fence, held := lock.Held()
	if !held || lock.state.revision != revision || fence == 0 || fence != lock.highestToken {
		t.Errorf("held = %v by the entry %s with token %d, want the entry at %d and token %d", held, lock.state, fence, revision, lock.highestToken)
	}
}

// The write of the lock succeeds and its response is lost. If it counted as failed, no
// process would send orders until the lease expires.
func TestLockAcquiredDespiteLostResponse(t *testing.T) {
	m := &memoryStore{dropResponse: true}
	lock, _ := newTestLock(t, m, "a")
	if !lock.TryAcquire(t.Context()) {
		t.Fatal("the lock was written but not acquired")
	}
	checkHold(t, lock, 1)
}

// A stopping process closed its lease, was granted a new one, acquired the lock again
// and was then killed; the rollout stopped for eight seconds.
func TestLockNotReacquiredAfterLeaseCloses(t *testing.T) {
	m := &memoryStore{}
	lock, session := newTestLock(t, m, "a")
	lock.TryAcquire(t.Context())
	if err := session.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	lock.Observe("", m.revision+1)
	if _, ok := lock.Held(); ok {
		t.Error("the lock is held without a lease")
	}
	if lock.TryAcquire(t.Context()) {
		t.Error("a process that closed its lease acquired the lock again")
	}
}

// Two processes that alternate as holders may both have orders in flight, so a process
// that lost the lock must not acquire it again at once.
func TestLockBackoffAfterLoss(t *testing.T) {
	m := &memoryStore{}
	lock, _ := newTestLock(t, m, "a")
	lock.TryAcquire(t.Context())
	m.value = ""
	lock.Observe("", m.revision+1)
	if lock.TryAcquire(t.Context()) || m.writes != 1 {
		t.Errorf("the lock was tried again without backoff; %d writes, want 1", m.writes)
	}
}

// A listing read before the acquisition arrives after it, without the key. Taken as a
// loss, it left the lock with a process that kept its lease and sent no orders.
func TestLockIgnoresOlderListing(t *testing.T) {
	m := &memoryStore{revision: 10}
	lock, _ := newTestLock(t, m, "a")
	lock.TryAcquire(t.Context())
	lock.Observe("", 10)
	if _, ok := lock.Held(); !ok {
		t.Error("an older listing ended the hold on the lock")
	}
}

// The responses to both the write and the read that checks it are lost. The process
// must take the lock when the watch reports its entry.
func TestLockAcquiredThroughWatch(t *testing.T) {
	m := &memoryStore{dropResponse: true, failReads: true}
	lock, _ := newTestLock(t, m, "a")
	if lock.TryAcquire(t.Context()) {
		t.Fatal("acquired a lock whose state is unknown")
	}
	lock.Observe("a", m.revision)
	checkHold(t, lock, m.revision)
}

// Another writer replaces the entry with bytes that never expire, so nobody could send
// orders. The holder must stop; after the backoff the lock is acquired over it.
func TestLockReplacesForeignEntry(t *testing.T) {
	m := &memoryStore{value: "bytes", revision: 5}
	lock, _ := newTestLock(t, m, "a")
	lock.ObserveForeign(5)
	if lock.TryAcquire(t.Context()) || m.writes != 0 {
		t.Errorf("tried without backoff (%d writes) while an earlier holder may not have noticed yet", m.writes)
	}
	lock.backoff = 0
	if !lock.TryAcquire(t.Context()) {
		t.Fatal("the lock was not acquired over the foreign entry")
	}
	checkHold(t, lock, 6)
	m.value, m.revision = "bytes again", 7
	lock.ObserveForeign(7)
	if _, ok := lock.Held(); ok {
		t.Error("the lock is held although its entry is foreign")
	}
	lock.ObserveForeign(4)
	lock.Observe("b", 8)
	if lock.TryAcquire(t.Context()) {
		t.Error("acquired a lock that another process holds")
	}
}

func (m *memoryStore) Delete(_ context.Context, _ string, ifRevision store.Position) (store.Position, error) {
	if m.value == "" || m.revision != ifRevision {
		return 0, store.ErrConflict
	}
	m.value = ""
	m.revision++
	return m.revision, nil
}

// A stopping process keeps its lease while it completes its last requests. It must
// release the lock before that, or new versions would have to wait.
func TestLockReleaseBeforeLeaseEnds(t *testing.T) {
	m := &memoryStore{}
	lock, _ := newTestLock(t, m, "a")
	lock.TryAcquire(t.Context())
	if err := lock.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, held := lock.Held(); held || m.value != "" {
		t.Errorf("held = %v and the key has %q, want a released lock", held, m.value)
	}
	lock.Observe("a", m.revision-1)
	if _, held := lock.Held(); held {
		t.Error("a late observation of the acquisition revived a released lock")
	}
}

// The lock has passed to another process before the release, which must not delete that
// holder's entry.
func TestReleaseKeepsLockOfOtherHolder(t *testing.T) {
	m := &memoryStore{}
	lock, _ := newTestLock(t, m, "a")
	lock.TryAcquire(t.Context())
	m.value, m.revision = "b", m.revision+1
	if err := lock.Release(t.Context()); err != nil || m.value != "b" {
		t.Errorf("release returned %v and the key has %q, want b", err, m.value)
	}
}
