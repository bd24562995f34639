package rollout

import (
	"testing"
	"time"

	"acaciakeel/clock"
	"acaciakeel/order"
	"acaciakeel/store"
)

// steadyLease is a lease that is renewed all the time, with virtual time.
type steadyLease struct {
	id    store.LeaseID
	now   clock.BootTime
	since clock.BootTime
}

func (l *steadyLease) ID() store.LeaseID        { return l.id }
func (l *steadyLease) Since() clock.BootTime    { return l.since }
func (l *steadyLease) TTL() time.Duration       { return restoreTTL }
func (l *steadyLease) Valid() bool              { return l.id != "" }
func (l *steadyLease) Remaining() time.Duration { return restoreTTL }

func (l *steadyLease) pass(d time.Duration) { l.now = l.now.Add(d) }

// newRestoreLock returns the lock of process a with a lease.
func newRestoreLock(s store.Store) (*LeaderLock, *steadyLease) {
	lease := &steadyLease{id: "7", now: clock.BootTime(time.Hour)}
	lock := NewLeaderLock(s, lease, "seat", "a", restoreBackoff, discardLogger())
	lock.now = func() clock.BootTime { return lease.now }
	lock.wallClock = func() time.Time { return time.UnixMilli(1.8e12).Add(time.Duration(lease.now)) }
	return lock, lease
}

func checkNotHeld(t *testing.T, lock *LeaderLock, when string) {
	t.Helper()
	if _, held := lock.Held(); held {
		t.Errorf("%s: the lock is held", when)
	}
}

// restored is the position of a revision after the store came back from an older copy.
func restored(revision int64) store.Position { return store.At(1, revision) }

// Guards against a token that is given out again or falls because the store's revisions are.
func TestTokenRisesAlthoughRevisionsFall(t *testing.T) {
	m := &memoryStore{revision: 40}
	lock, lease := newRestoreLock(m)
	lock.TryAcquire(t.Context())
	first, _ := lock.Held()
	m.value, m.revision = "", restored(2)
	lock.ObserveAbsent(restored(2))
	lease.pass(restoreBackoff)
	lock.wallClock = func() time.Time { return time.UnixMilli(1.7e12) }
	if !lock.TryAcquire(t.Context()) {
		t.Fatal("the lock was not acquired again")
	}
	checkHold(t, lock, restored(3))
	if second, _ := lock.Held(); second <= first {
		t.Errorf("the token is %d after %d", second, first)
	}
}

// Guards against a hold that continues although the store came back from an older copy.
func TestHoldEndsWithItsHistory(t *testing.T) {
	for name, observe := range map[string]func(*LeaderLock){
		"absent":        func(l *LeaderLock) { l.ObserveAbsent(restored(1)) },
		"its own entry": func(l *LeaderLock) { l.Observe("a", restored(41)) },
		"another's":     func(l *LeaderLock) { l.Observe("b", restored(1)) },
		"foreign":       func(l *LeaderLock) { l.ObserveForeign(restored(1)) },
		"the record":    func(l *LeaderLock) { l.ObserveHistory(LeaderRecord{}, true, restored(1)) },
	} {
		m := &memoryStore{revision: 40}
		lock, _ := newRestoreLock(m)
		lock.KeepHistory("leaders")
		lock.ObserveHistory(LeaderRecord{}, false, 1)
		lock.TryAcquire(t.Context())
		lock.history.recorded = lock.token
		if _, held := lock.Held(); !held {
			t.Fatal("a free lock was not acquired")
		}
		observe(lock)
		checkNotHeld(t, lock, name)
		lock.Observe("a", 41)
		checkNotHeld(t, lock, name+", then a late observation of the former history")
	}
}

// Guards against orders while a holder of the former history may not have noticed.
func TestLockIsNotTriedRightAfterARestore(t *testing.T) {
	m := &memoryStore{revision: restored(2)}
	lock, lease := newRestoreLock(m)
	lock.Observe("b", 5)
	lock.ObserveAbsent(restored(2))
	lease.pass(restoreTTL - 1)
	if lock.TryAcquire(t.Context()); m.writes != 0 || lock.blocker() != HistoryReplaced {
		t.Errorf("%d writes, blocker %q", m.writes, lock.blocker())
	}
	lease.pass(1)
	if !lock.TryAcquire(t.Context()) {
		t.Error("the lock is not tried after the wait")
	}
}

// Guards against a hold that lasts as long as its lease is renewed, which after an unnoticed
// restore may be another process's.
func TestHoldIsBoundedByItsConfirmation(t *testing.T) {
	m := &memoryStore{}
	lock, lease := newRestoreLock(m)
	lock.TryAcquire(t.Context())
	lease.pass(restoreTTL / 2)
	if left := lock.Remaining(); left != restoreTTL/2 {
		t.Errorf("the hold remains for %v, want %v", left, restoreTTL/2)
	}
	lock.Confirm(t.Context())
	if left := lock.Remaining(); left != restoreTTL {
		t.Errorf("the confirmed hold remains for %v", left)
	}
	m.failReads = true
	lease.pass(restoreTTL)
	lock.Confirm(t.Context())
	if left := lock.Remaining(); left != 0 {
		t.Errorf("an unconfirmed hold remains for %v", left)
	}
	m.failReads, m.value = false, "b"
	lock.Confirm(t.Context())
	checkNotHeld(t, lock, "the entry is another process's, with the same revision")
}

// Guards against reads of the store without need.
func TestRecentHoldIsNotConfirmedAgain(t *testing.T) {
	m := &memoryStore{}
	lock, lease := newRestoreLock(m)
	lock.Confirm(t.Context())
	lock.TryAcquire(t.Context())
	lease.pass(restoreTTL/confirmationsPerTTL - 1)
	lock.Confirm(t.Context())
	if m.reads != 0 {
		t.Errorf("%d reads", m.reads)
	}
}

// Guards against a hold that continues at once after its lease may have expired.
func TestHoldWaitsAfterItsLeaseMayHaveExpired(t *testing.T) {
	m := &memoryStore{}
	lock, lease := newRestoreLock(m)
	lock.TryAcquire(t.Context())
	first, _ := lock.Held()
	lease.pass(2 * restoreTTL)
	lease.since = lease.now
	checkNotHeld(t, lock, "the lease was interrupted")
	lock.TryAcquire(t.Context())
	lease.pass(restoreTTL - 1)
	checkNotHeld(t, lock, "during the wait")
	lease.pass(1)
	if token, held := lock.Held(); !held || token <= first {
		t.Errorf("held = %t with token %d after %d", held, token, first)
	}
}

// Guards against two holders after a restore that was not noticed, and against a delay where a
// holder's lease ended in the ordinary way or the lock was never held.
func TestVanishedHolderIsWaitedFor(t *testing.T) {
	for _, test := range []struct {
		name    string
		observe func(*LeaderLock)
		waits   bool
	}{
		{"its key was deleted", func(l *LeaderLock) { l.Observe("b", 5); l.Observe("", 6) }, false},
		{"its key is not listed", func(l *LeaderLock) { l.Observe("b", 5); l.ObserveAbsent(6) }, true},
		{"first listing", func(l *LeaderLock) { l.ObserveAbsent(6) }, false},
		{"listed again as absent", func(l *LeaderLock) { l.ObserveAbsent(6); l.ObserveAbsent(7) }, false},
	} {
		lock, lease := newRestoreLock(&memoryStore{revision: 6})
		test.observe(lock)
		if acquired := lock.TryAcquire(t.Context()); acquired == test.waits {
			t.Errorf("%s: acquired = %t", test.name, acquired)
		}
		lease.pass(restoreTTL)
		lock.TryAcquire(t.Context())
		if _, held := lock.Held(); !held {
			t.Errorf("%s: not acquired after the wait", test.name)
		}
	}
}

// Guards against a hold that is taken up again because its entry came back.
func TestOwnEntryThatCameBackIsANewHold(t *testing.T) {
	m := &memoryStore{}
	lock, lease := newRestoreLock(m)
	lock.TryAcquire(t.Context())
	first, _ := lock.Held()
	if err := lock.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	m.value, m.revision = "a", restored(1)
	lock.Observe("a", restored(1))
	checkNotHeld(t, lock, "its entry came back")
	lease.pass(restoreBackoff - 1)
	if lock.TryAcquire(t.Context()) {
		t.Error("acquired during the wait")
	}
	lease.pass(1)
	lock.TryAcquire(t.Context())
	checkHold(t, lock, restored(2))
	if token, _ := lock.Held(); token <= first {
		t.Errorf("the token is %d after %d", token, first)
	}
}

// Guards against a wait where the process held the lock until the restore and its entry is in the
// copy, against the token of before, and against no wait where its entry may be of after the restore.
func TestUnbrokenHoldIsRenewedAtOnce(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		m := newKeyedStore()
		lock, lease := newRestoreLock(m)
		lock.KeepHistory("leaders")
		lock.ObserveHistory(LeaderRecord{}, false, 1)
		if !recorded {
			m.failing = "leaders"
		}
		lock.TryAcquire(t.Context())
		first, _ := lock.Held()
		revision := restored(lock.state.revision.Revision())
		m.failing, m.revision = "", revision
		m.entries = map[string]store.Entry{"seat": {Key: "seat", Value: []byte("a"), Revision: revision}}
		lock.Observe("a", revision)
		lock.ObserveHistory(LeaderRecord{}, false, revision)
		checkNotHeld(t, lock, "not renewed yet")
		lease.id = "8"
		lock.TryAcquire(t.Context())
		if token, held := lock.Held(); held != recorded || (held && token <= first) {
			t.Errorf("recorded = %t: held = %t with token %d after %d", recorded, held, token, first)
		}
	}
}

// Guards against nobody giving orders because the lock is held by an entry that never ends, and
// against orders beside those of a live holder.
func TestEntryOfDeadHolderIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name     string
		observe  func(*LeaderLock)
		alive    bool
		replaced time.Duration
	}{
		{"dead, first seen", func(l *LeaderLock) { l.Observe("b", 1) }, false, restoreTTL},
		{"dead since it was seen alive", func(l *LeaderLock) { l.ObserveAbsent(0); l.Observe("b", 1) }, false, deadHolderBound},
		{"dead, after a restore", func(l *LeaderLock) { l.Observe("c", 3); l.Observe("b", restored(1)) }, false, restoreTTL},
		{"alive", func(l *LeaderLock) { l.Observe("b", 1) }, true, 0},
		{"acquired after the restore", func(l *LeaderLock) { l.Observe("c", 3); l.Observe("b", restored(1)) }, true, 0},
		{"came back", func(l *LeaderLock) { l.Observe("b", 1); l.Observe("c", 3); l.Observe("b", restored(1)) }, true, restoreTTL},
	} {
		m := &memoryStore{value: "b"}
		lock, lease := newRestoreLock(m)
		lock.SetHolderAlive(func(string) bool { return test.alive })
		test.observe(lock)
		m.revision = lock.state.revision
		lock.TryAcquire(t.Context())
		lease.pass(max(test.replaced, 1) - 1)
		lock.TryAcquire(t.Context())
		if m.writes != 0 {
			t.Errorf("%s: replaced too early", test.name)
		}
		lease.pass(1)
		if test.replaced == 0 {
			lease.pass(time.Hour)
		}
		lock.TryAcquire(t.Context())
		if replaced := m.value == "a"; replaced != (test.replaced != 0) {
			t.Errorf("%s: replaced = %t", test.name, replaced)
		}
		checkNotHeld(t, lock, test.name+": the holder may have confirmed its hold just before")
		lease.pass(restoreTTL)
		if _, held := lock.Held(); held != (test.replaced != 0) {
			t.Errorf("%s: held = %t after the wait", test.name, held)
		}
	}
}

// Guards against a release that deletes another holder's entry, which has the same revision.
func TestReleaseAfterUnnoticedRestore(t *testing.T) {
	m := &memoryStore{}
	lock, _ := newRestoreLock(m)
	lock.TryAcquire(t.Context())
	m.value = "b"
	if err := lock.Release(t.Context()); err != nil || m.value != "b" {
		t.Errorf("release returned %v and the key has %q, want b", err, m.value)
	}
}

// Guards against a record of an earlier build that is not understood, and against a damaged one
// that uses up the tokens.
func TestParseHistory(t *testing.T) {
	for value, want := range map[string]LeaderRecord{
		`["b","a"]`: {Machines: []string{"b", "a"}},
		`{"machines":["b","a"],"token":1800000000000001}`: {Machines: []string{"b", "a"}, Token: 1800000000000001},
		`{"machines":["a"]}`:                              {Machines: []string{"a"}},
		`{"machines":["a"],"token":-1}`:                   {},
		`{"machines":["a"],"token":1e300}`:                {},
		`{"machines":["a"],"token":9007199254740991}`:     {},
		`{"machines":"a"}`:                                {},
		`["a",1]`:                                         {},
		"\xff":                                            {},
		"7":                                               {},
	} {
		got, err := ParseHistory(value)
		if got.Token != want.Token || len(got.Machines) != len(want.Machines) || (err != nil) != (want.Machines == nil) {
			t.Errorf("%s: %+v (%v), want %+v", value, got, err, want)
		}
	}
}

// Guards against a token below that of a leader which the process knows only from the record.
func TestTokenIsHigherThanTheRecordedOne(t *testing.T) {
	s := newKeyedStore()
	lock := newHistoryLock(t, s, time.Minute)
	recorded := order.NextToken(time.Now().Add(time.Hour), "b/1", 0)
	lock.ObserveHistory(LeaderRecord{Token: recorded}, true, 0)
	lock.ObserveHistory(LeaderRecord{}, false, restored(0))
	lock.waitUntil, s.revision = 0, restored(1)
	if !lock.TryAcquire(t.Context()) {
		t.Fatal("a free lock was not acquired")
	}
	if token, _ := lock.Held(); token <= recorded {
		t.Errorf("the token is %d, below the recorded %d", token, recorded)
	}
}
