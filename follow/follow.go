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

// Target takes what was read.
type Target interface {
	// Reset replaces everything known by a listing of the given revision.
	Reset(entries []store.Entry, revision int64)
	// Apply takes changes in their order.
	Apply(events []store.Event)
}

// Timing bounds the watching.
type Timing struct {
	// Wait is how long the store holds a watch back without news. The view is
	// confirmed once in this time.
	Wait time.Duration
	// Gather is the pause after news before the next watch, so that changes
	// that come together cost one call.
	Gather time.Duration
}

// Follower follows the keys below a prefix.
type Follower struct {
	store   store.Store
	prefix  string
	timing  Timing
	target  Target
	log     logrus.FieldLogger
	listed  atomic.Bool
	checked atomic.Int64
	// lostAt is when the store was first not reached, 0 while it is; back is
	// when it last came back.
	lostAt atomic.Int64
	back   atomic.Int64
}

// New returns a follower that has not begun.
func New(s store.Store, prefix string, t Timing, target Target, log logrus.FieldLogger) *Follower {
	return &Follower{store: s, prefix: prefix, timing: t, target: target, log: log}
}

// Age returns how long ago the view was last known to be current, on a clock
// that goes on while the machine is suspended. ok is false before the first listing.
func (f *Follower) Age() (age time.Duration, ok bool) {
	if !f.listed.Load() {
		return 0, false
	}
	return clock.Boot(f.checked.Load()).Since(), true
}

// SinceBack returns how long ago the store came back after it could not be
// reached; ok is false while it was always there or is away.
func (f *Follower) SinceBack() (since time.Duration, ok bool) {
	back := f.back.Load()
	return clock.Boot(back).Since(), back != 0 && f.lostAt.Load() == 0
}

// Away reports whether the store could not be reached at the last try.
func (f *Follower) Away() bool {
	return f.lostAt.Load() != 0
}

// Pauses after a call that failed: short at first, since most failures are one
// lost connection, then bounded, since calls are counted and paid for.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	revision, listed := int64(0), false
	for ctx.Err() == nil {
		var err error
		if listed {
			revision, listed, err = f.watch(ctx, revision)
		} else {
			revision, err = f.list(ctx)
			listed = err == nil
		}
		if err == nil {
			pause = firstPause
			f.reached()
			continue
		}
		f.missed(ctx, err)
		clock.Sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

func (f *Follower) list(ctx context.Context) (int64, error) {
	began := clock.Now()
	listing, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	f.target.Reset(listing.Entries, listing.Revision)
	f.checked.Store(int64(began))
	f.listed.Store(true)
	f.log.WithFields(logrus.Fields{"event": "listed", "revision": listing.Revision, "keys": len(listing.Entries)}).Info("the store was read whole")
	return listing.Revision, nil
}

func (f *Follower) watch(ctx context.Context, after int64) (int64, bool, error) {
	began := clock.Now()
	events, err := f.store.Watch(ctx, f.prefix, after, f.timing.Wait)
	if err != nil {
		return after, true, err
	}
	if events.Compacted {
		f.log.WithFields(logrus.Fields{"event": "history_lost", "revision": after}).Warn("the store dropped its history; listing again")
		return after, false, nil
	}
	// The answer says what was new after the call arrived, so the call's
	// beginning is a moment up to which the view is complete.
	f.checked.Store(int64(began))
	if len(events.Events) > 0 {
		f.target.Apply(events.Events)
		clock.Sleep(ctx, f.timing.Gather)
	}
	return max(after, events.Revision), true, nil
}

func (f *Follower) reached() {
	if f.lostAt.Swap(0) != 0 {
		f.back.Store(int64(clock.Now()))
		f.log.WithField("event", "store_back").Info("the store answers again")
	}
}

func (f *Follower) missed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.lostAt.CompareAndSwap(0, int64(clock.Now())) {
		f.log.WithError(err).WithField("event", "store_lost").Warn("the store can't be reached; what is known serves on")
	}
}
