package node

import (
	"sync"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/clock"
	"acaciakeel/follow"
	"acaciakeel/policy"
	"acaciakeel/prefix"
	"acaciakeel/pulses"
	"acaciakeel/store"
)

// watchShare is by what the members of a group share one watch of the platform's
// store. Whoever calls the store tells its changes and, in each pulse, up to where
// and how long ago its view was complete. A datagram may be late by any time, and
// its sender may have been frozen before it went: so each pulse bears a mark of its
// sender's clock, and a confirmation the last mark heard of each member. It was
// made after that mark, whatever has happened since, and counts from there. A watch
// each would have the store answer as many calls a second as there are nodes.
type watchShare struct {
	// self is the hash of this node's name.
	self uint64

	mu sync.Mutex
	// changes wait to be told.
	changes []follow.Changes
	// marks are the last of each member, by the hash of its name.
	marks map[uint64]mark
}

type mark struct {
	clock uint64
	at    time.Time
}

func newWatchShare(self uint64) watchShare {
	return watchShare{self: self, marks: map[uint64]mark{}}
}

// Figures of the shared watch.
const (
	// changesMost is how many bytes of changes of one watch are told; what is larger,
	// such as a whole configuration, each member reads itself: to 24 others this much
	// takes a link of 20 Mbit/s for a quarter of a second.
	changesMost = 24 << 10
	// changeBytes is about what a change takes beside its key and value.
	changeBytes = 16
	// patienceFirst is for how long a node lives on what the member first in turn
	// confirmed: two of its watches, the gathering of news and three pulses.
	patienceFirst = 1500 * time.Millisecond
	// patienceStep is how much longer each further one waits, so that one after the
	// other takes the watch over; patienceMost bounds it below the age at which
	// keys are no longer trusted.
	patienceStep = 50 * time.Millisecond
	patienceMost = 2400 * time.Millisecond
	// markValid is for how long a member's mark is repeated.
	markValid = 2 * time.Second
)

// patienceAt returns for how long a node with so many members of its group before it
// waits for their word.
func patienceAt(turn int) time.Duration {
	if turn == 0 {
		return 0
	}
	return min(patienceMost, patienceFirst+time.Duration(turn)*patienceStep)
}

// patience implements follow.Timing.Patience.
func (v *view) patience() time.Duration {
	p := v.plan()
	if !p.Joined {
		return 0
	}
	return patienceAt(p.Rank)
}

// watched takes changes that an own watch brought, to be told at once.
func (p *pulse) watched(c follow.Changes) {
	if p.fleet.Disabled(policy.SharedWatch) {
		return
	}
	pieces, ok := divideChanges(c)
	if !ok {
		return
	}
	p.watch.mu.Lock()
	p.watch.changes = append(p.watch.changes, pieces...)
	p.watch.mu.Unlock()
	p.soon()
}

// divideChanges divides changes into pieces of which each fits a packet, if no
// single value is larger; ok is false where they are not to be told. Each piece
// begins where the one before it ends, so who misses one knows by the next. Changes
// of one revision stay together.
func divideChanges(c follow.Changes) (pieces []follow.Changes, ok bool) {
	total, size := 0, 0
	piece := follow.Changes{After: c.After, SinceRecovery: c.SinceRecovery}
	for i, e := range c.Events.Events {
		bytes := len(e.Key) + len(e.Value) + changeBytes
		if total += bytes; e.DecodeErr != nil || total > changesMost {
			return nil, false
		}
		if i > 0 && size+bytes > pulses.DatagramBytes && e.Revision > piece.Events.Revision {
			pieces = append(pieces, piece)
			piece, size = follow.Changes{After: piece.Events.Revision, SinceRecovery: c.SinceRecovery}, 0
		}
		piece.Events.Events = append(piece.Events.Events, e)
		piece.Events.Revision = e.Revision
		size += bytes
	}
	piece.Events.Revision = max(piece.Events.Revision, c.Events.Revision)
	return append(pieces, piece), true
}

func (w *watchShare) takeChanges() []follow.Changes {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.changes
	w.changes = nil
	return out
}

// heardMark notes a member's mark.
func (w *watchShare) heardMark(sender string, clock uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hash := prefix.NameHash(sender)
	if m := w.marks[hash]; clock > m.clock {
		w.marks[hash] = mark{clock: clock, at: now}
	}
	for other, m := range w.marks {
		if now.Sub(m.at) > markValid {
			delete(w.marks, other)
		}
	}
}

// storeView returns what this node confirms of the store, or nil. The marks are
// taken before the age is worked out.
func (p *pulse) storeView() *keelv1.StoreView {
	if p.view.follower == nil || p.fleet.Disabled(policy.SharedWatch) {
		return nil
	}
	out := &keelv1.StoreView{}
	p.watch.mu.Lock()
	for hash, m := range p.watch.marks {
		out.Member = append(out.Member, hash)
		out.HeardUs = append(out.HeardUs, m.clock)
	}
	p.watch.mu.Unlock()
	c, ok := p.view.follower.Confirmation()
	if !ok {
		return nil
	}
	out.Revision, out.AgeUs, out.BackUs = c.Revision, pulses.Micros(c.Age), pulses.Micros(c.SinceRecovery)
	return out
}

// takeStore takes what a member tells of the store.
func (p *pulse) takeStore(message *keelv1.Pulse) {
	if message.MarkUs > 0 {
		p.watch.heardMark(message.Sender, message.MarkUs, time.Now())
	}
	if p.view.follower == nil || p.fleet.Disabled(policy.SharedWatch) {
		return
	}
	for _, c := range message.Changes {
		p.view.follower.ReceiveChanges(decodeChanges(c))
	}
	if message.View == nil {
		return
	}
	plan := p.view.plan()
	for i, hash := range message.View.Member {
		if hash != p.watch.self || i >= len(message.View.HeardUs) {
			continue
		}
		c := follow.Confirmation{Revision: message.View.Revision, Age: pulses.FromMicros(message.View.AgeUs), SinceRecovery: pulses.FromMicros(message.View.BackUs)}
		after := clock.BootTime(pulses.FromMicros(message.View.HeardUs[i]))
		p.view.follower.ReceiveConfirmation(c, after, plan.RanksBefore(p.view.keys.members+message.Sender))
	}
}

func encodeChanges(c follow.Changes) *keelv1.StoreChanges {
	w := &keelv1.StoreChanges{After: c.After, Revision: c.Events.Revision, BackUs: pulses.Micros(c.SinceRecovery)}
	for _, e := range c.Events.Events {
		w.Events = append(w.Events, &keelv1.StoreChange{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
	}
	return w
}

// tellChanges tells the peers of changes of the store.
func (p *pulse) tellChanges(all []follow.Changes, addresses []string) {
	for _, c := range all {
		datagram, err := pulses.Encode(&keelv1.Pulse{Sender: p.name, Changes: []*keelv1.StoreChanges{encodeChanges(c)}})
		if err != nil {
			p.log.WithError(err).WithField("event", "changes_untold").Error("the others of the group read the store themselves")
			return
		}
		p.sendTo(addresses, datagram)
	}
}

func decodeChanges(w *keelv1.StoreChanges) follow.Changes {
	c := follow.Changes{After: w.After, Events: store.Events{Revision: w.Revision}, SinceRecovery: pulses.FromMicros(w.BackUs)}
	for _, e := range w.Events {
		c.Events.Events = append(c.Events.Events, store.Event{Entry: store.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}, Deleted: e.Deleted})
	}
	return c
}
