package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/store"
)

// departureHold is how long a target that was leaving or gone counts as leaving although the store,
// after it came back from an older copy, lists it as ready. A target that leaves writes so again within
// seconds, and the entry of one that is gone expires in that time.
const departureHold = 30 * time.Second

// departedTargets are the targets that were leaving or gone by what the store said before it came back
// from an older copy.
type departedTargets struct {
	mu sync.Mutex
	// firstListed is the position of the first listing after the store came back: what is not later may
	// be of the copy. Zero if the store never did.
	firstListed store.Position
	// departed are the latest departures, by target ID.
	departed map[string]targetDeparture
	// held are the entries of the copy that don't count, by target ID.
	held map[string]store.Position
}

type targetDeparture struct {
	instance fleet.Instance
	at       time.Time
}

// beginListing records the position of a listing that is about to be applied.
func (d *departedTargets) beginListing(at store.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.History() > d.firstListed.History() {
		d.firstListed = at
	}
}

// record records that a target leaves or is gone.
func (d *departedTargets) record(instance fleet.Instance, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.departed == nil {
		d.departed = map[string]targetDeparture{}
	}
	d.departed[instance.ID] = targetDeparture{instance: instance, at: now}
	for id, last := range d.departed {
		if now.Sub(last.at) >= departureHold {
			delete(d.departed, id)
		}
	}
}

// hold reports whether an entry at a position, which lists its target as ready, may be of the copy
// while the target has departed since. Otherwise the target counts as ready from now on.
func (d *departedTargets) hold(r fleet.Target, at store.Position, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.held, r.ID)
	last, ok := d.departed[r.ID]
	ofCopy := d.firstListed != 0 && at <= d.firstListed
	if ok && ofCopy && last.instance == r.Instance() && now.Sub(last.at) < departureHold {
		if d.held == nil {
			d.held = map[string]store.Position{}
		}
		d.held[r.ID] = at
		return true
	}
	delete(d.departed, r.ID)
	return false
}

// forget is called when the entry of a target is removed or says that it leaves.
func (d *departedTargets) forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.held, id)
}

// release calls apply if the entry at a position is still held, which it then is no more. A later
// entry or a removal is applied after that.
func (d *departedTargets) release(id string, at store.Position, apply func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held[id] != at {
		return
	}
	delete(d.held, id)
	delete(d.departed, id)
	apply()
}

// ListingBegins implements platform.StateHandler.
func (v *view) ListingBegins(revision store.Position) {
	v.departedTargets.beginListing(revision)
}

// checkDeparture returns a target's entry as it counts: one of an older copy of the store does not
// bring back a target that has left since.
func (v *view) checkDeparture(r fleet.Target, at store.Position) fleet.Target {
	now := time.Now()
	if r.Draining {
		v.departedTargets.forget(r.ID)
		v.departedTargets.record(r.Instance(), now)
		return r
	}
	if !v.departedTargets.hold(r, at, now) {
		return r
	}
	v.log.WithFields(logrus.Fields{"event": "target_departed", "target": r.ID, "born": r.Born, "revision": at.Revision()}).Warn("an older copy of the store lists a target as ready that has left since; it gets nothing until it writes its entry again")
	ready := r
	time.AfterFunc(departureHold, func() {
		v.departedTargets.release(ready.ID, at, func() { v.putTarget(ready) })
	})
	r.Draining = true
	return r
}
