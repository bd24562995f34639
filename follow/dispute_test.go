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
