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

// memoryStore is a store with one key, which answers as told.
type memoryStore struct {
	store.Store
	value    string
	revision int64
	// dropResponse loses the answer of the next write after its effect.
	dropResponse bool
	// failReads fails reads.
	failReads bool
	writes    int
}

var errNoResponse = errors.New("answer lost")

func (m *memoryStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return "7", nil }
func (m *memoryStore) Renew(context.Context, store.LeaseID) error                  { return nil }
func (m *memoryStore) Revoke(context.Context, store.LeaseID) error                 { m.value = ""; return nil }

func (m *memoryStore) Get(context.Context, string) (store.Entry, error) {
	if m.failReads {
		return store.Entry{}, errNoResponse
	}
	if m.value == "" {
		return store.Entry{}, store.ErrNotFound
	}
	return store.Entry{Value: []byte(m.value), Revision: m.revision}, nil
}

func (m *memoryStore) Put(_ context.Context, _ string, value []byte, ifRevision int64, _ store.LeaseID) (int64, error) {
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

// newTestLock returns a seat under a lease that is held.
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

// The seat's write is carried out and its answer lost. Were the process to
// take it for failed, nobody would give orders until the lease lapses.
func TestLockAcquiredDespiteLostResponse(t *testing.T) {
	m := &memoryStore{dropResponse: true}
	seat, _ := newTestLock(t, m, "a")
	if !seat.TryAcquire(t.Context()) {
		t.Fatal("the seat was written and not taken")
	}
	if fence, ok := seat.Held(); !ok || fence != 1 {
		t.Errorf("held %v under fence %d, want 1", ok, fence)
	}
}

// A process that stops serves its last requests for seconds. Operators saw a
// rollout stand still for eight: the stopping process had given its lease up,
// taken a new one and the seat with it, and was then killed holding both.
func TestLockNotReacquiredAfterLeaseCloses(t *testing.T) {
	m := &memoryStore{}
	seat, session := newTestLock(t, m, "a")
	seat.TryAcquire(t.Context())
	if err := session.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	seat.Observe("", m.revision+1)
	if _, ok := seat.Held(); ok {
		t.Error("the seat is held without a lease")
	}
	if seat.TryAcquire(t.Context()) {
		t.Error("a process that ended its lease took the seat again")
	}
}

// Two processes that take the seat by turns may both have orders on the way, so
// one that lost it leaves it alone for a while.
func TestLockBackoffAfterLoss(t *testing.T) {
	m := &memoryStore{}
	seat, _ := newTestLock(t, m, "a")
	seat.TryAcquire(t.Context())
	m.value = ""
	seat.Observe("", m.revision+1)
	if seat.TryAcquire(t.Context()) || m.writes != 1 {
		t.Errorf("the seat was sought again at once, with %d writes", m.writes)
	}
}

// A listing is read, the seat is taken, and then the listing arrives, without
// the seat. Taken for a loss, the seat stayed with a process that gave no
// orders and kept its lease, and no runner changed its weights any more.
func TestLockIgnoresOlderListing(t *testing.T) {
	m := &memoryStore{revision: 10}
	seat, _ := newTestLock(t, m, "a")
	seat.TryAcquire(t.Context())
	seat.Observe("", 10)
	if _, ok := seat.Held(); !ok {
		t.Error("an older listing took the seat away")
	}
}

// The answer of the seat's write is lost, and so is that of reading it back. The
// watch tells later that it was carried out; the process must then know.
func TestLockAcquiredThroughWatch(t *testing.T) {
	m := &memoryStore{dropResponse: true, failReads: true}
	seat, _ := newTestLock(t, m, "a")
	if seat.TryAcquire(t.Context()) {
		t.Fatal("took a seat of which nothing was known")
	}
	seat.Observe("a", m.revision)
	if fence, ok := seat.Held(); !ok || fence != m.revision {
		t.Errorf("held %v under fence %d, want %d", ok, fence, m.revision)
	}
}

// Another writer puts bytes of its own where the holder's name stands. They hang on
// no lease and never lapse: nobody gave orders any more, and runners stayed on old
// weights. The holder must stop at once; after the pause the seat is taken over them.
func TestLockReplacesForeignEntry(t *testing.T) {
	m := &memoryStore{value: "bytes", revision: 5}
	seat, _ := newTestLock(t, m, "a")
	seat.ObserveForeign(5)
	if seat.TryAcquire(t.Context()) || m.writes != 0 {
		t.Errorf("sought at once with %d writes, while a holder before may not know yet", m.writes)
	}
	seat.backoff = 0
	if !seat.TryAcquire(t.Context()) {
		t.Fatal("the seat stays with nobody")
	}
	if fence, ok := seat.Held(); !ok || fence != 6 {
		t.Errorf("held %v under fence %d, want one above the foreign entry's", ok, fence)
	}
	m.value, m.revision = "bytes again", 7
	seat.ObserveForeign(7)
	if _, ok := seat.Held(); ok {
		t.Error("the seat is held though its entry is another's")
	}
	seat.ObserveForeign(4)
	seat.Observe("b", 8)
	if seat.TryAcquire(t.Context()) {
		t.Error("taken from a process that holds it")
	}
}

func (m *memoryStore) Delete(_ context.Context, _ string, ifRevision int64) (int64, error) {
	if m.value == "" || m.revision != ifRevision {
		return 0, store.ErrConflict
	}
	m.value = ""
	m.revision++
	return m.revision, nil
}

// A process that stops keeps its lease while it serves its last requests. The seat
// passes on at once all the same: new weights named meanwhile would wait.
func TestLockReleaseBeforeLeaseEnds(t *testing.T) {
	m := &memoryStore{}
	seat, _ := newTestLock(t, m, "a")
	seat.TryAcquire(t.Context())
	if err := seat.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, held := seat.Held(); held || m.value != "" {
		t.Errorf("held %v, and the seat names %q", held, m.value)
	}
	seat.Observe("a", m.revision-1)
	if _, held := seat.Held(); held {
		t.Error("late news of the taking brought a released seat back")
	}
}

// The seat has passed to another process by the time that one gives it up. It
// stays with the other one.
func TestReleaseKeepsLockOfOtherHolder(t *testing.T) {
	m := &memoryStore{}
	seat, _ := newTestLock(t, m, "a")
	seat.TryAcquire(t.Context())
	m.value, m.revision = "b", m.revision+1
	if err := seat.Release(t.Context()); err != nil || m.value != "b" {
		t.Errorf("%v, and the seat names %q", err, m.value)
	}
}
