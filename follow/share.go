package follow

import (
	"context"
	"sync"
	"time"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// sharedWatch is the part of a follower by which processes share one watch: one of them
// calls the store and tells the others, who call only when they have heard nothing
// for a while, or missed a change. What each knows, and how old that is at most, is
// the same as with a watch of its own, at one call in place of many: with a watch
// each, 103 processes made 4.3 calls a second each.
type sharedWatch struct {
	mu sync.Mutex
	// revision is up to where the view has all changes.
	revision int64
	// compacted is set while the store no longer has the changes after revision.
	compacted bool
	// ownConfirmedAt is the last moment up to which a call of this process's own confirmed
	// the view, served that up to which one did whose turn comes before.
	ownConfirmedAt  clock.BootTime
	peerConfirmedAt clock.BootTime
	// behind is set where another process knows of changes that this one missed.
	behind bool
	wakeup chan struct{}
	// onChanges is called with the changes that an own watch brought.
	onChanges func(Changes)
}

// Changes are what a watch brought beyond a revision.
type Changes struct {
	After  int64
	Events store.Events
	// SinceRecovery is how long ago the store came back, by who tells this; 0 where it
	// was always there. Entries that vanish then may only have lapsed.
	SinceRecovery time.Duration
}

// Confirmation is what a process says of its view: that it has all changes up to
// a revision, and how long ago it was complete.
type Confirmation struct {
	Revision      int64
	Age           time.Duration
	SinceRecovery time.Duration
}

// OnChanges has called told with the changes that this process's own watches bring.
// It is set before the follower runs.
func (f *Follower) OnChanges(notify func(Changes)) {
	f.onChanges = notify
}

// maxConfirmationAge is for how long a call of its own lets a process confirm the view to
// others: beyond it, it has left the watching to them.
const maxConfirmationAge = 2 * time.Second

// Confirmation returns what this process can confirm to the others by its own
// calls; ok is false where that is nothing.
func (f *Follower) Confirmation() (c Confirmation, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c = Confirmation{Revision: f.revision, Age: f.ownConfirmedAt.Since(), SinceRecovery: f.sinceRecoveryOrZero()}
	return c, f.listed.Load() && f.ownConfirmedAt != 0 && c.Age < maxConfirmationAge
}

// sinceRecoveryOrZero returns how long ago the store came back; 0 where it was always there.
func (f *Follower) sinceRecoveryOrZero() time.Duration {
	since, ok := f.SinceRecovery()
	if !ok {
		return 0
	}
	return max(since, 1)
}

// ReceiveChanges takes changes that another process's watch brought. Where this one lacks
// some before them it will ask the store itself; while it lists, it takes none, as
// the listing may be older than they are.
func (f *Follower) ReceiveChanges(c Changes) {
	if !f.listed.Load() || f.isCompacted() {
		return
	}
	f.receiveRecovery(c.SinceRecovery)
	if c.After > f.currentRevision() {
		f.requestWatch()
		return
	}
	f.apply(c.Events.Events, c.Events.Revision)
}

// ReceiveConfirmation takes another process's confirmation that was given after a
// moment of this process's clock: whatever happened to it on its way, the view was
// complete its age before that moment. before is set where the other one's turn to
// watch comes before this one's.
func (f *Follower) ReceiveConfirmation(c Confirmation, sentAfter clock.BootTime, senderRanksBefore bool) {
	if !f.listed.Load() {
		return
	}
	f.receiveRecovery(c.SinceRecovery)
	if c.Revision > f.currentRevision() {
		f.requestWatch()
		return
	}
	completeAt := sentAfter.Add(-c.Age)
	f.markReachable()
	f.mu.Lock()
	defer f.mu.Unlock()
	if senderRanksBefore && completeAt > f.peerConfirmedAt {
		f.peerConfirmedAt = completeAt
	}
	f.advanceConfirmed(completeAt)
}

// receiveRecovery takes another process's word on when the store came back.
func (f *Follower) receiveRecovery(since time.Duration) {
	if since <= 0 {
		return
	}
	if at := int64(clock.Now().Add(-since)); at > f.recoveredAt.Load() {
		f.recoveredAt.Store(at)
	}
}

// Reason is why a process watches the store itself; each is a label of the counter
// of watches.
type Reason string

// The reasons for a watch.
const (
	// ReasonFirstInRank: it watches for the others, or there are none.
	ReasonFirstInRank Reason = "turn"
	// ReasonBehind: another process knows of changes that this one lacks.
	ReasonBehind Reason = "behind"
	// ReasonPeersSilent: nobody whose turn comes before has confirmed the view for too long.
	ReasonPeersSilent Reason = "unheard"
)

// untilWatch returns for how long this process may go on without a call of its own, and
// where that is over, why.
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
	case f.behind || f.compacted:
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

// peerRetryDelay returns for how long a process that could not reach the store leaves
// trying to those whose turn comes before. Refused calls are paid for too: with a
// store that is away for eight seconds, a hundred entries that each try by
// themselves make three thousand. Whoever reaches it first tells the others.
func (f *Follower) peerRetryDelay() time.Duration {
	if !f.listed.Load() || f.options.PeerTimeout == nil {
		return 0
	}
	return f.options.PeerTimeout()
}

// wait waits for d, or until there is something that others know.
func (f *Follower) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wakeup:
	case <-ctx.Done():
	}
}

// requestWatch has the store asked, as another process knows more.
func (f *Follower) requestWatch() {
	f.mu.Lock()
	f.behind = true
	f.mu.Unlock()
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

func (f *Follower) currentRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// apply passes those changes on that are news, up to a revision.
func (f *Follower) apply(events []store.Event, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var unapplied []store.Event
	for _, e := range events {
		if e.Revision > f.revision {
			unapplied = append(unapplied, e)
		}
	}
	f.revision = max(f.revision, revision)
	if len(unapplied) > 0 {
		f.handler.Apply(unapplied)
	}
}

// confirmOwn notes that a call of this process's own confirmed the view.
func (f *Follower) confirmOwn(completeAt clock.BootTime) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownConfirmedAt, f.behind = completeAt, false
	f.advanceConfirmed(completeAt)
}

// advanceConfirmed notes that the view is complete up to a moment; the caller holds mu.
func (f *Follower) advanceConfirmed(completeAt clock.BootTime) {
	if int64(completeAt) > f.confirmedAt.Load() {
		f.confirmedAt.Store(int64(completeAt))
	}
}

// markCompacted notes that the store no longer has the changes that come next.
func (f *Follower) markCompacted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.compacted = true
}

func (f *Follower) isCompacted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.compacted
}
