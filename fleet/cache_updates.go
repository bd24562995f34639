package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"acaciakeel/prefix"
)

// members are the processes that send to the same targets.
type members struct {
	self uint64
	all  []uint64
	// assigned keeps the results of readsCache by address, for the current members.
	assigned map[string]bool
}

// Constants of how cache reads are divided among processes.
const (
	// maxUnshardedMembers is up to how many processes each reads all caches itself. With
	// more, the answers would come in bursts on slow links and hold up streams.
	maxUnshardedMembers = 4
	// readersPerCache is how many of more processes read the same cache: one may be
	// frozen or cut off until its lease ends.
	readersPerCache = 2
	// livenessTTL is for how long a reader's report that a cache's owner answers counts:
	// until two further reports were due.
	livenessTTL = 1500 * time.Millisecond
	// livenessInterval is how often a reader reports that where nothing changed.
	livenessInterval = 500 * time.Millisecond
	// groupLivenessInterval is how often another group gets such reports, and
	// groupLivenessTTL for how long they count: with 3,000 targets, reports to all every
	// half second would take half a megabyte per second. Changes are sent at once.
	groupLivenessInterval = 5 * time.Second
	groupLivenessTTL      = 16 * time.Second
)

// SetMembers sets the names of the processes that send to the same targets, self being
// this one's.
func (f *Fleet) SetMembers(self string, names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.self = prefix.NameHash(self)
	f.members.all, f.members.assigned = f.members.all[:0], map[string]bool{}
	for _, name := range names {
		f.members.all = append(f.members.all, prefix.NameHash(name))
	}
}

// ProcessCount returns how many processes send to the same targets, this one included.
func (f *Fleet) ProcessCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.count()
}

func (m *members) count() int {
	return max(1, len(m.all))
}

// sharded reports whether the processes divide the cache reads among them.
func (m *members) sharded() bool {
	return len(m.all) > maxUnshardedMembers
}

// readsCache reports whether this process reads the cache at address.
func (m *members) readsCache(address string) bool {
	if !m.sharded() {
		return true
	}
	reads, ok := m.assigned[address]
	if !ok {
		reads = slices.Contains(m.all, m.self) && m.isAssigned(address)
		m.assigned[address] = reads
	}
	return reads
}

// isAssigned reports whether this process is among the first in the rendezvous order of
// an address, which is the same for all processes.
func (m *members) isAssigned(address string) bool {
	hash := prefix.NameHash(address)
	own, before := prefix.RendezvousScore(m.self, hash), 0
	for _, other := range m.all {
		if prefix.RendezvousScore(other, hash) > own {
			before++
		}
	}
	return before < readersPerCache
}

// CacheUpdate is what a process's reads of one cache returned, for the processes that do
// not read it.
type CacheUpdate struct {
	Address string
	// Target is the instance that was read; empty for a store.
	Target Instance
	// Boot and Next are those of the last read.
	Boot int64
	Next int64
	// Stored are the parts that were stored, Evicted the hashes of those that were
	// evicted.
	Stored  []Part
	Evicted []uint64
	// Unresponsive is set if the last read got no answer.
	Unresponsive bool
}

// livenessReport is another process's report of whether a cache's owner answers.
type livenessReport struct {
	unresponsive bool
	expiresAt    time.Time
}

// CacheUpdates returns what this process's reads returned since the last call, for the
// other processes; nothing if each reads all caches itself. A cache without changes is
// included now and then, as a sign that its owner answers.
func (f *Fleet) CacheUpdates(now time.Time) []CacheUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.members.sharded() {
		return nil
	}
	var out []CacheUpdate
	for _, s := range f.states {
		out = f.appendUpdate(out, &s.cache, CacheUpdate{Address: s.target.Address, Target: s.target.Instance()}, now)
	}
	for address, k := range f.stores {
		out = f.appendUpdate(out, &k.cache, CacheUpdate{Address: address}, now)
	}
	return out
}

func (f *Fleet) appendUpdate(out []CacheUpdate, c *cache, update CacheUpdate, now time.Time) []CacheUpdate {
	if !f.members.readsCache(update.Address) || (c.bootID == 0 && !c.unresponsive) {
		c.unsharedChanges = nil
		return out
	}
	if len(c.unsharedChanges) == 0 && c.unresponsive == c.sharedUnresponsive && now.Sub(c.sharedAt) < livenessInterval {
		return out
	}
	c.sharedAt, c.sharedUnresponsive = now, c.unresponsive
	update.Boot, update.Next, update.Unresponsive = c.bootID, c.nextEvent, c.unresponsive
	for _, e := range lastChanges(c.unsharedChanges) {
		if e.stored {
			update.Stored = append(update.Stored, e.part)
		} else {
			update.Evicted = append(update.Evicted, e.part.Hash)
		}
	}
	c.unsharedChanges = nil
	return append(out, update)
}

// lastChanges returns the last change of each part, in order.
func lastChanges(all []change) []change {
	last := make(map[uint64]int, len(all))
	for i, e := range all {
		last[e.part.Hash] = i
	}
	out := make([]change, 0, len(last))
	for _, i := range last {
		out = append(out, all[i])
	}
	slices.SortFunc(out, func(a, b change) int { return cmp.Compare(last[a.part.Hash], last[b.part.Hash]) })
	return out
}

// MergeCacheUpdates applies the cache updates of another process, and returns those with
// new content, to be relayed to other groups: of the two readers of a cache one is
// enough. Unresponsive is set in them by the reports of all readers: one of two may be
// cut off itself, and other groups would get alternating values.
func (f *Fleet) MergeCacheUpdates(sender string, all []CacheUpdate, now time.Time) []CacheUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var relay []CacheUpdate
	for _, n := range all {
		c := f.cacheFor(n)
		if c == nil {
			continue
		}
		changed := c.merge(sender, n, f.members.readsCache(n.Address), now, livenessTTL)
		if changed || c.unresponsive != c.relayedUnresponsive || now.Sub(c.relayedAt) >= groupLivenessInterval {
			c.relayedAt, c.relayedUnresponsive = now, c.unresponsive
			n.Unresponsive = c.unresponsive
			relay = append(relay, n)
		}
	}
	return relay
}

// MergeGroupCacheUpdates applies the cache updates of another group's processes.
func (f *Fleet) MergeGroupCacheUpdates(group int, all []CacheUpdate, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range all {
		if c := f.cacheFor(n); c != nil {
			c.merge("group "+strconv.Itoa(group), n, f.members.readsCache(n.Address), now, groupLivenessTTL)
		}
	}
}

// cacheFor returns the cache that an update is about: that of the instance that was read,
// or of a store. Two targets may be listed with one address, which therefore decides only
// if the update names no target.
func (f *Fleet) cacheFor(n CacheUpdate) *cache {
	f.regroup()
	s := f.byAddress[n.Address]
	if n.Target.ID != "" {
		s = f.lookup(n.Target)
	}
	if s != nil {
		return &s.cache
	}
	if k := f.stores[n.Address]; k != nil {
		return &k.cache
	}
	return nil
}

// merge applies another process's update of a cache and reports whether it brought
// changes. A process that reads the cache too judges by its own reads whether the owner
// answers.
func (c *cache) merge(sender string, n CacheUpdate, reads bool, now time.Time, valid time.Duration) (changed bool) {
	if n.Boot != c.bootID || n.Next > c.nextEvent {
		changed = true
		all := make([]change, 0, len(n.Stored)+len(n.Evicted))
		for _, hash := range n.Evicted {
			all = append(all, change{part: Part{Hash: hash}})
		}
		for _, p := range n.Stored {
			all = append(all, change{part: p, stored: true})
		}
		c.apply(n.Boot, n.Next, all)
	}
	if reads {
		return changed
	}
	if c.livenessReports == nil {
		c.livenessReports = map[string]livenessReport{}
	}
	c.livenessReports[sender] = livenessReport{unresponsive: n.Unresponsive, expiresAt: now.Add(valid)}
	c.unresponsive = allUnresponsive(c.livenessReports, now)
	return changed
}

// allUnresponsive reports whether all recent reports are of reads without an answer: a
// process that got an answer may be the only one that is not cut off itself. Expired
// reports are removed.
func allUnresponsive(reports map[string]livenessReport, now time.Time) bool {
	for sender, w := range reports {
		if !now.Before(w.expiresAt) {
			delete(reports, sender)
		} else if !w.unresponsive {
			return false
		}
	}
	return true
}
