package node

import (
	"net/netip"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/platform"
	"acaciakeel/telemetry"
)

// skippedEntries are the entries of the store that name nothing to use: those of other
// writers that can't be decoded, and those of services that no configuration has
// named yet. Taken as they are, one of them would get requests that can't be
// served there; refused as a whole, one would hide all entries beside it.
type skippedEntries struct {
	log   logrus.FieldLogger
	count *prometheus.CounterVec

	mu sync.Mutex
	// loggedRevisions is the revision of each entry at which it was left out, so that a
	// listing that finds it again says nothing new.
	loggedRevisions map[string]int64
	// knownServices are the services that configurations have knownServices in the life of the
	// process; nil before the first. One that is knownServices no more keeps its targets:
	// no route leads there, but requests under way may still be sent again.
	knownServices map[string]bool
	// pending are the targets of the other services, by id.
	pending map[string]pendingTarget
}

// pendingTarget is a sound entry that waits for a configuration to name its service.
type pendingTarget struct {
	runner   fleet.Target
	revision int64
}

func newSkippedEntries(r *prometheus.Registry, log logrus.FieldLogger) *skippedEntries {
	return &skippedEntries{
		log:             log,
		count:           telemetry.NewCounter(r, "keel_node_entries_left_out_total", "Entries of the store left out, by reason.", "reason"),
		loggedRevisions: map[string]int64{},
		pending:         map[string]pendingTarget{},
	}
}

// report logs and counts an entry that is left out, once a change of it.
func (f *skippedEntries) report(e platform.LeftOut) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision, ok := f.loggedRevisions[e.Key]; ok && revision == e.Revision {
		return
	}
	f.loggedRevisions[e.Key] = e.Revision
	f.count.WithLabelValues(string(e.Fault.Reason)).Inc()
	f.log.WithError(e.Fault).WithFields(logrus.Fields{"event": "entry_left_out", "key": e.Key, "reason": e.Fault.Reason, "revision": e.Revision}).Warn("an entry of the store names nothing to use until it changes")
}

// removePending ends the waiting of a target's entry.
func (f *skippedEntries) removePending(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, id)
}

// clear forgets what was said of an entry that is there no more, or good again.
func (f *skippedEntries) clear(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.loggedRevisions, key)
}

// prune forgets the entries below a prefix that a listing did not find.
func (f *skippedEntries) prune(prefix string, listed func(key string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.loggedRevisions {
		if strings.HasPrefix(key, prefix) && !listed(key) {
			delete(f.loggedRevisions, key)
		}
	}
	for id := range f.pending {
		if key := platform.TargetKey(id); strings.HasPrefix(key, prefix) && !listed(key) {
			delete(f.pending, id)
		}
	}
}

// holdPending keeps a target's entry and returns true if its service is not named yet.
// told is set where a configuration has come, by which it can be judged.
func (f *skippedEntries) holdPending(r fleet.Target, revision int64) (waiting, judged bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.knownServices[r.Service] {
		return false, true
	}
	f.pending[r.ID] = pendingTarget{runner: r, revision: revision}
	return true, f.knownServices != nil
}

// addServices takes the services that a configuration names. It returns the targets that
// become usable by it, and those that still don't.
func (f *skippedEntries) addServices(services map[string]*catalog.Service) (usable, unknown []pendingTarget) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.knownServices == nil {
		f.knownServices = map[string]bool{}
	}
	for name := range services {
		f.knownServices[name] = true
	}
	for id, u := range f.pending {
		if f.knownServices[u.runner.Service] {
			usable = append(usable, u)
			delete(f.pending, id)
		} else {
			unknown = append(unknown, u)
		}
	}
	return usable, unknown
}

// serviceKnown reports whether a target's service is one that the configuration names.
// If not, the target is used no more; its entry waits for a configuration that does.
func (v *view) serviceKnown(r fleet.Target, revision int64) bool {
	waiting, judged := v.skipped.holdPending(r, revision)
	if !waiting {
		v.skipped.removePending(r.ID)
		v.skipped.clear(platform.TargetKey(r.ID))
		return true
	}
	v.removeTarget(r.ID)
	if judged {
		v.reportUnknownService(pendingTarget{runner: r, revision: revision})
	}
	return false
}

func (v *view) reportUnknownService(u pendingTarget) {
	v.skipped.report(platform.LeftOut{
		Key: platform.TargetKey(u.runner.ID), Revision: u.revision,
		Fault: &platform.Fault{Reason: platform.UnknownService, Field: u.runner.Service},
	})
}

// activatePending takes in the targets whose services a configuration has come to activatePending.
func (v *view) activatePending(services map[string]*catalog.Service) {
	usable, unknown := v.skipped.addServices(services)
	for _, u := range usable {
		v.Listed(u.runner, u.revision)
	}
	for _, u := range unknown {
		v.reportUnknownService(u)
	}
}

// removeTarget takes a target out whose entry is there and can't be used. Its writer has
// reached the store, so an outage before excuses nothing.
func (v *view) removeTarget(id string) {
	v.mu.Lock()
	v.cancelRemoval(id)
	v.mu.Unlock()
	v.fleet.Remove(id)
}

// LeftOut implements platform.View.
func (v *view) LeftOut(e platform.LeftOut) {
	if id, ok := platform.TargetOf(e.Key); ok {
		v.skipped.removePending(id)
		v.removeTarget(id)
	}
	if strings.HasPrefix(e.Key, v.keys.members) {
		v.setMember(e.Key, "")
	}
	if e.Key == v.keys.leader {
		v.leaderLock.ObserveForeign(e.Revision)
		v.controller.Wake()
	}
	v.skipped.report(e)
}

// validateMember returns what is wrong with the entry of a member, or nil. One whose
// address can't be read would be counted among those that share the work, and be
// logged with each pulse.
func (v *view) validateMember(key, value string) *platform.Fault {
	if !isInstanceName(strings.TrimPrefix(key, v.keys.members)) {
		return &platform.Fault{Reason: platform.BadKey}
	}
	at, err := netip.ParseAddrPort(decodeMember(key, value).Address)
	if err != nil || at.Port() == 0 {
		return &platform.Fault{Reason: platform.BadValue, Field: "address", Err: err}
	}
	return nil
}
