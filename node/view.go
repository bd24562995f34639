// Package node is one process of the system on the platform: its view of the
// operators' intent and of the targets, its duties, and its stop.
package node

import (
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
	"acaciakeel/verdicts"
)

// view implements platform.View and router.Configuration.
type view struct {
	fleet      *fleet.Fleet
	log        logrus.FieldLogger
	follower   *follow.Follower
	leaderLock *rollout.LeaderLock
	controller *rollout.Controller
	verdicts   *verdicts.Keeper
	// staleAfter is the age beyond which keys are not believed.
	staleAfter time.Duration
	// oldWeightsLimit is for how long after newer ones were named older weights serve.
	oldWeightsLimit time.Duration
	keys            systemKeys

	config atomic.Pointer[catalog.Config]
	// customerLimiter holds what customers used of their limits.
	customerLimiter *quota.Limiter
	// targetLimiter holds what all entries sent to targets that name limits.
	targetLimiter *quota.Limiter

	// self is this node's key among the members.
	self string

	mu sync.Mutex
	// members are the nodes that serve, by their keys.
	members map[string]peering.Member
	// departed are those that left within grace, which is how long a process may take to
	// stop.
	departed  departedMembers
	grace     time.Duration
	nodeCount nodeCount
	// cachedPlan is what this node has to do with them; nil until it is asked for
	// after a change.
	cachedPlan *peering.Plan
	// loggedPosition is what was logged of it last.
	loggedPosition groupPosition
	// removalTimers are the targets whose entries vanished around an outage of the
	// store, with the timers that end their respite.
	removalTimers map[string]*time.Timer
	// skipped are the entries that name nothing to use.
	skipped *skippedEntries
}

// systemKeys are the keys of the system's own.
type systemKeys struct {
	leader  string
	members string
	// nodeCount is of how many entries there have been lately.
	nodeCount string
}

func newSystemKeys() systemKeys {
	return systemKeys{leader: platform.OwnPrefix + "orders", members: platform.OwnPrefix + "members/", nodeCount: platform.OwnPrefix + "entries"}
}

// Config implements router.Configuration.
func (v *view) Config() *catalog.Config {
	return v.config.Load()
}

// Fresh implements router.Configuration.
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

// Configured implements platform.View. Versions never go back within the life
// of the process, whatever a read that is late may say.
func (v *view) Configured(c *catalog.Config) {
	if old := v.config.Load(); old != nil && c.Version <= old.Version {
		return
	}
	v.config.Store(c)
	var stores []fleet.KVCacheStore
	for _, s := range c.Services {
		if s.KVStore != "" {
			stores = append(stores, fleet.KVCacheStore{Address: s.KVStore, Capacity: s.KVTokens, Zone: s.Zone, LinkMbps: s.KVLinkMbps})
		}
	}
	v.fleet.SetStores(stores)
	v.customerLimiter.SetLimits(c.CustomerLimits(), time.Now())
	v.activatePending(c.Services)
	v.log.WithFields(logrus.Fields{"event": "config_applied", "version": c.Version, "routes": len(c.Routes), "customers": len(c.Customers)}).Info("configuration in force")
}

// changeLag is how old news of the store may be when it is heard: the pause after other
// news before the next watch, and the way over the member that watches for its group.
const changeLag = batchDelay + 100*time.Millisecond

// namedAt returns since when new weights are taken to be wanted: their bound runs from
// the store's word, which may be as old as news gets. One that finds them in a listing
// knows no more than that they were not there when its view was last confirmed; were they
// taken for as old as may be, a store that drops its history as weights are named would
// leave all targets with older ones out of use at once. At its start it knows nothing, and
// guesses that the time of older weights is over, until the others tell: the naming may be
// as old as the bound, and requests would begin on them after it.
func (v *view) namedAt(model string, listed bool, now time.Time) (at time.Time, guessed bool) {
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

// Named implements platform.View.
func (v *view) Named(n platform.Naming) {
	now := time.Now()
	at, guessed := v.namedAt(n.Model, n.Listed, now)
	if !v.fleet.RecordDesired(n.Model, n.Version, at, guessed) {
		return
	}
	fields := logrus.Fields{"event": "weights_named", "model": n.Model, "weights": n.Version, "revision": n.Revision, "listed": n.Listed, "guessed": guessed, "age_ms": now.Sub(at).Milliseconds()}
	v.log.WithFields(fields).Info("new weights are wanted")
	v.controller.Wake()
}

// oldestNaming returns for how long the oldest naming of weights has not been in
// force at all targets that stay.
func (v *view) oldestNaming(now time.Time) time.Duration {
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

// Listed implements platform.View.
func (v *view) Listed(r fleet.Target, revision int64) {
	if !v.serviceKnown(r, revision) {
		return
	}
	if !v.fleet.Put(r) {
		v.log.WithFields(logrus.Fields{"event": "target_former", "target": r.ID, "born": r.Born}).Warn("the list tells of a life that has ended; it changes nothing")
		return
	}
	v.mu.Lock()
	v.cancelRemoval(r.ID)
	v.mu.Unlock()
	v.log.WithFields(logrus.Fields{"event": "target_listed", "target": r.ID, "born": r.Born, "address": r.Address, "draining": r.Draining, "weights": r.Weights}).Info("the list says so")
}

// recoveryGrace is how long after the store's return an entry that vanished meanwhile
// may still come back; one missing then is gone.
const recoveryGrace = 1800 * time.Millisecond

// targetRestarted logs the first sign of a target's later life.
func (v *view) targetRestarted(now, former fleet.Instance) {
	v.log.WithFields(logrus.Fields{"event": "target_reborn", "target": now.ID, "born": now.Born, "former": former.Born}).Info("the target started again; what was kept of its former life has ended")
	v.controller.Wake()
	v.verdicts.Table.RecordCrash(former, time.Now())
}

// Gone implements platform.View. Entries lapse while the store can't be
// written, so around an outage one that vanishes says nothing of its target,
// whose own answers go on telling how it does.
func (v *view) Gone(id string) {
	v.skipped.removePending(id)
	v.skipped.clear(platform.TargetKey(id))
	since, back := v.follower.SinceRecovery()
	if !back || since >= recoveryGrace {
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
	if last, ok := v.fleet.Remove(id); ok && !last.Draining {
		// Of one that said nothing of leaving, answers that broke off just before are
		// the sign of a crash: of a machine that fell silent there is no other.
		v.verdicts.Table.RecordCrash(last.Instance(), time.Now())
	}
	v.log.WithFields(logrus.Fields{"event": "target_gone", "target": id}).Info("the list lost the target")
}

// cancelRemoval ends a respite; the caller holds mu.
func (v *view) cancelRemoval(id string) {
	if timer := v.removalTimers[id]; timer != nil {
		timer.Stop()
		delete(v.removalTimers, id)
	}
}

// Relisted implements platform.View.
func (v *view) Relisted(ids map[string]bool) {
	v.skipped.prune(platform.TargetKey(""), func(key string) bool {
		id, _ := platform.TargetOf(key)
		return ids[id]
	})
	for _, id := range v.fleet.IDs() {
		if !ids[id] {
			v.Gone(id)
		}
	}
}

// Own implements platform.View.
func (v *view) Own(key, value string, revision int64) {
	if key == v.keys.leader {
		v.leaderChanged(value, revision)
		return
	}
	if key == v.keys.nodeCount {
		v.setNodeCount(value, revision)
		return
	}
	if content, ok, err := verdicts.ContentOf(key); ok {
		v.receiveVerdict(key, value, revision, content, err)
		return
	}
	if !strings.HasPrefix(key, v.keys.members) {
		return
	}
	if value == "" {
		v.skipped.clear(key)
		v.setMember(key, "")
		return
	}
	if fault := v.validateMember(key, value); fault != nil {
		v.LeftOut(platform.LeftOut{Key: key, Revision: revision, Fault: fault})
		return
	}
	v.setMember(key, value)
}

// receiveVerdict takes what the store says of a receiveVerdict; an empty value is its end.
func (v *view) receiveVerdict(key, value string, revision int64, content poison.Fingerprint, err error) {
	if err == nil && value == "" {
		v.skipped.clear(key)
		v.verdicts.Gone(content)
		return
	}
	if err == nil {
		err = v.verdicts.Read(content, []byte(value), revision)
	}
	if err != nil {
		v.LeftOut(platform.LeftOut{Key: key, Revision: revision, Fault: &platform.Fault{Reason: platform.BadValue, Err: err}})
		return
	}
	v.skipped.clear(key)
}

// leaderChanged takes what the store says of the seat; an empty value is its end.
func (v *view) leaderChanged(holder string, revision int64) {
	if holder != "" && !isInstanceName(holder) {
		v.LeftOut(platform.LeftOut{Key: v.keys.leader, Revision: revision, Fault: &platform.Fault{Reason: platform.BadValue}})
		return
	}
	v.skipped.clear(v.keys.leader)
	v.leaderLock.Observe(holder, revision)
	v.controller.Wake()
}

// membersChanged has the plan worked out anew when it is next asked for: entries
// that start together bring a hundred changes within a second. The caller holds mu.
func (v *view) membersChanged() {
	v.cachedPlan = nil
	v.updateLimitMembers()
	v.fleet.SetMembers(v.self, slices.Collect(maps.Keys(v.members)))
}

// plan returns what this node has to do with the others.
func (v *view) plan() peering.Plan {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cachedPlan == nil {
		p := peering.New(v.self, slices.Collect(maps.Values(v.members)))
		v.cachedPlan = &p
		v.logPosition(groupPosition{group: p.Group, groups: p.GroupCount, watches: p.Joined && p.Rank == 0})
	}
	return *v.cachedPlan
}

// groupPosition is where a node stands among the others.
type groupPosition struct {
	group, groups int
	// watches is set where it watches the store for its group.
	watches bool
}

// logPosition logs a change of the node's place; the caller holds mu.
func (v *view) logPosition(p groupPosition) {
	if p == v.loggedPosition {
		return
	}
	v.loggedPosition = p
	v.log.WithFields(logrus.Fields{"event": "grouped", "group": p.group, "groups": p.groups, "watches": p.watches}).Info("the entries are divided so")
}

// OwnRelisted implements platform.View.
func (v *view) OwnRelisted(keys map[string]bool, revision int64) {
	v.skipped.prune(platform.OwnPrefix, func(key string) bool { return keys[key] })
	v.verdicts.Relisted(keys)
	if !keys[v.keys.leader] {
		v.leaderLock.Observe("", revision)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !keys[v.keys.nodeCount] {
		v.nodeCount.stored, v.nodeCount.revision = 0, 0
	}
	for key := range v.members {
		if !keys[key] {
			v.removeMember(key)
		}
	}
	v.membersChanged()
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
