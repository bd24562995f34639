package node

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/platform"
	"acaciakeel/store"
)

var errStartAhead = errors.New("the start is more than an hour ahead of this VM's clock")

// TargetSet implements platform.StateHandler.
func (v *view) TargetSet(r fleet.Target, revision store.Position) {
	v.earlier.forget(r.ID)
	if fleet.KnownStart(r.Born, time.Now()) != r.Born {
		v.EntryRejected(platform.RejectedEntry{Key: platform.TargetKey(r.ID), Revision: revision, Err: &platform.EntryError{Reason: platform.BadValue, Field: "born", Err: errStartAhead}})
		return
	}
	if !v.serviceKnown(r, revision) {
		return
	}
	r = v.checkDeparture(r, revision)
	if !v.putTarget(r) {
		v.log.WithFields(logrus.Fields{"event": "target_former", "target": r.ID, "born": r.Born, "believed": v.fleet.Born(r.ID), "draining": r.Draining, "revision": revision}).Warn("the store lists an earlier start of the target; ignored unless the target or a lasting entry confirms it")
		v.checkEarlierStart(r, revision)
		return
	}
	if v.fleet.DoubtsWeights(r) {
		v.log.WithFields(logrus.Fields{"event": "target_weights_doubted", "target": r.ID, "weights": r.Weights, "revision": revision}).Warn("the store lists older weights than are believed, which nobody has named; asking the target")
		go v.askTarget(r)
	}
}

// putTarget applies an entry of the list; it returns false if it names an earlier start than is
// believed.
func (v *view) putTarget(r fleet.Target) bool {
	if !v.fleet.Put(r) {
		return false
	}
	v.mu.Lock()
	v.cancelRemoval(r.ID)
	v.mu.Unlock()
	v.log.WithFields(logrus.Fields{"event": "target_listed", "target": r.ID, "born": r.Born, "address": r.Address, "draining": r.Draining, "build": r.Build, "weights": r.Weights}).Info("target listed in the store")
	return true
}

// recoveryGrace is how long after the store's recovery an entry that vanished during the
// outage may reappear before its target is removed: entries are back within two seconds, and
// a target without one gets nothing after that.
const recoveryGrace = 1900 * time.Millisecond

// targetRestarted is called when a target is first known to have restarted.
func (v *view) targetRestarted(current, previous fleet.Instance) {
	v.log.WithFields(logrus.Fields{"event": "target_reborn", "target": current.ID, "born": current.Born, "former": previous.Born}).Info("the target restarted; the state of its earlier start is discarded")
	v.controller.Wake()
	v.origins.targetChanged(current.ID)
	v.verdicts.Table.RecordCrash(previous, time.Now())
}

// targetChecked is called when it has been settled who has the address of a target whose call was
// refused in another's name.
func (v *view) targetChecked(r fleet.ReplacementResult) {
	line := v.log.WithFields(logrus.Fields{"event": "target_checked", "target": r.Target.ID, "born": r.Target.Born, "address": r.Address, "holder": r.Holder, "replaced": r.Replaced(), "rounds": r.Rounds, "took_ms": r.Took.Milliseconds()})
	if r.Replaced() {
		line.Warn("another target has the address; the former one has ended and is removed")
		return
	}
	line.Info("a call was refused in the name of another target, but the target has its address")
}

// targetBuildChanged is called when a target is listed with another software version.
func (v *view) targetBuildChanged(r fleet.Target) {
	v.log.WithFields(logrus.Fields{"event": "target_build_changed", "target": r.ID, "born": r.Born, "build": r.Build}).Info("the target is listed with another software version; what began its latest streams is uncertain")
	v.origins.targetChanged(r.ID)
}

// TargetRemoved implements platform.StateHandler. Entries expire while the store can't be
// written, so an entry that vanishes around an outage says nothing about its target, whose own
// responses still show its state.
func (v *view) TargetRemoved(id string) {
	v.rejected.removePending(id)
	v.rejected.removeRecord(platform.TargetKey(id))
	v.earlier.forget(id)
	v.departedTargets.forget(id)
	since, recovered := v.follower.SinceRecovery()
	if !recovered || since >= recoveryGrace {
		v.removeUnlisted(id)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.removalTimers[id] == nil {
		v.removalTimers[id] = time.AfterFunc(recoveryGrace-since, func() { v.removeUnlisted(id) })
	}
}

func (v *view) removeUnlisted(id string) {
	v.mu.Lock()
	v.cancelRemoval(id)
	v.mu.Unlock()
	last, ok := v.fleet.Remove(id)
	if ok {
		v.departedTargets.record(last.Instance(), time.Now())
	}
	if ok && !last.Draining {
		// The target did not announce that it leaves, so responses that broke off shortly
		// before are taken as a crash. A machine that went silent gives no other sign.
		v.verdicts.Table.RecordCrash(last.Instance(), time.Now())
	}
	v.log.WithFields(logrus.Fields{"event": "target_gone", "target": id}).Info("the target's entry is gone; target removed")
}

// cancelRemoval stops the removal timer of a target; the caller holds mu.
func (v *view) cancelRemoval(id string) {
	if timer := v.removalTimers[id]; timer != nil {
		timer.Stop()
		delete(v.removalTimers, id)
	}
}

// TargetsListed implements platform.StateHandler.
func (v *view) TargetsListed(ids map[string]bool) {
	v.rejected.prune(platform.TargetKey(""), func(key string) bool {
		id, _ := platform.ParseTargetKey(key)
		return ids[id]
	})
	for _, id := range v.fleet.IDs() {
		if !ids[id] {
			v.TargetRemoved(id)
		}
	}
}
