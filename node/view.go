// Package node is one process of the system on the platform: its view of the operators'
// configuration and of the targets, its background work, and its planned stop.
package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/follow"
	"acaciakeel/peering"
	"acaciakeel/platform"
	"acaciakeel/poison"
	"acaciakeel/quota"
	"acaciakeel/rollout"
	"acaciakeel/store"
	"acaciakeel/verdicts"
)

// view holds what the node knows of the configuration, the targets and the other nodes. It
// implements platform.StateHandler and router.ConfigSource.
type view struct {
	fleet      *fleet.Fleet
	log        logrus.FieldLogger
	follower   *follow.Follower
	leaderLock *rollout.LeaderLock
	controller *rollout.Controller
	verdicts   *verdicts.Syncer
	origins    *streamOrigins
	// staleAfter is the age of the view beyond which API keys are not trusted; 0 means no
	// bound.
	staleAfter time.Duration
	// oldWeightsLimit is how long after newer weights became desired requests may be sent to
	// targets with older ones.
	oldWeightsLimit time.Duration
	keys            systemKeys

	config atomic.Pointer[catalog.Config]
	// customerLimiter tracks customers' use of their limits.
	customerLimiter *quota.Limiter
	// targetLimiter tracks the requests of all nodes to targets that name limits.
	targetLimiter *quota.Limiter

	// servingNodes is the number of nodes that serve, this one included.
	servingNodes atomic.Int64

	// self is this node's key among the members.
	self string
	// selfMember is this node's entry; without a key if it is not known yet.
	selfMember peering.Member

	mu sync.Mutex
	// members are the nodes that serve, by key.
	members map[string]peering.Member
	// departed are the members that left within grace, the longest time that a process may
	// take to stop.
	departed  departedMembers
	grace     time.Duration
	nodeCount nodeCount
	// cachedPlan is the peering plan for the current members; nil after a change until it is
	// next needed.
	cachedPlan *peering.Plan
	// loggedPosition is the position in the plan that was logged last.
	loggedPosition groupPosition
	// removalTimers hold the targets whose entries vanished around an outage of the store,
	// with the timers that remove them.
	removalTimers map[string]*time.Timer
	// versionMarks name the software versions that may have begun streams, by service.
	versionMarks map[string]*versionMark
	// rejected are the store's entries that can't be used.
	rejected        *rejectedEntries
	earlier         earlierStarts
	departedTargets departedTargets
	restoredMembers restoredMembers
	// report asks a target for its report; nil asks none.
	report func(context.Context, fleet.Target) (fleet.Status, error)
}

// systemKeys are the system's own keys in the store.
type systemKeys struct {
	leader  string
	members string
	// leaderHistory is the key of the record of the latest leaders.
	leaderHistory string
	// nodeCount is the key of the recent number of nodes.
	nodeCount string
	// versions is the prefix of the marks of the versions that may have begun a service's
	// streams.
	versions string
	// streams is the prefix of the saved records of streams.
	streams string
}

func newSystemKeys() systemKeys {
	return systemKeys{leader: platform.SystemPrefix + "orders", leaderHistory: platform.SystemPrefix + "leaders", members: platform.SystemPrefix + "members/", nodeCount: platform.SystemPrefix + "entries", versions: platform.SystemPrefix + "versions/", streams: platform.SystemPrefix + "streams/"}
}

// Config implements router.ConfigSource.
func (v *view) Config() *catalog.Config {
	return v.config.Load()
}

// Fresh implements router.ConfigSource.
func (v *view) Fresh() bool {
	age, ok := v.follower.Age()
	return ok && (v.staleAfter == 0 || age < v.staleAfter)
}

func (v *view) limits() catalog.Limits {
	if c := v.config.Load(); c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

func (v *view) services() map[string][]string {
	if c := v.config.Load(); c != nil {
		return c.Models()
	}
	return nil
}

// ConfigSet implements platform.StateHandler. Versions never decrease while the process runs,
// even if an older read arrives late.
func (v *view) ConfigSet(c *catalog.Config) {
	if old := v.config.Load(); old != nil && c.Version <= old.Version {
		return
	}
	v.config.Store(c)
	var stores []fleet.KVCacheStore
	for _, s := range c.Services {
		if s.KVCacheStore != "" {
			stores = append(stores, fleet.KVCacheStore{Address: s.KVCacheStore, Capacity: s.KVTokens, Zone: s.Zone, LinkMbps: s.KVLinkMbps})
		}
	}
	v.fleet.SetStores(stores)
	v.customerLimiter.SetLimits(c.CustomerLimits(), time.Now())
	v.activatePending(c.Services)
	v.log.WithFields(logrus.Fields{"event": "config_applied", "version": c.Version, "routes": len(c.Routes), "customers": len(c.Customers)}).Info("configuration applied")
}

// changeLag is the maximum age of a change of the store when it is received: the pause after a
// batch before the next watch, and the way through the member that watches for its group.
const changeLag = batchDelay + 100*time.Millisecond

// desiredSince returns the time from which new weights count as desired. The bound on older
// weights runs from the store's acknowledgement, which may be older than the receipt by
// changeLag.
//
// Weights found in a listing are known only to have been absent when the view was last
// confirmed. Assuming the maximum age for them would put all targets with older weights out of
// use at once if the store drops its history while the version is being changed.
//
// At start nothing is known, and the time for older weights is assumed to be over until the
// other nodes report the age: the change may be as old as the bound, and requests would start
// on older weights after it.
func (v *view) desiredSince(model string, listed bool, now time.Time) (at time.Time, guessed bool) {
	if !listed {
		return now.Add(-changeLag), false
	}
	earliest := now.Add(-v.oldWeightsLimit)
	age, ok := v.follower.Age()
	if !ok || v.fleet.DesiredVersion(model) == 0 {
		return earliest, true
	}
	if at := now.Add(-age); at.After(earliest) {
		return at, false
	}
	return earliest, false
}

// ModelSet implements platform.StateHandler.
func (v *view) ModelSet(n platform.DesiredVersion) {
	now := time.Now()
	at, guessed := v.desiredSince(n.Model, n.Listed, now)
	if !v.fleet.RecordDesired(n.Model, n.Version, at, guessed) {
		return
	}
	fields := logrus.Fields{"event": "weights_named", "model": n.Model, "weights": n.Version, "revision": n.Revision, "listed": n.Listed, "guessed": guessed, "age_ms": now.Sub(at).Milliseconds()}
	v.log.WithFields(fields).Info("new weights named")
	v.controller.Wake()
}

// oldestPendingRollout returns for how long the oldest desired weights have not been loaded on
// all targets; draining targets are left out.
func (v *view) oldestPendingRollout(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for model, services := range v.services() {
		for _, service := range services {
			for _, r := range v.fleet.Targets(service) {
				if !r.Draining {
					oldest = max(oldest, v.fleet.StaleFor(model, r.Weights[model], now))
				}
			}
		}
	}
	return oldest
}

// SystemKeySet implements platform.StateHandler.
func (v *view) SystemKeySet(key, value string, revision store.Position) {
	if key == v.keys.leader {
		v.leaderChanged(value, revision)
		return
	}
	if key == v.keys.leaderHistory {
		v.leaderHistoryChanged(value, revision)
		return
	}
	if key == v.keys.nodeCount {
		v.setNodeCount(value, revision)
		return
	}
	if content, ok, err := verdicts.ParseKey(key); ok {
		v.receiveVerdict(key, value, revision, content, err)
		return
	}
	if strings.HasPrefix(key, v.keys.streams) {
		v.receiveStreamRecords(key, value, revision)
		return
	}
	if service, ok := strings.CutPrefix(key, v.keys.versions); ok {
		v.setVersionMark(service, value, revision)
		return
	}
	if !strings.HasPrefix(key, v.keys.members) {
		return
	}
	if value == "" {
		v.rejected.removeRecord(key)
		v.setMember(key, "")
		return
	}
	if fault := v.validateMember(key, value); fault != nil {
		v.EntryRejected(platform.RejectedEntry{Key: key, Revision: revision, Err: fault})
		return
	}
	v.setMember(key, value)
}

// receiveVerdict applies the stored verdict on a content; an empty value means that it was
// deleted.
func (v *view) receiveVerdict(key, value string, revision store.Position, content poison.Fingerprint, err error) {
	if err == nil && value == "" {
		v.rejected.removeRecord(key)
		v.verdicts.MarkMissing(content)
		return
	}
	if err == nil {
		err = v.verdicts.ApplyStored(content, []byte(value), revision)
	}
	if err != nil {
		v.EntryRejected(platform.RejectedEntry{Key: key, Revision: revision, Err: &platform.EntryError{Reason: platform.BadValue, Err: err}})
		return
	}
	v.rejected.removeRecord(key)
}

// leaderChanged applies the stored leader; an empty value means that there is none.
func (v *view) leaderChanged(leader string, revision store.Position) {
	if leader != "" && !isInstanceName(leader) {
		v.EntryRejected(platform.RejectedEntry{Key: v.keys.leader, Revision: revision, Err: &platform.EntryError{Reason: platform.BadValue}})
		return
	}
	v.rejected.removeRecord(v.keys.leader)
	v.leaderLock.Observe(leader, revision)
	v.controller.Wake()
}

// leaderHistoryChanged applies the stored record of the latest leaders; an empty value means that
// there is none.
func (v *view) leaderHistoryChanged(value string, revision store.Position) {
	if value == "" {
		v.rejected.removeRecord(v.keys.leaderHistory)
		v.leaderLock.ObserveHistory(rollout.LeaderRecord{}, false, revision)
		return
	}
	record, err := rollout.ParseHistory(value)
	if err != nil {
		v.EntryRejected(platform.RejectedEntry{Key: v.keys.leaderHistory, Revision: revision, Err: &platform.EntryError{Reason: platform.BadValue, Err: err}})
		return
	}
	v.rejected.removeRecord(v.keys.leaderHistory)
	v.leaderLock.ObserveHistory(record, true, revision)
}

// membersChanged discards the cached plan; it is computed again when it is next needed, since
// nodes that start together cause a hundred changes within a second. The caller holds mu.
func (v *view) membersChanged() {
	v.cachedPlan = nil
	v.updateLimitMembers()
	v.fleet.SetMembers(v.self, slices.Collect(maps.Keys(v.members)))
}

// plan returns this node's peering plan.
func (v *view) plan() peering.Plan {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cachedPlan == nil {
		p := peering.New(v.self, slices.Collect(maps.Values(v.members)))
		v.addGuests(&p)
		v.cachedPlan = &p
		if p.Joined {
			v.customerLimiter.SetGroup(p.Group, p.GroupCount, time.Now())
			v.targetLimiter.SetGroup(p.Group, p.GroupCount, time.Now())
		}
		v.logPosition(groupPosition{group: p.Group, groups: p.GroupCount, watches: p.Joined && p.Rank == 0})
	}
	return *v.cachedPlan
}

// groupPosition is a node's position among the groups.
type groupPosition struct {
	group, groups int
	// watches is set if the node watches the store for its group.
	watches bool
}

// logPosition logs a change of the node's position; the caller holds mu.
func (v *view) logPosition(p groupPosition) {
	if p == v.loggedPosition {
		return
	}
	v.loggedPosition = p
	v.log.WithFields(logrus.Fields{"event": "grouped", "group": p.group, "groups": p.groups, "watches": p.watches}).Info("position among the groups changed")
}

// SystemKeysListed implements platform.StateHandler.
func (v *view) SystemKeysListed(keys map[string]bool, revision store.Position) {
	v.rejected.prune(platform.SystemPrefix, func(key string) bool { return keys[key] })
	v.verdicts.Reconcile(keys)
	if !keys[v.keys.leader] {
		v.leaderLock.ObserveAbsent(revision)
	}
	if !keys[v.keys.leaderHistory] {
		v.leaderLock.ObserveHistory(rollout.LeaderRecord{}, false, revision)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !keys[v.keys.nodeCount] {
		v.nodeCount.stored, v.nodeCount.revision = 0, 0
	}
	maps.DeleteFunc(v.versionMarks, func(service string, m *versionMark) bool {
		return !keys[v.keys.versions+service] && m.revision <= revision
	})
	for key := range v.members {
		if !keys[key] && !v.restoredMembers.await(key, revision) {
			v.removeMember(key)
		}
	}
	v.membersChanged()
	if v.restoredMembers.begin(revision) {
		time.AfterFunc(memberReturnGrace, v.removeUnreturned)
	}
}

// isMember reports whether the process of a name is among the members.
func (v *view) isMember(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.members[v.keys.members+name]
	return ok
}

// otherCount returns how many other nodes serve.
func (v *view) otherCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := len(v.members)
	if _, ok := v.members[v.self]; ok {
		n--
	}
	return n
}
