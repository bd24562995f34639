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

// watchShare lets the members of a group share one watch of the platform's store; with a watch
// each, the store would answer as many calls a second as there are nodes. The member that
// calls the store sends the changes it receives and, in each update, the revision up to which
// its view was complete and how long ago.
//
// A datagram may be delayed without bound, and its sender may have been suspended before
// sending it. Each update therefore carries a timestamp of its sender's clock, and a
// confirmation echoes the last timestamp received from each member. The confirmation was made
// after that timestamp, so a member counts its age from there.
type watchShare struct {
	// self is the hash of this node's name.
	self uint64

	mu sync.Mutex
	// changes wait to be sent.
	changes []follow.Changes
	// timestamps are the last ones received, by the hash of the member's name.
	timestamps map[uint64]peerTimestamp
}

type peerTimestamp struct {
	clock uint64
	at    time.Time
}

func newWatchShare(self uint64) watchShare {
	return watchShare{self: self, timestamps: map[uint64]peerTimestamp{}}
}

// Bounds of the shared watch.
const (
	// maxSharedBytes bounds the changes of one watch that are sent to the group; what is
	// larger, such as a whole configuration, each member reads from the store. Sending this
	// much to 24 members occupies a 20 Mbit/s link for a quarter of a second.
	maxSharedBytes = 24 << 10
	// changeOverhead is the approximate encoded size of a change without its key and value.
	changeOverhead = 16
	// peerTimeoutBase is how long a node relies on confirmations of the first member in rank
	// before it calls the store itself: two watches, the batch delay and three update
	// intervals.
	peerTimeoutBase = 1500 * time.Millisecond
	// peerTimeoutStep is how much longer each further member waits, so that they take over the
	// watch one after the other; peerTimeoutMax keeps the wait below the age at which API keys
	// are no longer trusted.
	peerTimeoutStep = 50 * time.Millisecond
	peerTimeoutMax  = 2400 * time.Millisecond
	// timestampValidity is how long a member's timestamp is echoed.
	timestampValidity = 2 * time.Second
)

// peerTimeoutAt returns how long a node relies on the confirmations of the members that rank
// before it.
func peerTimeoutAt(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return min(peerTimeoutMax, peerTimeoutBase+time.Duration(rank)*peerTimeoutStep)
}

// peerTimeout implements follow.Options.PeerTimeout.
func (v *view) peerTimeout() time.Duration {
	p := v.plan()
	if !p.Joined {
		return 0
	}
	return peerTimeoutAt(p.Rank)
}

// shareChanges queues the changes that this node's watch returned and has them sent at once.
func (p *peerExchange) shareChanges(c follow.Changes) {
	if p.fleet.Disabled(policy.SharedWatch) {
		return
	}
	pieces, ok := splitChanges(p.view.withoutStreamRecords(c))
	if !ok {
		return
	}
	for i := range pieces {
		pieces[i].Digest, _ = p.view.follower.DigestAt(pieces[i].After) // 0 if it is not known
	}
	p.watch.mu.Lock()
	p.watch.changes = append(p.watch.changes, pieces...)
	p.watch.mu.Unlock()
	p.sendSoon()
}

// splitChanges divides changes into pieces that fit one packet each, unless a single value is
// larger; ok is false if the changes are not to be shared. Each piece begins at the revision
// where the previous one ends, so that a member that missed one detects the gap. Changes of
// one revision stay together.
func splitChanges(c follow.Changes) (pieces []follow.Changes, ok bool) {
	total, size := 0, 0
	piece := follow.Changes{After: c.After, SinceRecovery: c.SinceRecovery}
	for i, e := range c.Events.Events {
		bytes := len(e.Key) + len(e.Value) + changeOverhead
		if total += bytes; e.DecodeErr != nil || total > maxSharedBytes {
			return nil, false
		}
		if i > 0 && size+bytes > pulses.DatagramBytes && e.Revision > piece.Events.Revision {
			pieces = append(pieces, piece)
			piece, size = follow.Changes{After: piece.Events.Revision.Revision(), SinceRecovery: c.SinceRecovery}, 0
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

// recordTimestamp stores a member's timestamp.
func (w *watchShare) recordTimestamp(sender string, clock uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hash := prefix.NameHash(sender)
	if m := w.timestamps[hash]; clock > m.clock {
		w.timestamps[hash] = peerTimestamp{clock: clock, at: now}
	}
	for other, m := range w.timestamps {
		if now.Sub(m.at) > timestampValidity {
			delete(w.timestamps, other)
		}
	}
}

// storeView returns this node's confirmation of its view of the store, or nil. The timestamps
// are copied before the age is computed, so that the confirmation is later than each of them.
func (p *peerExchange) storeView() *keelv1.StoreView {
	if p.view.follower == nil || p.fleet.Disabled(policy.SharedWatch) {
		return nil
	}
	out := &keelv1.StoreView{}
	p.watch.mu.Lock()
	for hash, m := range p.watch.timestamps {
		out.Member = append(out.Member, hash)
		out.HeardUs = append(out.HeardUs, m.clock)
	}
	p.watch.mu.Unlock()
	c, ok := p.view.follower.Confirmation()
	if !ok {
		return nil
	}
	out.Revision, out.Digest, out.AgeUs, out.BackUs = c.Revision, c.Digest, pulses.Micros(c.Age), pulses.Micros(c.SinceRecovery)
	return out
}

// receiveStore applies a member's changes and confirmation of the store.
func (p *peerExchange) receiveStore(message *keelv1.Pulse) {
	if message.MarkUs > 0 {
		p.watch.recordTimestamp(message.Sender, message.MarkUs, time.Now())
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
		c := follow.Confirmation{Revision: message.View.Revision, Digest: message.View.Digest, Age: pulses.FromMicros(message.View.AgeUs), SinceRecovery: pulses.FromMicros(message.View.BackUs)}
		after := clock.BootTime(pulses.FromMicros(message.View.HeardUs[i]))
		p.view.follower.ReceiveConfirmation(c, after, plan.RanksBefore(p.view.keys.members+message.Sender))
	}
}

func encodeChanges(c follow.Changes) *keelv1.StoreChanges {
	w := &keelv1.StoreChanges{After: c.After, Digest: c.Digest, Revision: c.Events.Revision.Revision(), BackUs: pulses.Micros(c.SinceRecovery)}
	for _, e := range c.Events.Events {
		w.Events = append(w.Events, &keelv1.StoreChange{Key: e.Key, Value: e.Value, Revision: e.Revision.Revision(), Deleted: e.Deleted})
	}
	return w
}

// sendChanges sends changes of the store to the peers.
func (p *peerExchange) sendChanges(all []follow.Changes, addresses []string) {
	for _, c := range all {
		datagram, err := pulses.Encode(&keelv1.Pulse{Sender: p.name, Changes: []*keelv1.StoreChanges{encodeChanges(c)}})
		if err != nil {
			p.log.WithError(err).WithField("event", "changes_untold").Error("could not encode changes of the store; the peers read them from the store")
			return
		}
		p.sendTo(addresses, datagram)
	}
}

func decodeChanges(w *keelv1.StoreChanges) follow.Changes {
	c := follow.Changes{After: w.After, Digest: w.Digest, Events: store.Events{Revision: store.At(0, w.Revision)}, SinceRecovery: pulses.FromMicros(w.BackUs)}
	for _, e := range w.Events {
		c.Events.Events = append(c.Events.Events, store.Event{Entry: store.Entry{Key: e.Key, Value: e.Value, Revision: store.At(0, e.Revision)}, Deleted: e.Deleted})
	}
	return c
}
