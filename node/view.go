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
	fleet    *fleet.Fleet
	log      logrus.FieldLogger
	follower *follow.Follower
	seat     *rollout.LeaderLock
	holder   *rollout.Controller
	verdicts *verdicts.Syncer
	// staleAfter is the age beyond which keys are not believed.
	staleAfter time.Duration
	// oldWeights is for how long after newer ones were named older weights serve.
	oldWeights time.Duration
	keys       ownKeys

	config atomic.Pointer[catalog.Config]
	// limitBook holds what customers used of their limits.
	limitBook *quota.Limiter
	// targetBook holds what all entries sent to targets that name limits.
	targetBook *quota.Limiter

	// self is this node's key among the members.
	self string

	mu sync.Mutex
	// members are the nodes that serve, by their keys.
	members map[string]peering.Member
	// leavers are those that left within grace, which is how long a process may take to
	// stop.
	leavers leavers
	grace   time.Duration
	count   entryCount
	// planned is what this node has to do with them; nil until it is asked for
	// after a change.
	planned *peering.Plan
	// place is what was logged of it last.
	place place
	// lapsed are the targets whose entries vanished around an outage of the
	// store, with the timers that end their respite.
	lapsed map[string]*time.Timer
	// foreign are the entries that name nothing to use.
	foreign *foreign
}

// ownKeys are the keys of the system's own.
type ownKeys struct {
	seat    string
	members string
	// count is of how many entries there have been lately.
	count string
}

func ownKeysOf() ownKeys {
	return ownKeys{seat: platform.SystemPrefix + "orders", members: platform.SystemPrefix + "members/", count: platform.SystemPrefix + "entries"}
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

// ConfigSet implements platform.View. Versions never go back within the life
// of the process, whatever a read that is late may say.
func (v *view) ConfigSet(c *catalog.Config) {
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
	v.limitBook.SetLimits(c.CustomerLimits(), time.Now())
	v.name(c.Services)
	v.log.WithFields(logrus.Fields{"event": "config_applied", "version": c.Version, "routes": len(c.Routes), "customers": len(c.Customers)}).Info("configuration in force")
}

// newsLag is how old news of the store may be when it is heard: the pause after other
// news before the next watch, and the way over the member that watches for its group.
const newsLag = gather + 100*time.Millisecond

// namedAt returns since when new weights are taken to be wanted: their bound runs from
// the store's word, which may be as old as news gets. One that finds them in a listing
// knows no more than that they were not there when its view was last confirmed; were they
// taken for as old as may be, a store that drops its history as weights are named would
// leave all targets with older ones out of use at once. At its start it knows nothing, and
// guesses that the time of older weights is over, until the others tell: the naming may be
// as old as the bound, and requests would begin on them after it.
func (v *view) namedAt(model string, listed bool, now time.Time) (at time.Time, guessed bool) {
	if !listed {
		return now.Add(-newsLag), false
	}
	earliest := now.Add(-v.oldWeights)
	age, ok := v.follower.Age()
	if !ok || v.fleet.DesiredVersion(model) == 0 {
		return earliest, true
	}
	if at := now.Add(-age); at.After(earliest) {
		return at, false
	}
	return earliest, false
}

// ModelSet implements platform.View.
func (v *view) ModelSet(n platform.DesiredVersion) {
	now := time.Now()
	at, guessed := v.namedAt(n.Model, n.Listed, now)
	if !v.fleet.RecordDesired(n.Model, n.Version, at, guessed) {
		return
	}
	fields := logrus.Fields{"event": "weights_named", "model": n.Model, "weights": n.Version, "revision": n.Revision, "listed": n.Listed, "guessed": guessed, "age_ms": now.Sub(at).Milliseconds()}
	v.log.WithFields(fields).Info("new weights are wanted")
	v.holder.Wake()
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

// TargetSet implements platform.View.
func (v *view) TargetSet(r fleet.Target, revision int64) {
	if !v.known(r, revision) {
		return
	}
	if !v.fleet.Put(r) {
		v.log.WithFields(logrus.Fields{"event": "target_former", "target": r.ID, "born": r.Born}).Warn("the list tells of a life that has ended; it changes nothing")
		return
	}
	v.mu.Lock()
	v.stay(r.ID)
	v.mu.Unlock()
	v.log.WithFields(logrus.Fields{"event": "target_listed", "target": r.ID, "born": r.Born, "address": r.Address, "draining": r.Draining, "weights": r.Weights}).Info("the list says so")
}

// respite is how long after the store's return an entry that vanished meanwhile
// may still come back; one missing then is gone.
const respite = 1800 * time.Millisecond

// reborn logs the first sign of a target's later life.
func (v *view) reborn(now, former fleet.Instance) {
	v.log.WithFields(logrus.Fields{"event": "target_reborn", "target": now.ID, "born": now.Born, "former": former.Born}).Info("the target started again; what was kept of its former life has ended")
	v.holder.Wake()
	v.verdicts.Table.RecordCrash(former, time.Now())
}

// TargetRemoved implements platform.View. Entries lapse while the store can't be
// written, so around an outage one that vanishes says nothing of its target,
// whose own answers go on telling how it does.
func (v *view) TargetRemoved(id string) {
	v.foreign.release(id)
	v.foreign.forget(platform.TargetKey(id))
	since, back := v.follower.SinceRecovery()
	if !back || since >= respite {
		v.drop(id)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lapsed[id] == nil {
		v.lapsed[id] = time.AfterFunc(respite-since, func() { v.drop(id) })
	}
}

func (v *view) drop(id string) {
	v.mu.Lock()
	v.stay(id)
	v.mu.Unlock()
	if last, ok := v.fleet.Remove(id); ok && !last.Draining {
		// Of one that said nothing of leaving, answers that broke off just before are
		// the sign of a crash: of a machine that fell silent there is no other.
		v.verdicts.Table.RecordCrash(last.Instance(), time.Now())
	}
	v.log.WithFields(logrus.Fields{"event": "target_gone", "target": id}).Info("the list lost the target")
}

// stay ends a respite; the caller holds mu.
func (v *view) stay(id string) {
	if timer := v.lapsed[id]; timer != nil {
		timer.Stop()
		delete(v.lapsed, id)
	}
}

// TargetsListed implements platform.View.
func (v *view) TargetsListed(ids map[string]bool) {
	v.foreign.relisted(platform.TargetKey(""), func(key string) bool {
		id, _ := platform.ParseTargetKey(key)
		return ids[id]
	})
	for _, id := range v.fleet.IDs() {
		if !ids[id] {
			v.TargetRemoved(id)
		}
	}
}

// SystemKeySet implements platform.View.
func (v *view) SystemKeySet(key, value string, revision int64) {
	if key == v.keys.seat {
		v.seated(value, revision)
		return
	}
	if key == v.keys.count {
		v.counted(value, revision)
		return
	}
	if content, ok, err := verdicts.ParseKey(key); ok {
		v.verdict(key, value, revision, content, err)
		return
	}
	if !strings.HasPrefix(key, v.keys.members) {
		return
	}
	if value == "" {
		v.foreign.forget(key)
		v.enlist(key, "")
		return
	}
	if fault := v.memberFault(key, value); fault != nil {
		v.EntryRejected(platform.RejectedEntry{Key: key, Revision: revision, Err: fault})
		return
	}
	v.enlist(key, value)
}

// verdict takes what the store says of a verdict; an empty value is its end.
func (v *view) verdict(key, value string, revision int64, content poison.Fingerprint, err error) {
	if err == nil && value == "" {
		v.foreign.forget(key)
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
	v.foreign.forget(key)
}

// seated takes what the store says of the seat; an empty value is its end.
func (v *view) seated(holder string, revision int64) {
	if holder != "" && !isName(holder) {
		v.EntryRejected(platform.RejectedEntry{Key: v.keys.seat, Revision: revision, Err: &platform.EntryError{Reason: platform.BadValue}})
		return
	}
	v.foreign.forget(v.keys.seat)
	v.seat.Observe(holder, revision)
	v.holder.Wake()
}

// membersChanged has the plan worked out anew when it is next asked for: entries
// that start together bring a hundred changes within a second. The caller holds mu.
func (v *view) membersChanged() {
	v.planned = nil
	v.countMembers()
	v.fleet.SetMembers(v.self, slices.Collect(maps.Keys(v.members)))
}

// plan returns what this node has to do with the others.
func (v *view) plan() peering.Plan {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.planned == nil {
		p := peering.New(v.self, slices.Collect(maps.Values(v.members)))
		v.planned = &p
		v.logPlace(place{group: p.Group, groups: p.GroupCount, watches: p.Joined && p.Rank == 0})
	}
	return *v.planned
}

// place is where a node stands among the others.
type place struct {
	group, groups int
	// watches is set where it watches the store for its group.
	watches bool
}

// logPlace logs a change of the node's place; the caller holds mu.
func (v *view) logPlace(p place) {
	if p == v.place {
		return
	}
	v.place = p
	v.log.WithFields(logrus.Fields{"event": "grouped", "group": p.group, "groups": p.groups, "watches": p.watches}).Info("the entries are divided so")
}

// SystemKeysListed implements platform.View.
func (v *view) SystemKeysListed(keys map[string]bool, revision int64) {
	v.foreign.relisted(platform.SystemPrefix, func(key string) bool { return keys[key] })
	v.verdicts.Reconcile(keys)
	if !keys[v.keys.seat] {
		v.seat.Observe("", revision)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !keys[v.keys.count] {
		v.count.stored, v.count.revision = 0, 0
	}
	for key := range v.members {
		if !keys[key] {
			v.unlist(key)
		}
	}
	v.membersChanged()
}

// others returns how many other nodes serve.
func (v *view) others() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := len(v.members)
	if _, ok := v.members[v.self]; ok {
		n--
	}
	return n
}
