package follow

import (
	"testing"
	"time"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// newFollowerWith returns a follower that relies on its peers, with a view of one key.
func newFollowerWith(t *testing.T, value string) *Follower {
	t.Helper()
	_, _, f := newListedFollower(t, time.Hour)
	f.reset(store.Listing{Revision: 9, Entries: []store.Entry{{Key: "a", Revision: 8, Value: []byte(value)}}}, clock.Now())
	return f
}

func (f *Follower) confirmed(t *testing.T) Confirmation {
	t.Helper()
	f.confirmOwn(clock.Now())
	c, ok := f.Confirmation()
	if !ok {
		t.Fatal("no confirmation")
	}
	return c
}

// Guards against a confirmation of a revision that was given out again: the peer's view has other
// contents at it.
func TestConfirmationOfAnotherHistoryIsDisputed(t *testing.T) {
	f, peer := newFollowerWith(t, "lost"), newFollowerWith(t, "restored")
	f.ReceiveConfirmation(peer.confirmed(t), clock.Now(), true)
	if f.listingDue() != ListDisputed || f.peerConfirmedAt != 0 {
		t.Errorf("listing due: %q, confirmed at %d", f.listingDue(), f.peerConfirmedAt)
	}
	same := newFollowerWith(t, "restored")
	same.ReceiveConfirmation(peer.confirmed(t), clock.Now(), true)
	if same.listingDue() != "" || same.peerConfirmedAt == 0 {
		t.Errorf("a confirmation of the same view: listing due %q", same.listingDue())
	}
}

// Guards against a view that keeps what a restored store lost: a peer that read the store later has
// an older revision, up to which both views agree.
func TestFallenRevisionOfPeerIsDisputed(t *testing.T) {
	f, peer := newFollowerWith(t, "value"), newFollowerWith(t, "value")
	before := peer.confirmed(t)
	readBefore := clock.Now()
	f.ReceiveChanges(Changes{After: 9, Digest: before.Digest, Events: store.Events{Revision: 10, Events: []store.Event{changeEvent("b", 10, false)}}})
	f.ReceiveConfirmation(before, readBefore, true)
	if f.listingDue() != "" {
		t.Error("a peer that lags was disputed")
	}
	f.ReceiveConfirmation(peer.confirmed(t), clock.Now(), true)
	if f.listingDue() != ListDisputed {
		t.Error("a store that has fallen back was not noticed")
	}
}

// Guards against changes of another history that are applied because their revision fits.
func TestChangesOfAnotherHistoryAreNotApplied(t *testing.T) {
	f, peer := newFollowerWith(t, "lost"), newFollowerWith(t, "restored")
	f.ReceiveChanges(Changes{After: 9, Digest: peer.confirmed(t).Digest, Events: store.Events{Revision: 10, Events: []store.Event{changeEvent("b", 10, false)}}})
	if f.Revision() != 9 || f.listingDue() != ListDisputed {
		t.Errorf("revision %d, listing due %q", f.Revision(), f.listingDue())
	}
}

// Guards against a listing for each update of a peer whose own view is wrong.
func TestDisputesAreBounded(t *testing.T) {
	f, peer := newFollowerWith(t, "right"), newFollowerWith(t, "wrong")
	listings := 0
	for range 100 {
		f.ReceiveConfirmation(peer.confirmed(t), clock.Now(), true)
		if f.listingDue() != "" {
			listings++
			f.reset(store.Listing{Revision: 9, Entries: []store.Entry{{Key: "a", Revision: 8, Value: []byte("right")}}}, clock.Now())
		}
	}
	if listings != 1 {
		t.Errorf("%d listings for 100 updates at once, want 1", listings)
	}
}

// Guards against peers that agree by accident: a sender without a digest, as of an earlier build,
// confirms nothing.
func TestConfirmationWithoutDigestConfirmsNothing(t *testing.T) {
	f := newFollowerWith(t, "value")
	f.ReceiveConfirmation(Confirmation{Revision: 9}, clock.Now(), true)
	if f.peerConfirmedAt != 0 || f.listingDue() != "" {
		t.Errorf("confirmed at %d, listing due %q", f.peerConfirmedAt, f.listingDue())
	}
}

// Guards against a digest that brings back a deleted key: a peer's changes that arrive late, or
// twice, are older than the view.
func TestLateChangesLeaveTheDigest(t *testing.T) {
	f, peer := newFollowerWith(t, "value"), newFollowerWith(t, "value")
	before := peer.confirmed(t).Digest
	put := Changes{After: 9, Digest: before, Events: store.Events{Revision: 10, Events: []store.Event{changeEvent("b", 10, false)}}}
	both := Changes{After: 9, Digest: before, Events: store.Events{Revision: 11, Events: []store.Event{changeEvent("b", 10, false), changeEvent("b", 11, true)}}}
	peer.ReceiveChanges(both)
	f.ReceiveChanges(both)
	f.ReceiveChanges(put)
	later := Changes{After: 11, Digest: peer.confirmed(t).Digest, Events: store.Events{Revision: 12, Events: []store.Event{changeEvent("c", 12, false)}}}
	peer.ReceiveChanges(later)
	f.ReceiveChanges(later)
	f.ReceiveConfirmation(peer.confirmed(t), clock.Now(), true)
	if f.Revision() != 12 || f.listingDue() != "" {
		t.Errorf("revision %d, listing due %q; both views have the same keys", f.Revision(), f.listingDue())
	}
}

// Guards against a view that is confirmed without a change of the present history: the change is at
// a revision that the view had reached in the former one, and counted in the digest only.
func TestChangeThatIsNotAppliedIsNotInTheDigest(t *testing.T) {
	f, peer := newFollowerWith(t, "value"), newFollowerWith(t, "value")
	before := peer.confirmed(t).Digest
	f.ReceiveChanges(Changes{After: 9, Digest: before, Events: store.Events{Revision: 10, Events: []store.Event{changeEvent("lost", 10, false)}}})
	restored := Changes{After: 9, Digest: before, Events: store.Events{Revision: 11, Events: []store.Event{changeEvent("new", 10, false), changeEvent("lost", 11, false)}}}
	peer.ReceiveChanges(restored)
	f.ReceiveChanges(restored)
	f.ReceiveConfirmation(peer.confirmed(t), clock.Now(), true)
	if f.listingDue() != ListDisputed {
		t.Error("the view lacks a key of the peer's, and the peer confirms it")
	}
}

// Guards against a listing for each update of a peer whose view is wrong while other peers confirm
// this process's.
func TestDisputesAreBoundedBesidePeersThatAgree(t *testing.T) {
	f, agrees, disputes := newFollowerWith(t, "right"), newFollowerWith(t, "right"), newFollowerWith(t, "wrong")
	listings := 0
	for range 100 {
		f.ReceiveConfirmation(agrees.confirmed(t), clock.Now(), true)
		f.ReceiveConfirmation(disputes.confirmed(t), clock.Now(), true)
		if f.listingDue() != "" {
			listings++
			f.reset(store.Listing{Revision: 9, Entries: []store.Entry{{Key: "a", Revision: 8, Value: []byte("right")}}}, clock.Now())
		}
	}
	if listings != 1 {
		t.Errorf("%d listings for 100 updates at once, want 1", listings)
	}
}
