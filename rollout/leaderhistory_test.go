package rollout

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"acaciakeel/lease"
	"acaciakeel/store"
)

// keyedStore is a store of several keys.
type keyedStore struct {
	store.Store
	mu       sync.Mutex
	entries  map[string]store.Entry
	revision store.Position
	// failing has writes of a key fail, dropping has their responses be lost.
	failing, dropping string
}

func newKeyedStore() *keyedStore { return &keyedStore{entries: map[string]store.Entry{}, revision: 1} }

func (s *keyedStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return "7", nil }
func (s *keyedStore) Renew(context.Context, store.LeaseID) error                  { return nil }

func (s *keyedStore) Put(_ context.Context, key string, value []byte, ifRevision store.Position, _ store.LeaseID) (store.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entries[key]
	switch {
	case key == s.failing:
		return 0, store.ErrUnavailable
	case current.Revision != ifRevision:
		return 0, &store.ConflictError{Current: current}
	}
	s.revision++
	s.entries[key] = store.Entry{Key: key, Value: value, Revision: s.revision}
	if key == s.dropping {
		return 0, errNoResponse
	}
	return s.revision, nil
}

func (s *keyedStore) Get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[key]; ok {
		return e, nil
	}
	return store.Entry{}, store.ErrNotFound
}

func (s *keyedStore) value(key string) string {
	e, _ := s.Get(context.Background(), key)
	return string(e.Value)
}

// newHistoryLock returns the lock of a process of machine a that has just started.
func newHistoryLock(t *testing.T, s store.Store, period time.Duration) *LeaderLock {
	t.Helper()
	session := lease.NewSession(s, time.Minute, time.Second)
	granted := make(chan struct{})
	go session.Run(t.Context(), func(context.Context, store.LeaseID) { close(granted) })
	<-granted
	lock := NewLeaderLock(s, session, "seat", "a/2", period, discardLogger())
	lock.KeepHistory("leaders")
	return lock
}

// Guards against leaders that take turns within the period: one is killed and started again after
// another has led.
func TestRestartedMachineDoesNotTakeTurns(t *testing.T) {
	const period = 100 * time.Millisecond
	for _, test := range []struct {
		name     string
		names    []string
		observed bool
		waits    bool
	}{
		{"not read", nil, false, true},
		{"nobody led", nil, true, false},
		{"it led last", []string{"b", "a"}, true, false},
		{"others led", []string{"b", "c"}, true, false},
		{"another one led after it", []string{"a", "b"}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newKeyedStore()
			lock := newHistoryLock(t, s, period)
			if len(test.names) > 0 {
				s.entries["leaders"] = store.Entry{Key: "leaders", Revision: 1}
			}
			if test.observed {
				lock.ObserveHistory(LeaderRecord{Machines: test.names}, len(test.names) > 0, 1)
			}
			if acquired := lock.TryAcquire(t.Context()); acquired == test.waits {
				t.Errorf("acquired = %v at the start", acquired)
			}
			time.Sleep(period)
			lock.TryAcquire(t.Context())
			lock.TryAcquire(t.Context())
			if _, held := lock.Held(); held != test.observed {
				t.Errorf("held = %v after the period", held)
			}
		})
	}
}

// Guards against leaders that take turns where the one in between was recorded and gone before the
// restarted process heard of it.
func TestLeaderInBetweenIsFoundInTheRecord(t *testing.T) {
	const period = 100 * time.Millisecond
	s := newKeyedStore()
	lock := newHistoryLock(t, s, period)
	lock.ObserveHistory(LeaderRecord{Machines: []string{"a"}}, true, 1)
	s.entries["leaders"] = store.Entry{Key: "leaders", Value: []byte(`["a","b"]`), Revision: 2}
	for range 3 {
		lock.TryAcquire(t.Context())
	}
	if _, held := lock.Held(); held {
		t.Error("may send orders right after another leader's")
	}
	time.Sleep(period)
	lock.TryAcquire(t.Context())
	if _, held := lock.Held(); !held {
		t.Error("may not send orders after the period")
	}
}

// Guards against a leader whose orders are not in the record: after a restart it would take turns
// with the next one.
func TestNoOrdersBeforeTheHoldIsRecorded(t *testing.T) {
	s := newKeyedStore()
	lock := newHistoryLock(t, s, time.Minute)
	lock.ObserveHistory(LeaderRecord{}, false, 0)
	s.failing = "leaders"
	lock.TryAcquire(t.Context())
	if _, held := lock.Held(); held {
		t.Fatal("may send orders although the record was not written")
	}
	s.failing, s.dropping = "", "leaders"
	lock.TryAcquire(t.Context())
	if _, held := lock.Held(); held {
		t.Fatal("may send orders although it is not known that the record was written")
	}
	s.dropping = ""
	if !lock.TryAcquire(t.Context()) {
		t.Error("the next attempt did not find the record")
	}
	if _, held := lock.Held(); !held {
		t.Error("may not send orders although the record was written")
	}
}

// Guards against a record without the leaders before, and against one that keeps them for good and
// has their machines wait at each start.
func TestRecordNamesTheLatestLeaders(t *testing.T) {
	const period = 200 * time.Millisecond
	s := newKeyedStore()
	lock := newHistoryLock(t, s, period)
	lock.ObserveHistory(LeaderRecord{Machines: []string{"c"}}, false, 0)
	lock.Observe("b/1", 5)
	time.Sleep(period)
	lock.Observe("d/1", 6)
	lock.Observe("", 7)
	s.entries["seat"] = store.Entry{Revision: 0}
	if !lock.TryAcquire(t.Context()) {
		t.Fatal("a free lock was not acquired")
	}
	if got, err := ParseHistory(s.value("leaders")); err != nil || !slices.Equal(got.Machines, []string{"b", "d", "a"}) {
		t.Errorf("the record is %v (%v), want those that led within the period, and a", got, err)
	}
}

// Guards against an entry of another writer in place of the record, after which nobody gives
// orders.
func TestForeignRecordIsReplaced(t *testing.T) {
	s := newKeyedStore()
	s.revision = 4
	s.entries["leaders"] = store.Entry{Key: "leaders", Value: []byte("\xff"), Revision: 4}
	lock := newHistoryLock(t, s, time.Minute)
	lock.ObserveHistory(LeaderRecord{}, false, 3)
	lock.TryAcquire(t.Context())
	lock.TryAcquire(t.Context())
	if _, held := lock.Held(); !held {
		t.Error("the lock is not usable")
	}
	fence, _ := lock.Held()
	if got, want := s.value("leaders"), fmt.Sprintf(`{"machines":["a"],"token":%d}`, fence); got != want || fence == 0 {
		t.Errorf("the record is %s, want %s", got, want)
	}
}
