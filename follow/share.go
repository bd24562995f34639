package follow

import (
	"context"
	"sync"
	"time"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// shared is the part of a follower by which processes share one watch: one of them
// calls the store and tells the others, who call only when they have heard nothing
// for a while, or missed a change. What each knows, and how old that is at most, is
// the same as with a watch of its own, at one call in place of many: with a watch
// each, 103 processes made 4.3 calls a second each.
type shared struct {
	mu sync.Mutex
	// revision is up to where the view has all changes.
	revision int64
	// lost is set while the store no longer has the changes after revision.
	lost bool
	// direct is the last moment up to which a call of this process's own confirmed
	// the view, served that up to which one did whose turn comes before.
	direct clock.BootTime
	served clock.BootTime
	// behind is set where another process knows of changes that this one missed.
	behind bool
	woken  chan struct{}
	// told is called with the changes that an own watch brought.
	told func(Changes)
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
func (f *Follower) OnChanges(told func(Changes)) {
	f.told = told
}

// confirmedFor is for how long a call of its own lets a process confirm the view to
// others: beyond it, it has left the watching to them.
const confirmedFor = 2 * time.Second

// Confirmation returns what this process can confirm to the others by its own
// calls; ok is false where that is nothing.
func (f *Follower) Confirmation() (c Confirmation, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c = Confirmation{Revision: f.revision, Age: f.direct.Since(), SinceRecovery: f.sinceBack()}
	return c, f.listed.Load() && f.direct != 0 && c.Age < confirmedFor
}

// sinceBack returns how long ago the store came back; 0 where it was always there.
func (f *Follower) sinceBack() time.Duration {
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
	if !f.listed.Load() || f.forgotten() {
		return
	}
	f.heardBack(c.SinceRecovery)
	if c.After > f.at() {
		f.wake()
		return
	}
	f.apply(c.Events.Events, c.Events.Revision)
}

// ReceiveConfirmation takes another process's confirmation that was given after a
// moment of this process's clock: whatever happened to it on its way, the view was
// complete its age before that moment. before is set where the other one's turn to
// watch comes before this one's.
func (f *Follower) ReceiveConfirmation(c Confirmation, after clock.BootTime, before bool) {
	if !f.listed.Load() {
		return
	}
	f.heardBack(c.SinceRecovery)
	if c.Revision > f.at() {
		f.wake()
		return
	}
	moment := after.Add(-c.Age)
	f.reached()
	f.mu.Lock()
	defer f.mu.Unlock()
	if before && moment > f.served {
		f.served = moment
	}
	f.advance(moment)
}

// heardBack takes another process's word on when the store came back.
func (f *Follower) heardBack(since time.Duration) {
	if since <= 0 {
		return
	}
	if at := int64(clock.Now().Add(-since)); at > f.back.Load() {
		f.back.Store(at)
	}
}

// Reason is why a process watches the store itself; each is a label of the counter
// of watches.
type Reason string

// The reasons for a watch.
const (
	// Turn: it watches for the others, or there are none.
	Turn Reason = "turn"
	// Behind: another process knows of changes that this one lacks.
	Behind Reason = "behind"
	// Unheard: nobody whose turn comes before has confirmed the view for too long.
	Unheard Reason = "unheard"
)

// rest returns for how long this process may go on without a call of its own, and
// where that is over, why.
func (f *Follower) rest() (time.Duration, Reason) {
	if !f.listed.Load() || f.timing.PeerTimeout == nil {
		return 0, Turn
	}
	patience := f.timing.PeerTimeout()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case patience == 0:
		return 0, Turn
	case f.behind || f.lost:
		return 0, Behind
	case f.served == 0:
		return 0, Unheard
	}
	return patience - f.served.Since(), Unheard
}

func (f *Follower) count(r Reason) {
	if f.timing.OnWatch != nil {
		f.timing.OnWatch(r)
	}
}

// leftToOthers returns for how long a process that could not reach the store leaves
// trying to those whose turn comes before. Refused calls are paid for too: with a
// store that is away for eight seconds, a hundred entries that each try by
// themselves make three thousand. Whoever reaches it first tells the others.
func (f *Follower) leftToOthers() time.Duration {
	if !f.listed.Load() || f.timing.PeerTimeout == nil {
		return 0
	}
	return f.timing.PeerTimeout()
}

// idle waits for d, or until there is something that others know.
func (f *Follower) idle(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.woken:
	case <-ctx.Done():
	}
}

// wake has the store asked, as another process knows more.
func (f *Follower) wake() {
	f.mu.Lock()
	f.behind = true
	f.mu.Unlock()
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

func (f *Follower) at() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// apply passes those changes on that are news, up to a revision.
func (f *Follower) apply(events []store.Event, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []store.Event
	for _, e := range events {
		if e.Revision > f.revision {
			news = append(news, e)
		}
	}
	f.revision = max(f.revision, revision)
	if len(news) > 0 {
		f.target.Apply(news)
	}
}

// confirm notes that a call of this process's own confirmed the view.
func (f *Follower) confirm(moment clock.BootTime) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct, f.behind = moment, false
	f.advance(moment)
}

// advance notes that the view is complete up to a moment; the caller holds mu.
func (f *Follower) advance(moment clock.BootTime) {
	if int64(moment) > f.checked.Load() {
		f.checked.Store(int64(moment))
	}
}

// forget notes that the store no longer has the changes that come next.
func (f *Follower) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = true
}

func (f *Follower) forgotten() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}
