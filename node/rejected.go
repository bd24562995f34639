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
	"acaciakeel/rollout"
	"acaciakeel/store"
	"acaciakeel/telemetry"
	"acaciakeel/verdicts"
)

// rejectedEntries tracks the entries of the store that can't be used: entries of other writers
// that can't be decoded, and targets of services that no configuration has named yet. If they
// were accepted, requests would be sent to targets that can't serve them; if a whole read were
// rejected because of one, all valid entries in it would be lost.
type rejectedEntries struct {
	log   logrus.FieldLogger
	count *prometheus.CounterVec

	mu sync.Mutex
	// loggedRevisions is the revision at which each rejected entry was logged, so that a
	// listing that finds it again does not log it again.
	loggedRevisions map[string]store.Position
	// knownServices are the services named by any configuration since the process started; nil
	// before the first. A service that is no longer named keeps its targets: no route leads
	// there, but requests in progress may still be retried there.
	knownServices map[string]bool
	// pending are the targets of services that are not known yet, by id.
	pending map[string]pendingTarget
}

// pendingTarget is a valid entry whose service no configuration has named yet.
type pendingTarget struct {
	target   fleet.Target
	revision store.Position
}

func newRejectedEntries(r *prometheus.Registry, log logrus.FieldLogger) *rejectedEntries {
	return &rejectedEntries{
		log:             log,
		count:           telemetry.NewCounter(r, "keel_node_entries_left_out_total", "Entries of the store left out, by reason.", "reason"),
		loggedRevisions: map[string]store.Position{},
		pending:         map[string]pendingTarget{},
	}
}

// report logs and counts a rejected entry, once for each of its revisions.
func (s *rejectedEntries) report(e platform.RejectedEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision, ok := s.loggedRevisions[e.Key]; ok && revision == e.Revision {
		return
	}
	s.loggedRevisions[e.Key] = e.Revision
	s.count.WithLabelValues(string(e.Err.Reason)).Inc()
	s.log.WithError(e.Err).WithFields(logrus.Fields{"event": "entry_left_out", "key": e.Key, "reason": e.Err.Reason, "revision": e.Revision}).Warn("entry of the store can't be used; left out until it changes")
}

// removePending removes a target from the pending ones.
func (s *rejectedEntries) removePending(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// removeRecord removes the record of an entry that was deleted or has become valid.
func (s *rejectedEntries) removeRecord(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.loggedRevisions, key)
}

// prune removes the records of entries under a prefix that a listing did not contain.
func (s *rejectedEntries) prune(prefix string, listed func(key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.loggedRevisions {
		if strings.HasPrefix(key, prefix) && !listed(key) {
			delete(s.loggedRevisions, key)
		}
	}
	for id := range s.pending {
		if key := platform.TargetKey(id); strings.HasPrefix(key, prefix) && !listed(key) {
			delete(s.pending, id)
		}
	}
}

// holdPending stores a target's entry and returns waiting as true if its service is not known
// yet. judged is true if a configuration has been received, so that the service is missing
// from it.
func (s *rejectedEntries) holdPending(r fleet.Target, revision store.Position) (waiting, judged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.knownServices[r.Service] {
		return false, true
	}
	s.pending[r.ID] = pendingTarget{target: r, revision: revision}
	return true, s.knownServices != nil
}

// addServices records the services of a configuration. It returns the pending targets that
// became usable, and those whose service is still unknown.
func (s *rejectedEntries) addServices(services map[string]*catalog.Service) (usable, unknown []pendingTarget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.knownServices == nil {
		s.knownServices = map[string]bool{}
	}
	for name := range services {
		s.knownServices[name] = true
	}
	for id, u := range s.pending {
		if s.knownServices[u.target.Service] {
			usable = append(usable, u)
			delete(s.pending, id)
		} else {
			unknown = append(unknown, u)
		}
	}
	return usable, unknown
}

// serviceKnown reports whether a configuration names the target's service. If not, the target
// is removed and its entry is kept until one does.
func (v *view) serviceKnown(r fleet.Target, revision store.Position) bool {
	waiting, judged := v.rejected.holdPending(r, revision)
	if !waiting {
		v.rejected.removePending(r.ID)
		v.rejected.removeRecord(platform.TargetKey(r.ID))
		return true
	}
	v.removeTarget(r.ID)
	if judged {
		v.reportUnknownService(pendingTarget{target: r, revision: revision})
	}
	return false
}

func (v *view) reportUnknownService(u pendingTarget) {
	v.rejected.report(platform.RejectedEntry{
		Key: platform.TargetKey(u.target.ID), Revision: u.revision,
		Err: &platform.EntryError{Reason: platform.UnknownService, Field: u.target.Service},
	})
}

// activatePending adds the targets whose services a new configuration names.
func (v *view) activatePending(services map[string]*catalog.Service) {
	usable, unknown := v.rejected.addServices(services)
	for _, u := range usable {
		v.TargetSet(u.target, u.revision)
	}
	for _, u := range unknown {
		v.reportUnknownService(u)
	}
}

// removeTarget removes a target whose entry exists but can't be used. Its writer has reached
// the store, so the delay for entries that vanished during an outage does not apply.
func (v *view) removeTarget(id string) {
	v.mu.Lock()
	v.cancelRemoval(id)
	v.mu.Unlock()
	v.fleet.Remove(id)
}

// EntryRejected implements platform.StateHandler.
func (v *view) EntryRejected(e platform.RejectedEntry) {
	if id, ok := platform.ParseTargetKey(e.Key); ok {
		v.rejected.removePending(id)
		v.earlier.forget(id)
		v.removeTarget(id)
	}
	if strings.HasPrefix(e.Key, v.keys.members) {
		v.setMember(e.Key, "")
	}
	if e.Key == v.keys.leader {
		v.leaderLock.ObserveForeign(e.Revision)
		v.controller.Wake()
	}
	if e.Key == v.keys.leaderHistory {
		v.leaderLock.ObserveHistory(rollout.LeaderRecord{}, true, e.Revision)
	}
	if e.Key == v.keys.nodeCount {
		v.nodeCountRejected(e.Revision)
	}
	if content, ok, err := verdicts.ParseKey(e.Key); ok && err == nil {
		v.verdicts.MarkReplaced(content, e.Revision)
	}
	v.rejected.report(e)
}

// validateMember returns what is wrong with a member's entry, or nil. A member with an
// unreadable address would be counted among those that share the work, and cause a log line
// with each update.
func (v *view) validateMember(key, value string) *platform.EntryError {
	if !isInstanceName(strings.TrimPrefix(key, v.keys.members)) {
		return &platform.EntryError{Reason: platform.BadKey}
	}
	at, err := netip.ParseAddrPort(decodeMember(key, value).Address)
	if err != nil || at.Port() == 0 {
		return &platform.EntryError{Reason: platform.BadValue, Field: "address", Err: err}
	}
	return nil
}
