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

// newListedFollower starts a follower that may live on others' word for patience, and returns
// once it has listed at revision 5.
func newListedFollower(t *testing.T, peerTimeout time.Duration, answers ...any) (*scriptedStore, *recorder, *Follower) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &scriptedStore{answers: append([]any{store.Listing{Revision: 5}}, answers...), done: make(chan struct{})}
	target := &recorder{}
	f := New(s, "", Options{WatchTimeout: time.Second, PeerTimeout: func() time.Duration { return peerTimeout }}, target, log)
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s, target, f
}

func (f *Follower) runFor(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	f.Run(ctx)
}

// A hundred entries each watched the store, at four paid calls a second each. One
// that hears from another how old the view is makes none, as long as it does; once
// the other is silent it asks itself, so that its view never grows old.
func TestPeerConfirmationsReplaceOwnWatch(t *testing.T) {
	s, _, f := newListedFollower(t, time.Hour)
	f.ReceiveConfirmation(Confirmation{Revision: 5, Age: time.Millisecond}, clock.Now(), true)
	f.runFor(50 * time.Millisecond)
	if got := fmt.Sprint(s.calls); got != "[list]" {
		t.Errorf("called %s beside one who watches", got)
	}
	if _, ok := f.Confirmation(); !ok {
		t.Error("one that has just listed can't confirm its view")
	}
	s, _, f = newListedFollower(t, 20*time.Millisecond)
	f.ReceiveConfirmation(Confirmation{Revision: 5}, clock.Now(), true)
	f.runFor(100 * time.Millisecond)
	if got := fmt.Sprint(s.calls); got != "[list watch 5]" {
		t.Errorf("called %s after the other was silent", got)
	}
}

// The store is away, and all entries of a group notice. Those whose turn comes later
// leave the trying to the first ones: a try is paid for, and whoever reaches the
// store tells the others. The word that it is back ends the waiting.
func TestLaterRanksLeaveRetriesToFirst(t *testing.T) {
	s, _, f := newListedFollower(t, time.Hour, errDisconnected, errDisconnected, errDisconnected)
	f.runFor(300 * time.Millisecond)
	if got := fmt.Sprint(s.calls); got != "[list watch 5]" {
		t.Errorf("one whose turn comes later called %s", got)
	}
	f.ReceiveConfirmation(Confirmation{Revision: 5}, clock.Now(), true)
	if _, back := f.SinceRecovery(); !back || f.Disconnected() {
		t.Error("the word that the store answers was not believed")
	}
	s, _, f = newListedFollower(t, 0, errDisconnected, errDisconnected, errDisconnected)
	f.runFor(300 * time.Millisecond)
	if len(s.calls) < 4 {
		t.Errorf("the first in turn called %s", s.calls)
	}
}

// The word of one whose turn comes later makes the view no older, but does not free
// from the watch: two that wait for each other's word would both stop watching.
func TestConfirmationFromLaterRankDoesNotReplaceWatch(t *testing.T) {
	s, _, f := newListedFollower(t, time.Hour)
	f.ReceiveConfirmation(Confirmation{Revision: 5}, clock.Now(), false)
	f.runFor(30 * time.Millisecond)
	if got := fmt.Sprint(s.calls); got != "[list watch 5]" {
		t.Errorf("called %s", got)
	}
}

// The one who watches worked out that its view is fresh, and was frozen before the
// word went; or the word was held up on its way. A key was taken away meanwhile, and
// here it worked on for as long as that took. The word counts from the listener's
// own mark that it answers, so it is as old as it can be.
func TestDelayedConfirmationCountsAsOld(t *testing.T) {
	_, _, f := newListedFollower(t, time.Hour)
	mark := clock.Now().Add(-20 * time.Second)
	f.confirmedAt.Store(int64(clock.Now().Add(-time.Minute)))
	f.ReceiveConfirmation(Confirmation{Revision: 5, Age: 300 * time.Millisecond}, mark, true)
	if age, _ := f.Age(); age < 20*time.Second+300*time.Millisecond {
		t.Errorf("by a word that answers a mark of 20 s ago the view is %v old", age)
	}
}

// Changes come from another process, some twice and some not at all. Each is passed
// on once and in order; where one is missing the store is asked, and no confirmation
// beyond it counts: the view would pass for current without it.
func TestReceivedChangesApplyOnceInOrder(t *testing.T) {
	s, target, f := newListedFollower(t, time.Hour, store.Events{Revision: 9, Events: []store.Event{changeEvent("c", 8, false), changeEvent("d", 9, false)}})
	f.ReceiveConfirmation(Confirmation{Revision: 5}, clock.Now(), true)
	six := Changes{After: 5, Events: store.Events{Revision: 6, Events: []store.Event{changeEvent("a", 6, false)}}}
	f.ReceiveChanges(six)
	f.ReceiveChanges(six)
	f.ReceiveChanges(Changes{After: 5, Events: store.Events{Revision: 7, Events: []store.Event{changeEvent("a", 6, false), changeEvent("b", 7, true)}}})
	f.ReceiveChanges(Changes{After: 8, Events: store.Events{Revision: 9, Events: []store.Event{changeEvent("d", 9, false)}}})
	before := f.confirmedAt.Load()
	f.ReceiveConfirmation(Confirmation{Revision: 9}, clock.Now(), true)
	if f.confirmedAt.Load() != before {
		t.Error("a view that lacks changes was confirmed")
	}
	f.runFor(100 * time.Millisecond)
	if got := fmt.Sprint(s.calls); got != "[list watch 7]" {
		t.Errorf("called %s", got)
	}
	if got := fmt.Sprint(target.log); got != "[reset 0 at 5 a deleted=false b deleted=true c deleted=false d deleted=false]" {
		t.Errorf("passed on %s", got)
	}
}

// The store dropped its history and is listed anew. Meanwhile another process tells
// of a change that is younger than the listing: taken first, the listing would take
// it back, and a target that had just come would be gone for a moment.
func TestReceivedChangesWaitForRelisting(t *testing.T) {
	_, target, f := newListedFollower(t, time.Hour, store.Events{Compacted: true}, store.Listing{Revision: 6}, store.Events{Revision: 7, Events: []store.Event{changeEvent("a", 7, false)}})
	if err := f.watch(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.ReceiveChanges(Changes{After: 5, Events: store.Events{Revision: 7, Events: []store.Event{changeEvent("a", 7, false)}}})
	f.runFor(100 * time.Millisecond)
	if got := fmt.Sprint(target.log); got != "[reset 0 at 5 reset 0 at 6 a deleted=false]" {
		t.Errorf("passed on %s", got)
	}
}

// The store was away and is back, which this process did not notice, as another
// watches for it. Entries that lapsed meanwhile come as removed: it must know that
// the store has just returned, or it drops targets that are back a moment later.
func TestStoreRecoveryReceivedFromPeer(t *testing.T) {
	_, _, f := newListedFollower(t, time.Hour)
	if _, back := f.SinceRecovery(); back {
		t.Fatal("the store was never away here")
	}
	f.ReceiveChanges(Changes{After: 5, SinceRecovery: 100 * time.Millisecond, Events: store.Events{Revision: 6, Events: []store.Event{changeEvent("a", 6, true)}}})
	if since, back := f.SinceRecovery(); !back || since < 100*time.Millisecond || since > 10*time.Second {
		t.Errorf("the store is back since %v, known: %v", since, back)
	}
}

// recoveryRecorder is a view that asks, as each change comes, whether the store has just
// come back.
type recoveryRecorder struct {
	f         *Follower
	recovered []bool
}

func (r *recoveryRecorder) Reset([]store.Entry, int64) {}

func (r *recoveryRecorder) Apply([]store.Event) {
	_, back := r.f.SinceRecovery()
	r.recovered = append(r.recovered, back)
}

// The store is down, entries of targets lapse, and the first watch after its return
// brings their removal. That watch is the sign of the return: were it noted only
// afterwards, the removals would count as those of a calm time, and all targets
// whose entries lapsed would be left out at once.
func TestRecoveryRecordedBeforeEvents(t *testing.T) {
	_, _, f := newListedFollower(t, 0, errDisconnected, store.Events{Revision: 6, Events: []store.Event{changeEvent("servers/a", 6, true)}})
	target := &recoveryRecorder{f: f}
	f.handler = target
	f.runFor(200 * time.Millisecond)
	if fmt.Sprint(target.recovered) != "[true]" {
		t.Errorf("at the removals the store counts as back: %v", target.recovered)
	}
}
