// Package follow keeps a local view of the keys under a prefix of the platform's store.
// It lists the keys once and then watches for changes, lists them again if the changes
// it needs are gone or may be of another history of the store, and tracks the age of the
// view.
package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// Handler receives the contents of the store.
type Handler interface {
	// Reset replaces the whole view by a listing at the given position. Its history is
	// later than that of all positions before if the store came back from an older copy.
	Reset(entries []store.Entry, revision store.Position)
	// Apply applies changes in their order.
	Apply(events []store.Event)
}

// Options configures a Follower.
type Options struct {
	// WatchTimeout is how long the store holds a watch call open without changes. It is
	// also the interval at which an idle view is confirmed.
	WatchTimeout time.Duration
	// BatchDelay is the pause after a watch that returned changes, so that changes in
	// quick succession are fetched by one call.
	BatchDelay time.Duration
	// PeerTimeout, if set, returns how long the follower relies on its peers'
	// confirmations before it calls the store itself. With 0 it does not rely on them.
	PeerTimeout func() time.Duration
	// OnWatch, if set, is called with the reason for each watch, OnList with that for each
	// listing.
	OnWatch func(Reason)
	OnList  func(ListReason)
	// Unshared, if set, reports whether changes of a key are not sent to peers.
	Unshared func(key string) bool
}

// Follower follows the keys under a prefix. Its methods are safe for concurrent use.
type Follower struct {
	store   store.Store
	prefix  string
	options Options
	handler Handler
	log     logrus.FieldLogger
	listed  atomic.Bool
	// confirmedAt is the latest time at which the view is known to have been complete.
	confirmedAt atomic.Int64
	// unreachableSince is the time of the first of the current run of failed calls, or
	// 0 while the store is reachable, and failedAt that of the latest. recoveredAt is
	// since when the store may have been reachable again.
	unreachableSince atomic.Int64
	failedAt         atomic.Int64
	recoveredAt      atomic.Int64
	sharedWatch
}

// New returns a follower; Run starts it.
func New(s store.Store, prefix string, options Options, handler Handler, log logrus.FieldLogger) *Follower {
	return &Follower{store: s, prefix: prefix, options: options, handler: handler, log: log, sharedWatch: sharedWatch{wakeup: make(chan struct{}, 1), listDue: ListFirst}}
}

// Age returns the time since the view was last known to be current, including time
// during which the VM was suspended. ok is false before the first listing.
func (f *Follower) Age() (age time.Duration, ok bool) {
	if !f.listed.Load() {
		return 0, false
	}
	return clock.BootTime(f.confirmedAt.Load()).Since(), true
}

// SinceRecovery returns the longest time for which the store may have been reachable
// again: since the last call that failed. ok is false if it has never been unreachable or
// is unreachable now.
func (f *Follower) SinceRecovery() (since time.Duration, ok bool) {
	recoveredAt := f.recoveredAt.Load()
	return clock.BootTime(recoveredAt).Since(), recoveredAt != 0 && f.unreachableSince.Load() == 0
}

// Disconnected reports whether the last attempt to reach the store failed.
func (f *Follower) Disconnected() bool {
	return f.unreachableSince.Load() != 0
}

// Pauses after a failed call. The first is short, because most failures are a single
// lost connection. They then double up to maxBackoff, because calls are billed.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
)

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		idleFor, reason := f.untilWatch()
		if idleFor > 0 {
			f.wait(ctx, idleFor)
			continue
		}
		var err error
		if due := f.listingDue(); due != "" {
			err = f.list(ctx, due)
		} else {
			f.countWatch(reason)
			err = f.watch(ctx, reason)
		}
		if err == nil {
			backoff = initialBackoff
			f.markReachable()
			continue
		}
		f.markUnreachable(ctx, err)
		f.wait(ctx, max(backoff, f.peerRetryDelay()))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (f *Follower) list(ctx context.Context, reason ListReason) error {
	began := clock.Now()
	if f.options.OnList != nil {
		f.options.OnList(reason)
	}
	listing, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	if f.contradicted(listing) {
		// The store came back from an older copy and shows no other sign of it.
		if a, ok := f.store.(historyAdvancer); ok {
			a.AdvanceHistory(listing.Revision.History() + 1)
			return nil
		}
	}
	f.reset(listing, began)
	f.confirmOwn(began)
	f.listed.Store(true)
	f.log.WithFields(logrus.Fields{"event": "listed", "reason": reason, "history": listing.Revision.History(), "revision": listing.Revision.Revision(), "keys": len(listing.Entries), "took_ms": began.Since().Milliseconds()}).Info("listed all keys of the store")
	return nil
}

// historyAdvancer is implemented by clients of a store that number its histories.
type historyAdvancer interface {
	AdvanceHistory(number int)
}

func (f *Follower) watch(ctx context.Context, reason Reason) error {
	began := clock.Now()
	after := f.Revision()
	events, err := f.store.Watch(ctx, f.prefix, after, f.options.WatchTimeout)
	if err != nil {
		return err
	}
	// A process whose peers confirm its view learns from them if the changes belong to
	// another history.
	confirmedByPeers := reason == ReasonBehind
	switch {
	case events.Compacted || events.Revision < after:
		f.requireListing(ListHistoryLost)
		f.log.WithFields(logrus.Fields{"event": "history_lost", "revision": after.Revision()}).Warn("the store no longer has the changes after this revision, or they are of another history; listing again")
		return nil
	case events.Reconnected && !confirmedByPeers:
		f.requireListing(ListReconnected)
		return nil
	}
	f.markReachable()
	f.recordChanges(events.Events)
	if len(events.Events) > 0 && f.onChanges != nil {
		// Peers are sent the changes before they are applied here. Otherwise a peer
		// could receive a confirmation of the new revision before the changes, and
		// every peer would call the store.
		f.onChanges(Changes{After: after.Revision(), Events: events, SinceRecovery: f.sinceRecoveryOrZero()})
	}
	f.apply(events.Events, events.Revision)
	if events.Reconnected {
		f.caughtUp()
	} else {
		// The response covers everything up to the arrival of the call, so the view is
		// complete as of the time the call was made.
		f.confirmOwn(began)
	}
	if len(events.Events) > 0 {
		clock.Sleep(ctx, f.options.BatchDelay)
	}
	return nil
}

func (f *Follower) markReachable() {
	if f.unreachableSince.Swap(0) != 0 {
		f.recoveredAt.Store(f.failedAt.Load())
		f.log.WithField("event", "store_back").Info("the store is reachable again")
	}
}

func (f *Follower) markUnreachable(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := int64(clock.Now())
	f.failedAt.Store(now)
	if f.unreachableSince.CompareAndSwap(0, now) {
		f.log.WithError(err).WithField("event", "store_lost").Warn("the store is unreachable; continuing with the last known view")
	}
}
