package follow

import (
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
)

// peerView is how a peer's view relates to this process's.
type peerView int

const (
	// peerUnknown: the views can't be compared.
	peerUnknown peerView = iota
	// peerAhead: the peer knows of later changes.
	peerAhead
	// peerAgrees: both views had the same keys at the peer's revision.
	peerAgrees
	// peerDisputes: the views differ, or are of different histories of the store.
	peerDisputes
)

// Bounds of the listings that are made because a peer disputes the view: if it is the peer that is
// wrong, a listing changes nothing.
const (
	minDisputeInterval = time.Second
	maxDisputeInterval = 32 * time.Second
)

// disputes bounds the listings for disputed views. The mutex of the sharedWatch guards it.
type disputes struct {
	listedAt clock.BootTime
	interval time.Duration
}

// due reports whether a listing may be made for a dispute now, and if so counts it.
func (d *disputes) due() bool {
	if d.listedAt != 0 && d.listedAt.Since() < max(d.interval, minDisputeInterval) {
		return false
	}
	d.listedAt = clock.Now()
	d.interval = min(max(2*d.interval, minDisputeInterval), maxDisputeInterval)
	return true
}

// settle records that a peer has confirmed the view.
func (d *disputes) settle() { d.interval = 0 }

// compare compares the view with a peer's that had the digest at a revision, and requires a listing
// if they can't be of one history. completeAt is when the peer's view was complete, 0 if that is not
// known: a store that has since fallen behind a revision that was reached here before that has
// come back from an older copy.
//
// The caller holds mu: what follows from the result must apply to the same view.
func (f *Follower) compare(revision int64, digest uint64, completeAt clock.BootTime) peerView {
	own := f.revision.Revision()
	if revision > own {
		return peerAhead
	}
	known, ok := f.digest.at(revision)
	fell := revision < own && completeAt > f.reachedAt
	switch {
	case digest == 0, !ok && !fell:
		return peerUnknown
	case known == digest && !fell:
		return peerAgrees
	}
	if f.disputes.due() {
		f.listDue = ListDisputed
		f.log.WithFields(logrus.Fields{"event": "view_disputed", "revision": revision, "own_revision": own, "digest": digest, "own_digest": known}).Warn("a peer has another view of the store; listing again")
		f.wake()
	}
	return peerDisputes
}
