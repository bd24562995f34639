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
	// known is which caches this process reads, by address, as worked out for all.
	known map[string]bool
}

// Figures of who reads which cache's events.
const (
	// allReadMost is up to how many processes each reads all caches itself. Read by
	// each of many, they come in bursts on slow links, behind which streams stand.
	allReadMost = 4
	// readersEach is how many of more processes read the same cache: one may be
	// frozen or cut off until its lease ends.
	readersEach = 2
	// wordValid is for how long a reader's word that a cache's owner answers
	// counts: until two further tellings should have come.
	wordValid = 1500 * time.Millisecond
	// wordEvery is how often a reader says so where nothing changed.
	wordEvery = 500 * time.Millisecond
	// groupWordEvery is how often another group is told so, and groupWordValid for
	// how long that counts: with 3,000 targets a word each half second to everybody
	// takes half a megabyte a second. What changes is told at once.
	groupWordEvery = 5 * time.Second
	groupWordValid = 16 * time.Second
)

// SetMembers says which processes send to the same targets, and which of them
// is this one.
func (f *Fleet) SetMembers(self string, names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.self = prefix.NameHash(self)
	f.members.all, f.members.known = f.members.all[:0], map[string]bool{}
	for _, name := range names {
		f.members.all = append(f.members.all, prefix.NameHash(name))
	}
}

// ProcessCount returns how many processes send to the same targets.
func (f *Fleet) ProcessCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.count()
}

func (m *members) count() int {
	return max(1, len(m.all))
}

// split reports whether the processes share the readings out among them.
func (m *members) split() bool {
	return len(m.all) > allReadMost
}

// reads reports whether this process reads the cache at address.
func (m *members) reads(address string) bool {
	if !m.split() {
		return true
	}
	reads, ok := m.known[address]
	if !ok {
		reads = slices.Contains(m.all, m.self) && m.among(address)
		m.known[address] = reads
	}
	return reads
}

// among reports whether this process is among the first in the order that all
// processes find for an address.
func (m *members) among(address string) bool {
	hash := prefix.NameHash(address)
	own, before := prefix.RendezvousScore(m.self, hash), 0
	for _, other := range m.all {
		if prefix.RendezvousScore(other, hash) > own {
			before++
		}
	}
	return before < readersEach
}

// CacheUpdate is what a process's readings of one cache brought, told to those
// that do not read it.
type CacheUpdate struct {
	Address string
	// Target is the life that was read; empty for a store.
	Target Instance
	// Boot and Next are those of the last reading.
	Boot int64
	Next int64
	// Stored are the parts that came, Dropped the hashes of those that left.
	Stored  []Part
	Evicted []uint64
	// Unresponsive is set where the last reading got no answer.
	Unresponsive bool
}

// word is what another process said of whether a cache's owner answers.
type word struct {
	silent bool
	until  time.Time
}

// CacheUpdates returns what this process's readings brought since the last call, to be
// told to the other processes; nothing where each reads for itself. A cache
// without changes is named now and then, as a sign that its owner answers.
func (f *Fleet) CacheUpdates(now time.Time) []CacheUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.members.split() {
		return nil
	}
	var out []CacheUpdate
	for _, s := range f.states {
		out = f.newsOf(out, &s.cache, CacheUpdate{Address: s.runner.Address, Target: s.runner.Instance()}, now)
	}
	for address, k := range f.stores {
		out = f.newsOf(out, &k.cache, CacheUpdate{Address: address}, now)
	}
	return out
}

func (f *Fleet) newsOf(out []CacheUpdate, c *cache, news CacheUpdate, now time.Time) []CacheUpdate {
	if !f.members.reads(news.Address) || (c.boot == 0 && !c.silent) {
		c.unspread = nil
		return out
	}
	if len(c.unspread) == 0 && c.silent == c.spreadSilent && now.Sub(c.spreadAt) < wordEvery {
		return out
	}
	c.spreadAt, c.spreadSilent = now, c.silent
	news.Boot, news.Next, news.Unresponsive = c.boot, c.next, c.silent
	for _, e := range lastOfEach(c.unspread) {
		if e.stored {
			news.Stored = append(news.Stored, e.part)
		} else {
			news.Evicted = append(news.Evicted, e.part.Hash)
		}
	}
	c.unspread = nil
	return append(out, news)
}

// lastOfEach returns the last change of each part, in order.
func lastOfEach(all []change) []change {
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

// MergeCacheUpdates takes what another process's readings brought, and returns those that
// said something new: of the two readings of a cache one is enough to relay. Whether
// a cache's owner answers is said there as judged by the words of all: of two readers
// one may be cut off itself, and the groups beyond would hear now one and now the other.
func (f *Fleet) MergeCacheUpdates(sender string, all []CacheUpdate, now time.Time) []CacheUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fresh []CacheUpdate
	for _, n := range all {
		c := f.cacheOf(n)
		if c == nil {
			continue
		}
		news := c.hear(sender, n, f.members.reads(n.Address), now, wordValid)
		if news || c.silent != c.relayedSilent || now.Sub(c.relayedAt) >= groupWordEvery {
			c.relayedAt, c.relayedSilent = now, c.silent
			n.Unresponsive = c.silent
			fresh = append(fresh, n)
		}
	}
	return fresh
}

// MergeGroupCacheUpdates takes what the readings of another group's processes brought.
func (f *Fleet) MergeGroupCacheUpdates(group int, all []CacheUpdate, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range all {
		if c := f.cacheOf(n); c != nil {
			c.hear("group "+strconv.Itoa(group), n, f.members.reads(n.Address), now, groupWordValid)
		}
	}
}

// cacheOf returns the cache that news is about: that of the life that was read,
// or of a store. Two targets may be listed with one address, so that alone says
// which only where the teller named no target.
func (f *Fleet) cacheOf(n CacheUpdate) *cache {
	f.regroup()
	s := f.addressed[n.Address]
	if n.Target.ID != "" {
		s = f.about(n.Target)
	}
	if s != nil {
		return &s.cache
	}
	if k := f.stores[n.Address]; k != nil {
		return &k.cache
	}
	return nil
}

// hear takes another process's news of a cache and reports whether it brought
// changes. Whether its owner answers a process judges itself where it reads the
// cache too.
func (c *cache) hear(sender string, n CacheUpdate, reads bool, now time.Time, valid time.Duration) (news bool) {
	if n.Boot != c.boot || n.Next > c.next {
		news = true
		all := make([]change, 0, len(n.Stored)+len(n.Evicted))
		for _, hash := range n.Evicted {
			all = append(all, change{part: Part{Hash: hash}})
		}
		for _, p := range n.Stored {
			all = append(all, change{part: p, stored: true})
		}
		c.take(n.Boot, n.Next, all)
	}
	if reads {
		return news
	}
	if c.words == nil {
		c.words = map[string]word{}
	}
	c.words[sender] = word{silent: n.Unresponsive, until: now.Add(valid)}
	c.silent = allSilent(c.words, now)
	return news
}

// allSilent reports whether all who said something lately got no answer: one
// that got some may be the only one that is not cut off itself. Older words are
// taken out.
func allSilent(words map[string]word, now time.Time) bool {
	for sender, w := range words {
		if !now.Before(w.until) {
			delete(words, sender)
		} else if !w.silent {
			return false
		}
	}
	return true
}
