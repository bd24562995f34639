// Package follow keeps a process's view current with what lies in the
// platform's store: it lists once, then watches, lists anew where history was
// lost, and knows how old its knowledge is.
package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// Handler takes what was read.
type Handler interface {
	// Reset replaces everything known by a listing of the given revision.
	Reset(entries []store.Entry, revision int64)
	// Apply takes changes in their order.
	Apply(events []store.Event)
}

// Options bounds the watching.
type Options struct {
	// WatchTimeout is how long the store holds a watch back without news. The view is
	// confirmed once in this time.
	WatchTimeout time.Duration
	// BatchDelay is the pause after news before the next watch, so that changes
	// that come together cost one call.
	BatchDelay time.Duration
	// PeerTimeout, where set, returns for how long the process lives on what others
	// confirmed before it calls the store itself; 0 is not at all.
	PeerTimeout func() time.Duration
	// OnWatch, where set, is told why each watch is made.
	OnWatch func(Reason)
}

// Follower follows the keys below a prefix. Its methods may be called by several
// goroutines.
type Follower struct {
	store   store.Store
	prefix  string
	options Options
	handler Handler
	log     logrus.FieldLogger
	listed  atomic.Bool
	// confirmedAt is a moment up to which the view is known to be complete.
	confirmedAt atomic.Int64
	// unreachableSince is when the store was first not reached, 0 while it is; back is
	// when it last came back.
	unreachableSince atomic.Int64
	recoveredAt      atomic.Int64
	sharedWatch
}

// New returns a follower that has not begun.
func New(s store.Store, prefix string, options Options, handler Handler, log logrus.FieldLogger) *Follower {
	return &Follower{store: s, prefix: prefix, options: options, handler: handler, log: log, sharedWatch: sharedWatch{wakeup: make(chan struct{}, 1)}}
}

// Age returns how long ago the view was last known to be current, on a clock
// that goes on while the machine is suspended. ok is false before the first listing.
func (f *Follower) Age() (age time.Duration, ok bool) {
	if !f.listed.Load() {
		return 0, false
	}
	return clock.BootTime(f.confirmedAt.Load()).Since(), true
}

// SinceRecovery returns how long ago the store came back after it could not be
// reached; ok is false while it was always there or is away.
func (f *Follower) SinceRecovery() (since time.Duration, ok bool) {
	recoveredAt := f.recoveredAt.Load()
	return clock.BootTime(recoveredAt).Since(), recoveredAt != 0 && f.unreachableSince.Load() == 0
}

// Disconnected reports whether the store could not be reached at the last try.
func (f *Follower) Disconnected() bool {
	return f.unreachableSince.Load() != 0
}

// Pauses after a call that failed: short at first, since most failures are one
// lost connection, then bounded, since calls are counted and paid for.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
)

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		idleFor, reason := f.untilWatch()
		if idleFor > 0 {
			f.wait(ctx, idleFor)
			continue
		}
		var err error
		if f.listed.Load() && !f.isCompacted() {
			f.countWatch(reason)
			err = f.watch(ctx)
		} else {
			err = f.list(ctx)
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

func (f *Follower) list(ctx context.Context) error {
	began := clock.Now()
	listing, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.handler.Reset(listing.Entries, listing.Revision)
	f.revision, f.compacted = listing.Revision, false
	f.mu.Unlock()
	f.confirmOwn(began)
	f.listed.Store(true)
	f.log.WithFields(logrus.Fields{"event": "listed", "revision": listing.Revision, "keys": len(listing.Entries)}).Info("the store was read whole")
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	began := clock.Now()
	after := f.currentRevision()
	events, err := f.store.Watch(ctx, f.prefix, after, f.options.WatchTimeout)
	if err != nil {
		return err
	}
	if events.Compacted {
		f.markCompacted()
		f.log.WithFields(logrus.Fields{"event": "history_lost", "revision": after}).Warn("the store dropped its history; listing again")
		return nil
	}
	f.markReachable()
	if len(events.Events) > 0 && f.onChanges != nil {
		// Told before the view has them: a confirmation with their revision must
		// find them told already, or all who hear it would ask the store.
		f.onChanges(Changes{After: after, Events: events, SinceRecovery: f.sinceRecoveryOrZero()})
	}
	f.apply(events.Events, events.Revision)
	// The answer says what was new after the call arrived, so the call's
	// beginning is a moment up to which the view is complete.
	f.confirmOwn(began)
	if len(events.Events) > 0 {
		clock.Sleep(ctx, f.options.BatchDelay)
	}
	return nil
}

func (f *Follower) markReachable() {
	if f.unreachableSince.Swap(0) != 0 {
		f.recoveredAt.Store(int64(clock.Now()))
		f.log.WithField("event", "store_back").Info("the store answers again")
	}
}

func (f *Follower) markUnreachable(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.unreachableSince.CompareAndSwap(0, int64(clock.Now())) {
		f.log.WithError(err).WithField("event", "store_lost").Warn("the store can't be reached; what is known serves on")
	}
}
