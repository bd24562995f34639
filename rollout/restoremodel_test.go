package rollout

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"acaciakeel/clock"
	"acaciakeel/store"
)

const (
	restoreTick    = 100 * time.Millisecond
	restoreTTL     = 2 * time.Second
	restoreMargin  = 400 * time.Millisecond
	restoreBackoff = 3 * time.Second
	restoreTransit = 1300 * time.Millisecond
)

// restoreContent is what a copy of the modelled store has.
type restoreContent struct {
	revision  int64
	entries   map[string]restoreEntry
	leases    map[int]clock.BootTime // when each ends
	nextLease int
	log       []restoreEvent
}

type restoreEntry struct {
	value    []byte
	revision int64
	lease    int
}

type restoreEvent struct {
	key, value string
	revision   int64
}

func (c *restoreContent) clone() restoreContent {
	return restoreContent{revision: c.revision, entries: maps.Clone(c.entries), leases: maps.Clone(c.leases), nextLease: c.nextLease, log: slices.Clone(c.log)}
}

func (c *restoreContent) record(key, value string) int64 {
	c.revision++
	c.log = append(c.log, restoreEvent{key: key, value: value, revision: c.revision})
	return c.revision
}

// expire ends leases and deletes their keys.
func (c *restoreContent) expire(now clock.BootTime) {
	for _, id := range slices.Sorted(maps.Keys(c.leases)) {
		if c.leases[id] <= now {
			c.end(id)
		}
	}
}

func (c *restoreContent) end(id int) {
	delete(c.leases, id)
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		if c.entries[key].lease == id {
			delete(c.entries, key)
			c.record(key, "")
		}
	}
}

// restoreWorld is a store that comes back from older copies, and processes that elect a leader
// over it. Time is virtual.
type restoreWorld struct {
	t          *rapid.T
	now        clock.BootTime
	content    restoreContent
	copied     restoreContent
	generation int
	restoredAt clock.BootTime
	processes  []*restoreProcess
	started    int
	// lateness is how long after a restore a process may not have noticed it.
	lateness time.Duration
	// highest is the highest token of an order, and holders are the holders of all of them.
	highest int64
	holders map[int64]string
	last    string
	ticks   int
	// calm is set once nothing fails any more; stuck is set if the members of the copy remain
	// members although their processes have ended.
	calm, stuck bool
}

// restoreProcess is one process with its client of the store and its lease.
type restoreProcess struct {
	world *restoreWorld
	name  string
	lock  *LeaderLock
	alive bool
	cut   bool
	skew  time.Duration
	// generation is that of the store which the client believes in, number how many
	// replacements it has noticed, and noticesAt when it notices the next one.
	generation, number int
	noticesAt          clock.BootTime
	listed, everListed bool
	after, seen        int64
	leaseID            store.LeaseID
	leaseNumber        int
	validUntil, since  clock.BootTime
	store.Store
}

func (p *restoreProcess) ID() store.LeaseID     { return p.leaseID }
func (p *restoreProcess) Since() clock.BootTime { return p.since }
func (p *restoreProcess) TTL() time.Duration    { return restoreTTL }
func (p *restoreProcess) Valid() bool           { return p.leaseID != "" && p.world.now < p.validUntil }
func (p *restoreProcess) Remaining() time.Duration {
	if p.leaseID == "" {
		return 0
	}
	return max(0, time.Duration(p.validUntil.Add(restoreMargin)-p.world.now))
}

// notice lets the client notice a replaced history: at the latest after its time, and at once by a
// call whose response tells the revision, if that is lower than one before.
func (p *restoreProcess) notice(tellsRevision bool) {
	lower := tellsRevision && p.world.content.revision < p.seen
	if tellsRevision {
		p.seen = p.world.content.revision
	}
	if p.generation != p.world.generation && (lower || p.world.now >= p.noticesAt) {
		p.generation = p.world.generation
		p.number++
		p.listed = false
	}
}

func (p *restoreProcess) at(revision int64) store.Position { return store.At(p.number, revision) }

func (p *restoreProcess) entry(key string) store.Entry {
	e, ok := p.world.content.entries[key]
	if !ok {
		return store.Entry{}
	}
	return store.Entry{Key: key, Value: e.value, Revision: p.at(e.revision)}
}

// Put implements store.Store.
func (p *restoreProcess) Put(_ context.Context, key string, value []byte, expected store.Position, id store.LeaseID) (store.Position, error) {
	w := p.world
	if p.cut {
		return 0, store.ErrUnavailable
	}
	if rapid.Bool().Draw(w.t, "noticed before") {
		p.notice(true)
	}
	if expected != 0 && expected.History() != p.number {
		return 0, store.ErrConflict
	}
	lease, known := 0, true
	if id != "" {
		_, _ = fmt.Sscan(string(id), &lease)
		_, known = w.content.leases[lease]
		known = known && p.leaseNumber == p.number
	}
	current := w.content.entries[key]
	conflict := current.revision != expected.Revision()
	var revision int64
	if known && !conflict {
		revision = w.content.record(key, string(value))
		w.content.entries[key] = restoreEntry{value: bytes.Clone(value), revision: revision, lease: lease}
	}
	if !w.calm && rapid.IntRange(0, 9).Draw(w.t, "lost") == 0 {
		return 0, errNoResponse
	}
	// The response to a write shows the history that it was carried out in.
	p.noticesAt = min(p.noticesAt, w.now)
	p.notice(true)
	switch {
	case !known:
		return 0, store.ErrNotFound
	case conflict:
		return 0, &store.ConflictError{Current: p.entry(key)}
	}
	return p.at(revision), nil
}

// Get implements store.Store.
func (p *restoreProcess) Get(_ context.Context, key string) (store.Entry, error) {
	if p.cut {
		return store.Entry{}, store.ErrUnavailable
	}
	p.notice(false)
	if e := p.entry(key); e.Revision != 0 {
		return e, nil
	}
	return store.Entry{}, store.ErrNotFound
}

// Delete implements store.Store.
func (p *restoreProcess) Delete(_ context.Context, key string, expected store.Position) (store.Position, error) {
	if p.cut {
		return 0, store.ErrUnavailable
	}
	p.notice(true)
	if expected.History() != p.number || p.world.content.entries[key].revision != expected.Revision() {
		return 0, store.ErrConflict
	}
	delete(p.world.content.entries, key)
	return p.at(p.world.content.record(key, "")), nil
}

// renew renews the lease, or gets another one.
func (p *restoreProcess) renew() {
	if p.cut {
		return
	}
	p.notice(false)
	w := p.world
	id := 0
	_, _ = fmt.Sscan(string(p.leaseID), &id)
	if _, known := w.content.leases[id]; p.leaseID == "" || !known || p.leaseNumber != p.number {
		w.content.nextLease++
		id = w.content.nextLease
		p.leaseNumber = p.number
	}
	w.content.leases[id] = w.now.Add(restoreTTL)
	if store.LeaseID(fmt.Sprint(id)) != p.leaseID || w.now >= p.validUntil.Add(restoreMargin) {
		p.since = w.now
	}
	p.leaseID = store.LeaseID(fmt.Sprint(id))
	p.validUntil = w.now.Add(restoreTTL - restoreMargin)
}

// poll lists or watches the store.
func (p *restoreProcess) poll() {
	if p.cut {
		return
	}
	p.notice(true)
	content := &p.world.content
	if !p.listed {
		p.listed, p.everListed, p.after = true, true, content.revision
		at := p.at(content.revision)
		if e := p.entry("seat"); e.Revision != 0 {
			p.lock.Observe(string(e.Value), e.Revision)
		} else {
			p.lock.ObserveAbsent(at)
		}
		e := p.entry("leaders")
		p.observeHistory(string(e.Value), max(e.Revision, at))
		return
	}
	for _, e := range content.log {
		if e.revision <= p.after {
			continue
		}
		p.after = e.revision
		if e.key == "seat" {
			p.lock.Observe(e.value, p.at(e.revision))
		} else {
			p.observeHistory(e.value, p.at(e.revision))
		}
	}
}

func (p *restoreProcess) observeHistory(value string, position store.Position) {
	r, err := ParseHistory(value)
	if value != "" && err != nil {
		p.world.t.Fatalf("the record is %q: %v", value, err)
	}
	p.lock.ObserveHistory(r, value != "", position)
}

func (p *restoreProcess) mayOrder() bool {
	_, held := p.lock.Held()
	return p.alive && held && p.lock.Remaining() > restoreTransit
}

// order gives an order if the process may.
func (p *restoreProcess) order() {
	w := p.world
	if _, held := p.lock.Held(); !held {
		return
	}
	p.lock.Confirm(context.Background())
	if !p.mayOrder() {
		return
	}
	token, _ := p.lock.Held()
	if other, ok := w.holders[token]; ok && other != p.name {
		w.t.Fatalf("%v: %s and %s gave orders with the token %d", w.now, other, p.name, token)
	}
	if token < w.highest {
		w.t.Fatalf("%v: %s gives an order with %d after one of %s with %d", w.now, p.name, token, w.last, w.highest)
	}
	w.holders[token], w.highest, w.last = p.name, token, p.name
}

// logger has the lock's log among the output of a failed check.
func (p *restoreProcess) logger() *logrus.Logger {
	log := discardLogger()
	log.AddHook(p)
	return log
}

// Levels implements logrus.Hook.
func (p *restoreProcess) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (p *restoreProcess) Fire(e *logrus.Entry) error {
	p.world.t.Logf("%v %s %v", time.Duration(p.world.now), p.name, e.Data)
	return nil
}

// start adds a process, of a machine that had one before or not.
func (w *restoreWorld) start(machine int) {
	w.started++
	p := &restoreProcess{
		world: w, name: fmt.Sprintf("m%d/%d", machine, w.started), alive: true, generation: w.generation,
		skew: time.Duration(rapid.IntRange(-500, 500).Draw(w.t, "skew")) * time.Millisecond,
	}
	p.lock = NewLeaderLock(p, p, "seat", p.name, restoreBackoff, p.logger())
	p.lock.now = func() clock.BootTime { return w.now }
	p.lock.wallClock = func() time.Time { return time.UnixMilli(1.8e12).Add(time.Duration(w.now) + p.skew) }
	p.lock.KeepHistory("leaders")
	p.lock.SetHolderAlive(func(name string) bool {
		return slices.ContainsFunc(w.processes, func(p *restoreProcess) bool { return (p.alive || w.stuck) && p.name == name })
	})
	w.processes = append(w.processes, p)
}

func (w *restoreWorld) restore() {
	w.content = w.copied.clone()
	w.generation++
	w.restoredAt = w.now
	if rapid.Bool().Draw(w.t, "leases unknown") {
		clear(w.content.leases)
	} else {
		for id := range w.content.leases {
			w.content.leases[id] = w.now.Add(restoreTTL)
		}
	}
	for _, p := range w.processes {
		late := rapid.SampledFrom([]time.Duration{0, 0, w.lateness / 4, w.lateness}).Draw(w.t, "late")
		p.noticesAt = w.now.Add(late)
	}
}

// tick lets all processes do what is due, and then 100 ms pass.
func (w *restoreWorld) tick(n int) {
	w.content.expire(w.now)
	for i, p := range w.processes {
		if !p.alive {
			continue
		}
		if (n+i)%5 == 0 {
			p.renew()
		}
		if (n+i)%3 == 0 && p.leaseID != "" {
			p.poll()
		}
		if (n+i)%2 == 0 {
			p.lock.TryAcquire(context.Background())
		}
		p.order()
	}
	var able []string
	for _, p := range w.processes {
		if p.mayOrder() {
			able = append(able, p.name)
		}
	}
	if len(able) > 1 {
		w.t.Fatalf("%v: %v may give orders", w.now, able)
	}
	w.now = w.now.Add(restoreTick)
}

// disrupt does one thing at random.
func (w *restoreWorld) disrupt() {
	p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(w.t, "process")]
	switch rapid.SampledFrom([]string{"copy", "restore", "cut", "kill", "stop", "other writes"}).Draw(w.t, "disruption") {
	case "copy":
		w.copied = w.content.clone()
	case "restore":
		// What a process does not know that has just started is not covered.
		if !slices.ContainsFunc(w.processes, func(p *restoreProcess) bool { return p.alive && !p.everListed }) {
			w.restore()
		}
	case "cut":
		p.cut = !p.cut
	case "kill":
		p.alive = !p.alive
		if p.alive {
			// It is another process, which knows nothing of what was before.
			p.alive = false
			if time.Duration(w.now-w.restoredAt) >= w.lateness+restoreTTL {
				w.start(rapid.IntRange(0, 2).Draw(w.t, "machine"))
			}
		}
	case "stop":
		if p.alive {
			_ = p.lock.Release(context.Background())
			p.alive = false
		}
	case "other writes":
		w.content.revision += int64(rapid.IntRange(1, 30).Draw(w.t, "revisions"))
	}
}

// newRestoreWorld returns a world of three machines with a process each, after some disruptions.
func newRestoreWorld(rt *rapid.T, lateness time.Duration) *restoreWorld {
	w := &restoreWorld{t: rt, now: clock.BootTime(time.Hour), lateness: lateness, holders: map[int64]string{}}
	w.content.entries, w.content.leases = map[string]restoreEntry{}, map[int]clock.BootTime{}
	w.copied = w.content.clone()
	for i := range 3 {
		w.start(i)
	}
	for range rapid.IntRange(1, 25).Draw(rt, "disruptions") {
		w.run(rapid.IntRange(0, 30).Draw(rt, "ticks"))
		w.disrupt()
	}
	return w
}

func (w *restoreWorld) calmDown() {
	w.calm = true
	for _, p := range w.processes {
		p.cut = false
	}
}

func (w *restoreWorld) run(ticks int) {
	for range ticks {
		w.tick(w.ticks)
		w.ticks++
	}
}

func (w *restoreWorld) holderIsAble() bool {
	return slices.ContainsFunc(w.processes, (*restoreProcess).mayOrder)
}

// Guards against two leaders, a token that is given out twice or falls, and a lock that nobody
// acquires, where the store comes back from older copies and processes notice late.
func TestLockIsSafeWhenTheStoreIsRestored(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newRestoreWorld(rt, 3*restoreTTL)
		w.calmDown()
		w.run(50)
		w.start(0)
		w.run(100)
		if !w.holderIsAble() {
			rt.Fatalf("nobody gives orders: %s", w.states())
		}
	})
}

// Guards against nobody giving orders for longer than a lease, a backoff and the wait for other
// holders after a restore that all processes notice at once.
func TestLockIsAcquiredSoonAfterARestore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newRestoreWorld(rt, 0)
		w.stuck = rapid.Bool().Draw(rt, "stuck members")
		w.calmDown()
		w.run(50)
		w.start(0)
		w.run(10)
		w.restore()
		w.run(int(restoreTTL / restoreTick))
		if w.stuck && !slices.ContainsFunc(w.processes, func(p *restoreProcess) bool {
			return p.alive && (p.lock.state.owner != ownerOther || p.lock.state.cameBack)
		}) {
			return // nobody can tell that the holder of the entry has ended
		}
		for !w.holderIsAble() {
			w.run(1)
			if after := time.Duration(w.now - w.restoredAt); after > 4800*time.Millisecond {
				rt.Fatalf("nobody gives orders %v after a restore: %s", after, w.states())
			}
		}
	})
}

func (w *restoreWorld) states() string {
	out := fmt.Sprintf("the key has %+v;", w.content.entries["seat"])
	for _, p := range w.processes {
		if p.alive {
			_, held := p.lock.Held()
			out += fmt.Sprintf(" %s: %s held=%t blocker=%q;", p.name, p.lock.state, held, p.lock.blocker())
		}
	}
	return out
}
