package rollout

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// restoreState is what a lock knows of the store's histories, and of holds by other
// processes whose end it cannot see. The lock's mutex guards it.
type restoreState struct {
	// number is that of the latest known history of the store; unlisted is set until the
	// state of the key in it has been observed.
	number   int
	unlisted bool
	// unbrokenRevision is the revision of the entry with which this process held the lock until
	// the history was replaced; 0 if it did not.
	unbrokenRevision int64
	// waitUntil is until when the lock is not tried because of waitReason.
	waitUntil  clock.BootTime
	waitReason AcquireBlocker
	// deadSince is since when the process of the known holder is known not to run; 0 if it
	// is not known.
	deadSince clock.BootTime
	// entries are the latest entries that were observed, the latest one last.
	entries []lockEntry
	// replacing is set if the latest attempt replaces the entry of another process.
	replacing bool
	// ordersFrom is from when on the present hold allows orders.
	ordersFrom clock.BootTime
}

// lockEntry is an entry of the key.
type lockEntry struct {
	holder   string
	revision int64
}

// maxEntries is how many entries are remembered.
const maxEntries = 64

// rememberEntry records an entry that was observed, and whether it came back from an older
// copy of the store; the caller holds mu.
func (l *LeaderLock) rememberEntry(holder string, position store.Position) {
	entry := lockEntry{holder: holder, revision: position.Revision()}
	if holder == "" {
		return
	}
	if slices.Contains(l.entries, entry) {
		l.state.cameBack = l.unlisted
		return
	}
	l.entries = append(l.entries[max(0, len(l.entries)-maxEntries+1):], entry)
}

// SetHolderAlive sets the function that reports whether the process of a holder's name is
// known to run. It must be called before the lock is used.
func (l *LeaderLock) SetHolderAlive(alive func(name string) bool) {
	l.holderAlive = alive
}

// ObserveAbsent records that a listing at a position of the store does not have the key.
// Unlike the deletion of the key it does not show that a holder's lease has ended: the
// store may have come back from an older copy.
func (l *LeaderLock) ObserveAbsent(position store.Position) {
	l.mu.Lock()
	if l.enterHistory(position) && !l.precedesHold(position) {
		l.waitIfHolderVanished()
	}
	l.mu.Unlock()
	l.Observe("", position)
}

// enterHistory reports whether a position is in the latest known history of the store. If
// it is in a later one, the store has come back from an older copy: a hold has ended, and
// nobody can tell whether a holder of the former history has noticed that. Its hold lasts
// for at most a lease's TTL from the latest confirmation, which was before the restore.
// The caller holds mu.
func (l *LeaderLock) enterHistory(position store.Position) bool {
	if position.History() <= l.number {
		return position.History() == l.number
	}
	l.number = position.History()
	before, token := l.state, l.token
	l.unlisted, l.unbrokenRevision = true, 0
	if l.recordedHold() && l.underLease() && l.session.Valid() {
		l.unbrokenRevision = before.revision.Revision()
	}
	l.apply(ownerNone, store.At(l.number, 0), "")
	// Entries of this process were written in the former history or under its leases.
	l.leaseID = ""
	l.wait(HistoryReplaced)
	if l.history != nil {
		l.history.enterHistory()
	}
	l.log.WithFields(logrus.Fields{
		"event": "seat_history_replaced", "history": l.number, "before": before, "fence": token, "wait_ms": l.session.TTL().Milliseconds(),
	}).Warn("the store came back from an older copy; holds of the leader lock have ended, and it is not tried before holders that have not noticed must have stopped")
	return true
}

// recordedHold reports whether this process holds the lock and has recorded that; the caller
// holds mu. The entry of a hold that is not recorded may have been written in a later history
// than this process knew, by a call whose response was lost.
func (l *LeaderLock) recordedHold() bool {
	return l.history != nil && l.token != 0 && l.history.recorded == l.token
}

// continues reports whether the known entry is that with which this process held the lock
// until the history was replaced; the caller holds mu. Nobody else held it in the former
// history then, nor in this one since, so that its entry may be replaced at once.
func (l *LeaderLock) continues() bool {
	return l.state.owner == ownerFormer && l.state.listed && l.state.revision.Revision() == l.unbrokenRevision
}

// wait has the lock not be tried until a hold that ends now unnoticed by its holder has
// expired; the caller holds mu.
func (l *LeaderLock) wait(reason AcquireBlocker) {
	l.waitUntil, l.waitReason = l.now().Add(l.session.TTL()), reason
}

// waitIfHolderVanished is called before the key is recorded as absent although its
// deletion was not observed; the caller holds mu.
func (l *LeaderLock) waitIfHolderVanished() {
	if l.state.owner == ownerOther && l.holder != l.name {
		l.wait(HolderVanished)
	}
}

// startHold sets from when on the hold that begins now allows orders; the caller holds mu.
// A holder whose entry was replaced may have confirmed its hold until now. So may one whose
// entry a hold replaced that this one continues, which is why the time never falls.
func (l *LeaderLock) startHold(now clock.BootTime) {
	l.ordersFrom = max(l.ordersFrom, now)
	if !l.replacing {
		return
	}
	l.ordersFrom = now.Add(l.session.TTL())
	if l.lostAt != 0 {
		l.ordersFrom = max(l.ordersFrom, l.lostAt.Add(l.backoff))
	}
}

// resume continues a hold whose lease was renewed after it may have expired; the caller
// holds mu. If the store came back from an older copy meanwhile, another process may have
// acquired the lock in between, and not have noticed that its hold has ended.
func (l *LeaderLock) resume() {
	l.leaseSince = l.session.Since()
	l.issueToken()
	l.ordersFrom = l.now().Add(l.session.TTL())
	l.log.WithFields(logrus.Fields{"event": "seat_resumed", "fence": l.token, "orders_in_ms": l.ordersIn().Milliseconds()}).Warn("the lease of the leader lock was renewed after it may have expired; no load orders before another holder must have stopped")
}

// ordersIn returns the time until the present hold allows orders; the caller holds mu.
func (l *LeaderLock) ordersIn() time.Duration {
	return max(0, time.Duration(l.ordersFrom-l.now()))
}

// checkHolder records whether the process of the known holder runs.
func (l *LeaderLock) checkHolder() {
	if l.holderAlive == nil {
		return
	}
	l.mu.Lock()
	state, holder := l.state, l.holder
	l.mu.Unlock()
	// Called without the mutex: the function may wait for a lock of its own.
	dead := state.owner == ownerOther && holder != l.name && !l.holderAlive(holder)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !dead:
		l.deadSince = 0
	case l.deadSince == 0 && l.state.sameAs(state):
		l.deadSince = l.now()
	}
}

// deadHolderBound is for how long the process of a holder is known not to run before its
// entry is replaced, if it was seen to run before. It is longer than a planned stop, during
// which a process that is no longer a member may hold the lock.
const deadHolderBound = 10 * time.Second

// mayReplaceHolder reports whether the entry of another process may be replaced; the
// caller holds mu. After a restore an entry whose lease the store does not know never
// ends. A live holder can no longer confirm its hold by the time when orders are given;
// see startHold. One that has noticed the restore has replaced its entry at once; the entry
// of one that acquired the lock after the restore is not among those that came back.
func (l *LeaderLock) mayReplaceHolder() bool {
	if l.holder == l.name {
		return false
	}
	ttl := l.session.TTL()
	if l.deadSince != 0 {
		bound := deadHolderBound
		if l.state.listed {
			bound = ttl
		}
		return l.since(l.deadSince) >= bound
	}
	return l.state.cameBack && l.since(l.state.learnedAt) >= ttl
}
