package follow

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// emptyDigest is the digest of a view without keys.
const emptyDigest = 1

// newListedFollower returns a follower with the given peer timeout that has listed the
// store at revision 5.
func newListedFollower(t *testing.T, peerTimeout time.Duration, answers ...any) (*scriptedStore, *recorder, *Follower) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &scriptedStore{answers: append([]any{store.Listing{Revision: 5}}, answers...), done: make(chan struct{})}
	handler := &recorder{}
	f := New(s, "", Options{WatchTimeout: time.Second, PeerTimeout: func() time.Duration { return peerTimeout }}, handler, log)
	if err := f.list(t.Context(), ListFirst); err != nil {
		t.Fatal(err)
	}
	return s, handler, f
}

func (f *Follower) runFor(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	f.Run(ctx)
}

// A hundred nodes that each watched the store made four billed calls a second each. A
// node with recent confirmations makes none, and calls the store once they stop.
func TestPeerConfirmationsReplaceOwnWatch(t *testing.T) {
	s, _, f := newListedFollower(t, time.Hour)
	f.ReceiveConfirmation(Confirmation{Digest: emptyDigest, Revision: 5, Age: time.Millisecond}, clock.Now(), true)
	f.runFor(50 * time.Millisecond)
	if got := fmt.Sprint(s.calls); got != "[list]" {
		t.Errorf("store calls with a watching peer: %s", got)
	}
	if _, ok := f.Confirmation(); !ok {
		t.Error("no confirmation directly after a listing")
	}
	s, _, f = newListedFollower(t, 20*time.Millisecond)
	f.ReceiveConfirmation(Confirmation{Digest: emptyDigest, Revision: 5}, clock.Now(), true)
	f.runFor(100 * time.Millisecond)
	if got := fmt.Sprint(s.calls); got != "[list watch 5]" {
		t.Errorf("store calls after the peer became silent: %s", got)
	}
}

// During an outage all nodes of a group would retry, and each call is billed. Nodes of
// later rank wait, and a confirmation by a peer ends the outage for them.
func TestLaterRanksLeaveRetriesToFirst(t *testing.T) {
	s, _, f := newListedFollower(t, time.Hour, errDisconnected, errDisconnected, errDisconnected)
	f.runFor(300 * time.Millisecond)
	if got := fmt.Sprint(s.calls); got != "[list watch 5]" {
		t.Errorf("store calls by a node of later rank: %s", got)
	}
	f.ReceiveConfirmation(Confirmation{Digest: emptyDigest, Revision: 5}, clock.Now(), true)
	if _, recovered := f.SinceRecovery(); !recovered || f.Disconnected() {
		t.Error("a confirmation by a peer did not end the outage")
	}
	s, _, f = newListedFollower(t, 0, errDisconnected, errDisconnected, errDisconnected)
	f.runFor(300 * time.Millisecond)
	if len(s.calls) < 4 {
		t.Errorf("store calls by the node of first rank: %s", s.calls)
	}
}

// A confirmation by a peer of later rank refreshes the view but must not replace the
// own watch: two nodes that rely on each other would both stop watching.
func TestConfirmationFromLaterRankDoesNotReplaceWatch(t *testing.T) {
	s, _, f := newListedFollower(t, time.Hour)
	f.ReceiveConfirmation(Confirmation{Digest: emptyDigest, Revision: 5}, clock.Now(), false)
	f.runFor(30 * time.Millisecond)
	if got := fmt.Sprint(s.calls); got != "[list watch 5]" {
		t.Errorf("store calls: %s", got)
	}
}

// A suspended peer or a delayed datagram delivers a confirmation after a key was
// revoked. Its age must count from the node's own timestamp that it echoes.
func TestDelayedConfirmationCountsAsOld(t *testing.T) {
	_, _, f := newListedFollower(t, time.Hour)
	echoed := clock.Now().Add(-20 * time.Second)
	f.confirmedAt.Store(int64(clock.Now().Add(-time.Minute)))
	f.ReceiveConfirmation(Confirmation{Digest: emptyDigest, Revision: 5, Age: 300 * time.Millisecond}, echoed, true)
	if age, _ := f.Age(); age < 20*time.Second+300*time.Millisecond {
		t.Errorf("view is %v old after a confirmation that echoes a timestamp of 20 s ago", age)
	}
}

// Changes from a peer may be duplicated or lost. After a gap the node must call the
// store; a confirmation beyond the gap would make an incomplete view count as current.
func TestReceivedChangesApplyOnceInOrder(t *testing.T) {
	s, handler, f := newListedFollower(t, time.Hour, store.Events{Revision: 9, Events: []store.Event{changeEvent("c", 8, false), changeEvent("d", 9, false)}})
	f.ReceiveConfirmation(Confirmation{Digest: emptyDigest, Revision: 5}, clock.Now(), true)
	six := Changes{After: 5, Digest: emptyDigest, Events: store.Events{Revision: 6, Events: []store.Event{changeEvent("a", 6, false)}}}
	f.ReceiveChanges(six)
	f.ReceiveChanges(six)
	f.ReceiveChanges(Changes{After: 5, Digest: emptyDigest, Events: store.Events{Revision: 7, Events: []store.Event{changeEvent("a", 6, false), changeEvent("b", 7, true)}}})
	f.ReceiveChanges(Changes{After: 8, Events: store.Events{Revision: 9, Events: []store.Event{changeEvent("d", 9, false)}}})
	before := f.confirmedAt.Load()
	f.ReceiveConfirmation(Confirmation{Revision: 9}, clock.Now(), true)
	if f.confirmedAt.Load() != before {
		t.Error("a view with missing changes was confirmed")
	}
	f.runFor(100 * time.Millisecond)
	if got := fmt.Sprint(s.calls); got != "[list watch 7]" {
		t.Errorf("store calls: %s", got)
	}
	if got := fmt.Sprint(handler.log); got != "[reset 0 at 5 a deleted=false b deleted=true c deleted=false d deleted=false]" {
		t.Errorf("handler calls: %s", got)
	}
}

// A peer's change newer than the pending listing is received after a compaction. If it
// were applied first, the listing would undo it and briefly remove a new target.
func TestReceivedChangesWaitForRelisting(t *testing.T) {
	_, handler, f := newListedFollower(t, time.Hour, store.Events{Compacted: true}, store.Listing{Revision: 6}, store.Events{Revision: 7, Events: []store.Event{changeEvent("a", 7, false)}})
	if err := f.watch(t.Context(), ReasonFirstInRank); err != nil {
		t.Fatal(err)
	}
	f.ReceiveChanges(Changes{After: 5, Digest: emptyDigest, Events: store.Events{Revision: 7, Events: []store.Event{changeEvent("a", 7, false)}}})
	f.runFor(100 * time.Millisecond)
	if got := fmt.Sprint(handler.log); got != "[reset 0 at 5 reset 0 at 6 a deleted=false]" {
		t.Errorf("handler calls: %s", got)
	}
}

// Only the watching peer sees the store recover, and expired entries arrive as deleted.
// Without the recovery time the node drops targets that are back a moment later.
func TestStoreRecoveryReceivedFromPeer(t *testing.T) {
	_, _, f := newListedFollower(t, time.Hour)
	if _, recovered := f.SinceRecovery(); recovered {
		t.Fatal("the store counts as recovered without an outage")
	}
	f.ReceiveChanges(Changes{After: 5, Digest: emptyDigest, SinceRecovery: 100 * time.Millisecond, Events: store.Events{Revision: 6, Events: []store.Event{changeEvent("a", 6, true)}}})
	if since, back := f.SinceRecovery(); !back || since < 100*time.Millisecond || since > 10*time.Second {
		t.Errorf("time since recovery %v, known: %v", since, back)
	}
}

// recoveryRecorder records for each batch of changes whether the store counts as
// recovered.
type recoveryRecorder struct {
	f         *Follower
	recovered []bool
}

func (r *recoveryRecorder) Reset([]store.Entry, store.Position) {}

func (r *recoveryRecorder) Apply([]store.Event) {
	_, recovered := r.f.SinceRecovery()
	r.recovered = append(r.recovered, recovered)
}

// The first watch after an outage returns deletions of expired target entries. If the
// recovery were recorded after them, all those targets would be dropped at once.
func TestRecoveryRecordedBeforeEvents(t *testing.T) {
	_, _, f := newListedFollower(t, 0, errDisconnected, store.Events{Revision: 6, Events: []store.Event{changeEvent("servers/a", 6, true)}})
	handler := &recoveryRecorder{f: f}
	f.handler = handler
	f.runFor(200 * time.Millisecond)
	if fmt.Sprint(handler.recovered) != "[true]" {
		t.Errorf("store counts as recovered at the deletions: %v", handler.recovered)
	}
}
