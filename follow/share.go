package follow

import (
	"context"
	"sync"
	"time"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// sharedWatch is the state by which several processes share one watch. One process
// calls the store and sends the changes to its peers. A peer calls the store only if it
// has received no confirmation for PeerTimeout or has missed a change. The bound on the
// age of each view is the same as with separate watches, which cost 4.3 calls a second
// for each of 103 processes.
type sharedWatch struct {
	mu sync.Mutex
	// revision is the position up to which the view has all changes, since reachedAt.
	revision  store.Position
	reachedAt clock.BootTime
	digest    viewDigest
	// listDue is why the keys have to be listed; empty if they have not. listBegan is when the
	// latest listing began.
	listDue   ListReason
	listBegan clock.BootTime
	disputes
	// ownConfirmedAt is the time as of which the process's own calls last confirmed the
	// view, peerConfirmedAt the same for confirmations by peers that rank before it.
	ownConfirmedAt  clock.BootTime
	peerConfirmedAt clock.BootTime
	// behind is set if a peer knows of changes that this process has missed.
	behind bool
	wakeup chan struct{}
	// onChanges is called with the changes returned by the process's own watches.
	onChanges func(Changes)
}

// Changes are the events of one watch after the revision After. Their positions are of the
// sender's count of the store's histories.
type Changes struct {
	After int64
	// Digest is the digest of the sender's view at After.
	Digest uint64
	Events store.Events
	// SinceRecovery is the time since the store became reachable again, as seen by the
	// sender, or 0 if it never was unreachable. Shortly after a recovery, deleted
	// entries may only have expired.
	SinceRecovery time.Duration
}

// Confirmation states that a process's view has all changes up to a revision, and how
// long ago it was known to be complete.
type Confirmation struct {
	Revision int64
	// Digest is the digest of the view at Revision.
	Digest        uint64
	Age           time.Duration
	SinceRecovery time.Duration
}

// OnChanges sets the function that is called with the changes returned by the process's
// own watches. It must be called before Run.
func (f *Follower) OnChanges(notify func(Changes)) {
	f.onChanges = notify
}

// maxConfirmationAge is how long after its own call a process may confirm the view to
// its peers. A process whose last call is older relies on its peers itself.
const maxConfirmationAge = 2 * time.Second

// Confirmation returns what the process can confirm to its peers from its own calls. ok
// is false if there is no listing or the last call is too old.
func (f *Follower) Confirmation() (c Confirmation, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c = Confirmation{Revision: f.revision.Revision(), Age: f.ownConfirmedAt.Since(), SinceRecovery: f.sinceRecoveryOrZero()}
	c.Digest, ok = f.digest.at(c.Revision)
	return c, ok && f.listDue == "" && f.ownConfirmedAt != 0 && c.Age < maxConfirmationAge
}

// DigestAt returns the digest of the view at a revision of the latest changes; ok is false if
// it is not known.
func (f *Follower) DigestAt(revision int64) (digest uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.digest.at(revision)
}

// sinceRecoveryOrZero is SinceRecovery, with 0 for a store that has not recovered.
func (f *Follower) sinceRecoveryOrZero() time.Duration {
	since, ok := f.SinceRecovery()
	if !ok {
		return 0
	}
	return max(since, 1)
}

// ReceiveChanges applies the changes that a peer's watch returned. If changes before
// them are missing, the follower calls the store. While a listing is due, changes are
// ignored, because the listing may be older than they are.
func (f *Follower) ReceiveChanges(c Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listDue != "" {
		return
	}
	f.receiveRecovery(c.SinceRecovery)
	switch f.compare(c.After, c.Digest, 0) {
	case peerAhead:
		f.requestWatch()
	case peerAgrees:
		f.applyPeers(c.Events)
	}
}

// ReceiveConfirmation applies a confirmation that a peer sent after sentAfter, a time
// of this process's clock. It may have been delayed in transit, so the view counts as
// complete only up to the confirmation's age before sentAfter. senderRanksBefore is set
// if the peer precedes this process in the order in which processes take over the
// watch.
func (f *Follower) ReceiveConfirmation(c Confirmation, sentAfter clock.BootTime, senderRanksBefore bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listDue != "" {
		return
	}
	f.receiveRecovery(c.SinceRecovery)
	completeAt := sentAfter.Add(-c.Age)
	switch f.compare(c.Revision, c.Digest, completeAt) {
	case peerAhead:
		f.requestWatch()
		return
	case peerUnknown, peerDisputes:
		return
	}
	f.markReachable()
	f.disputes.settle()
	if senderRanksBefore && completeAt > f.peerConfirmedAt {
		f.peerConfirmedAt = completeAt
	}
	f.advanceConfirmed(completeAt)
}

// receiveRecovery records a peer's time since the store's recovery, if it is more
// recent than the known one.
func (f *Follower) receiveRecovery(since time.Duration) {
	if since <= 0 {
		return
	}
	if at := int64(clock.Now().Add(-since)); at > f.recoveredAt.Load() {
		f.recoveredAt.Store(at)
	}
}

// Reason is why a process calls the store's watch. It is the label of the counter of
// watches.
type Reason string

const (
	// ReasonFirstInRank: the process watches on behalf of its peers or has none.
	ReasonFirstInRank Reason = "turn"
	// ReasonBehind: a peer knows of changes that this process has missed.
	ReasonBehind Reason = "behind"
	// ReasonPeersSilent: no peer that ranks before this process has confirmed the view
	// within PeerTimeout.
	ReasonPeersSilent Reason = "unheard"
)

// untilWatch returns the time until the process has to call the store itself, and the
// reason for that call.
func (f *Follower) untilWatch() (time.Duration, Reason) {
	if !f.listed.Load() || f.options.PeerTimeout == nil {
		return 0, ReasonFirstInRank
	}
	peerTimeout := f.options.PeerTimeout()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case peerTimeout == 0:
		return 0, ReasonFirstInRank
	case f.behind || f.listDue != "":
		return 0, ReasonBehind
	case f.peerConfirmedAt == 0:
		return 0, ReasonPeersSilent
	}
	return peerTimeout - f.peerConfirmedAt.Since(), ReasonPeersSilent
}

func (f *Follower) countWatch(r Reason) {
	if f.options.OnWatch != nil {
		f.options.OnWatch(r)
	}
}

// peerRetryDelay returns how long a process that could not reach the store leaves
// further attempts to the peers that rank before it; the first one to succeed notifies
// the others. Failed calls are billed too: during an outage of eight seconds a hundred
// nodes that retry independently make three thousand calls.
func (f *Follower) peerRetryDelay() time.Duration {
	if !f.listed.Load() || f.options.PeerTimeout == nil {
		return 0
	}
	return f.options.PeerTimeout()
}

// wait waits for d, or until a peer is known to have newer changes.
func (f *Follower) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wakeup:
	case <-ctx.Done():
	}
}

// requestWatch ends the current wait and makes the next call due at once, because a
// peer has newer changes. The caller holds mu.
func (f *Follower) requestWatch() {
	f.behind = true
	f.wake()
}

// wake ends the current wait.
func (f *Follower) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// Revision returns the revision up to which the view has all changes.
func (f *Follower) Revision() store.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// apply passes the events after the current position to the handler and advances the
// position.
func (f *Follower) apply(events []store.Event, revision store.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyLocked(events, revision)
}

// applyLocked is apply for a caller that holds mu.
func (f *Follower) applyLocked(events []store.Event, revision store.Position) {
	var unapplied []store.Event
	for _, e := range events {
		if e.Revision > f.revision {
			unapplied = append(unapplied, e)
		}
	}
	if revision > f.revision {
		f.revision, f.reachedAt = revision, clock.Now()
	}
	if len(unapplied) > 0 {
		f.handler.Apply(unapplied)
	}
}

// applyPeers applies changes of a peer, whose positions become those of this process's count of
// the store's histories. The caller holds mu.
func (f *Follower) applyPeers(peers store.Events) {
	history := f.revision.History()
	events := make([]store.Event, 0, len(peers.Events))
	for _, e := range peers.Events {
		e.Revision = store.At(history, e.Revision.Revision())
		events = append(events, e)
	}
	f.recordLocked(events)
	f.applyLocked(events, store.At(history, peers.Revision.Revision()))
}

// recordChanges adds changes to the digest of the view, ahead of the view itself.
func (f *Follower) recordChanges(events []store.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordLocked(events)
}

// recordLocked is recordChanges for a caller that holds mu. Changes that the view has reached, or
// the digest has, are left out: they are a peer's that came late, or are of another history.
func (f *Follower) recordLocked(events []store.Event) {
	reached := max(f.revision.Revision(), f.digest.latest())
	for _, e := range events {
		if e.Revision.Revision() > reached {
			f.digest.apply(e, f.shared)
		}
	}
}

// shared reports whether changes of a key are sent to peers.
func (f *Follower) shared(key string) bool {
	return f.options.Unshared == nil || !f.options.Unshared(key)
}

// reset replaces the view by a listing.
func (f *Follower) reset(listing store.Listing, began clock.BootTime) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed.Load() && listing.Revision.History() > f.revision.History() {
		// Entries that were lost with the former history are back within seconds of the
		// replacement, which was after the latest confirmation and the latest failed call.
		f.recoveredAt.Store(max(f.recoveredAt.Load(), f.confirmedAt.Load(), f.failedAt.Load()))
	}
	f.handler.Reset(listing.Entries, listing.Revision)
	f.digest.reset(listing, f.shared)
	f.revision, f.reachedAt, f.listDue, f.listBegan = listing.Revision, clock.Now(), "", began
}

// contradicted reports whether a listing can't be of the history that the view is of, although
// the store shows no other sign of that.
func (f *Follower) contradicted(listing store.Listing) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed.Load() && listing.Revision.History() == f.revision.History() &&
		(listing.Revision < f.revision || f.digest.contradicts(listing))
}

// confirmOwn records that one of the process's own calls confirmed the view as of
// completeAt.
func (f *Follower) confirmOwn(completeAt clock.BootTime) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownConfirmedAt, f.behind = completeAt, false
	f.advanceConfirmed(completeAt)
}

// advanceConfirmed records that the view was complete as of completeAt. The caller
// holds mu.
func (f *Follower) advanceConfirmed(completeAt clock.BootTime) {
	if int64(completeAt) > f.confirmedAt.Load() {
		f.confirmedAt.Store(int64(completeAt))
	}
}

// caughtUp records that a watch brought changes that only peers can confirm.
func (f *Follower) caughtUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behind = false
}

// ListReason is why a process lists all keys. It is the label of the counter of listings.
type ListReason string

const (
	// ListFirst: the process has no view yet.
	ListFirst ListReason = "first"
	// ListHistoryLost: the store no longer has the changes after the view.
	ListHistoryLost ListReason = "history_lost"
	// ListReconnected: the store may have been restarted since the view was current.
	ListReconnected ListReason = "reconnected"
	// ListDisputed: a peer has another view at the same revision.
	ListDisputed ListReason = "disputed"
	// ListLeaseLost: the store does not know a lease that must still last.
	ListLeaseLost ListReason = "lease_lost"
)

// RequireListing makes the follower list all keys again, unless it has begun to do so since the
// given time.
func (f *Follower) RequireListing(reason ListReason, since clock.BootTime) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listDue == "" && f.listBegan < since {
		f.listDue = reason
		f.wake()
	}
}

// requireListing makes a listing due.
func (f *Follower) requireListing(reason ListReason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listDue = reason
}

// listingDue returns why the keys have to be listed; empty if they have not.
func (f *Follower) listingDue() ListReason {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listDue
}
