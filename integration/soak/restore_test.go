package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"acaciakeel/internal/standin/kv"
	"acaciakeel/internal/standin/runner"
)

// Figures of a store that comes back from copies.
const (
	// restoreSeconds is how long a seed is played.
	restoreSeconds = 6
	// storeCopyEvery is the pause between two copies, of which the last copiesKept are kept.
	storeCopyEvery = 250 * time.Millisecond
	copiesKept     = 20
	// longestRestorePause bounds the pause between two restores, longestStoreAway for how long the
	// store is away.
	longestRestorePause = 2500 * time.Millisecond
	longestStoreAway    = 1500 * time.Millisecond
	// longestRewrite bounds the pause between two of the others' writes after a restore.
	longestRewrite = 60 * time.Millisecond
	// applyBound is for how long an added route may be unknown to an entry in touch with the store.
	applyBound = 3 * time.Second
	// routePause is the pause between two requests at added routes, of each entry.
	routePause = 60 * time.Millisecond
)

// TestSoakRestore guards against entries that miss configurations, targets that leave and weights, or
// give orders under one fencing token, as the store comes back from older copies in series.
func TestSoakRestore(t *testing.T) {
	seeds := []uint64{1, 2}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playRestores(t, seed)
		})
	}
}

func playRestores(t *testing.T, seed uint64) {
	s := newSite(t, number("SOAK_ENTRIES", usualEntries), regression{sendsEra: seed%2 == 1, desks: 3})
	s.await("all entries are ready at the start", s.allReady)
	r := &restorer{site: s, callers: s.call(seed), random: rand.New(rand.NewPCG(seed, 1<<37)), stop: make(chan struct{}), leavers: map[*target][]span{}}
	r.addRoute()
	h := &holders{site: s, sent: make(chan struct{}), ending: map[*entry]bool{}}
	b := &breaker{site: s, random: rand.New(rand.NewPCG(seed, 1<<32)), faults: r.faults(h), callers: r.callers}
	stopNaming := s.nameWithoutEnd(seed)
	r.done.Go(r.keepCopies)
	r.done.Go(r.keepRestoring)
	for _, e := range s.entries {
		r.done.Go(func() { r.keepAsking(e, rand.New(rand.NewPCG(seed, 1<<38))) })
	}
	b.breakFor(time.Duration(number("SOAK_SECONDS", restoreSeconds)) * time.Second)
	close(r.stop)
	r.done.Wait()
	stopNaming()
	h.starts.Wait()
	s.await("all entries are ready after the faults", s.allReady)
	endLast := r.restoreLast()
	time.Sleep(applyBound)
	r.callers.end()
	endLast()
	s.await("every runner has the newest weights", s.allLoaded)
	s.await("the entries' own keys stand in the store", s.ownEntriesStand)
	if t.Failed() {
		t.Logf("members %v, count of entries %q", s.members(), s.store.Value("keel/entries"))
	}
	r.askLast()
	r.callers.judge()
	r.judgeRoutes()
	leavers := r.judgeLeavers()
	for _, tg := range s.runners {
		for _, wrong := range h.judge(tg.OrderArrivals()) {
			t.Errorf("%s: %s", tg.ID, wrong)
		}
	}
	t.Logf("soak of restores seed=%d restores=%d requests=%d holders=%d weights=%d routes=%d leavers=%d outcomes=%v faults=%v", seed, r.restores, r.callers.seq, h.count(), s.weights, len(r.added), leavers, r.callers.counts, b.played)
	for _, v := range r.callers.broken {
		t.Error(v)
	}
	if r.restores == 0 {
		t.Error("the store was never restored")
	}
}

// span is a time in which something was disturbed or held.
type span struct{ from, until time.Time }

// restorer brings the store back from copies, has the others write theirs again and keeps what the
// entries must know.
type restorer struct {
	site    *site
	callers *callers
	random  *rand.Rand
	stop    chan struct{}
	done    sync.WaitGroup

	mu       sync.Mutex
	copies   []kv.Copy
	restores int
	// config is the newest configuration, added when each of its added routes was acknowledged.
	config []byte
	added  map[string]time.Time
	// disturbed are the times in which the store was away or the others had not yet written theirs.
	disturbed []span
	// leavers are the times in which each target was leaving.
	leavers map[*target][]span
}

func (r *restorer) pause(d time.Duration) (goesOn bool) {
	select {
	case <-time.After(d):
		return true
	case <-r.stop:
		return false
	}
}

func (r *restorer) keepCopies() {
	for r.pause(storeCopyEvery) {
		r.mu.Lock()
		r.copies = append(r.copies, r.site.store.Copy())
		r.copies = r.copies[max(0, len(r.copies)-copiesKept):]
		r.mu.Unlock()
	}
}

func (r *restorer) keepRestoring() {
	for r.pause(storeCopyEvery + time.Duration(r.random.Int64N(int64(longestRestorePause)))) {
		r.restore()
	}
}

// restore brings the store back from a copy; the others write theirs again in any order, some before it
// is back for the entries.
func (r *restorer) restore() {
	began := time.Now()
	away := time.Duration(r.random.IntN(3)) * longestStoreAway / 2
	r.site.service.SetAway(true)
	time.Sleep(away / 2)
	writes := r.rewrites()
	r.random.Shuffle(len(writes), func(i, j int) { writes[i], writes[j] = writes[j], writes[i] })
	early := r.random.IntN(len(writes) + 1)
	r.mu.Lock()
	at := r.random.IntN(len(r.copies))
	r.site.service.Restore(r.copies[at])
	r.copies = r.copies[:at+1]
	r.restores++
	r.mu.Unlock()
	for _, write := range writes[:early] {
		write()
	}
	time.Sleep(away / 2)
	r.site.service.SetAway(false)
	for _, write := range writes[early:] {
		time.Sleep(time.Duration(r.random.Int64N(int64(longestRewrite))))
		write()
	}
	r.disturb(span{began, time.Now()})
}

// lastRestores is how many restores follow when all else is quiet, quietPause the pause before each, in
// which all entries learn the store's contents.
const (
	lastRestores = 2
	quietPause   = 500 * time.Millisecond
)

// restoreLast restores the store beside no other fault; what is written afterwards must be known, as
// nothing newer follows that would make up for it. A target leaves that all entries know of before, and
// one afterwards, until end.
func (r *restorer) restoreLast() (end func()) {
	known := r.leave(r.site.desks[0])
	time.Sleep(drainBound + quietPause)
	for range lastRestores {
		r.addRoute()
		time.Sleep(quietPause)
		r.restore()
		r.addRoute()
		r.site.nameWeights()
	}
	missed := r.leave(r.site.desks[1])
	return func() { known(); missed() }
}

// leave has a target say that it leaves; end is when it starts again.
func (r *restorer) leave(tg *target) (end func()) {
	s := r.site
	s.mu.Lock()
	tg.leaves = true
	s.mu.Unlock()
	s.register(tg, true)
	said := time.Now()
	return func() {
		r.mu.Lock()
		r.leavers[tg] = append(r.leavers[tg], span{said, time.Now()})
		r.mu.Unlock()
		tg.Reborn()
		s.mu.Lock()
		tg.leaves = false
		s.mu.Unlock()
		s.register(tg, true)
	}
}

// rewrites are the writes of the operator and of the targets after a restore.
func (r *restorer) rewrites() []func() {
	writes := []func(){
		func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.site.store.Set("op/config", r.config)
		},
		func() {
			r.site.mu.Lock()
			defer r.site.mu.Unlock()
			r.site.writeWeights()
		},
	}
	for _, tg := range r.site.targets() {
		writes = append(writes, func() { r.site.register(tg, true) })
	}
	return writes
}

func (r *restorer) disturb(s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed = append(r.disturbed, s)
}

// addRoute has the operator write a configuration with one more route.
func (r *restorer) addRoute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.added == nil {
		r.added = map[string]time.Time{}
	}
	name := fmt.Sprintf("%s%d", addedRoutePrefix, len(r.added))
	r.site.added = append(r.site.added, name)
	r.site.configure()
	r.config = r.site.store.Value("op/config")
	r.added[name] = time.Now()
}

// faults are those beside which the store is restored.
func (r *restorer) faults(h *holders) []fault {
	ended := func(name string, signal syscall.Signal) fault {
		return fault{name, func(b *breaker) (time.Duration, func()) {
			h.end(b.entry(), signal, b.upTo(time.Second))
			return 0, nil
		}}
	}
	added := fault{"added route", func(*breaker) (time.Duration, func()) { r.addRoute(); return 0, nil }}
	drains := fault{"target drains", r.drain}
	away := fault{"store away from one", func(b *breaker) (time.Duration, func()) {
		e, began := b.entry(), time.Now()
		e.proxy.SetRefuse(true)
		e.proxy.Cut()
		return b.upTo(time.Second), func() {
			e.proxy.SetRefuse(false)
			r.disturb(span{began, time.Now()})
		}
	}}
	return []fault{ended("entry killed", syscall.SIGKILL), ended("entry stopped and started", syscall.SIGTERM), added, added, added, drains, drains, drains, away}
}

// drain has a target leave and start again later. One at a time leaves.
func (r *restorer) drain(b *breaker) (time.Duration, func()) {
	r.site.mu.Lock()
	busy := slices.ContainsFunc(r.site.desks, func(tg *target) bool { return tg.leaves })
	r.site.mu.Unlock()
	if busy {
		return 0, nil
	}
	return drainBound + b.upTo(4*time.Second), r.leave(r.site.desks[b.random.IntN(len(r.site.desks))])
}

// routePrefix begins the IDs of requests at added routes, addedRoutePrefix the routes' names.
const (
	routePrefix      = "route-"
	addedRoutePrefix = "added-"
)

// keepAsking sends requests at added routes to an entry, at the latest one more often.
func (r *restorer) keepAsking(e *entry, random *rand.Rand) {
	for r.pause(routePause) {
		r.mu.Lock()
		latest := len(r.added) - 1
		r.mu.Unlock()
		at := latest
		if random.IntN(2) == 0 {
			at = random.IntN(latest + 1)
		}
		r.ask(e, at)
	}
}

func (r *restorer) ask(e *entry, route int) bool {
	return r.callers.sendAs(e, fmt.Sprintf("%s%d", addedRoutePrefix, route), r.callers.newID(routePrefix, e), 0)
}

// askedLast is how often an entry is asked for a route that it must serve: a connection may end on
// the way.
const askedLast = 3

func (r *restorer) isServed(e *entry, route int) bool {
	for range askedLast {
		if r.ask(e, route) {
			return true
		}
	}
	return false
}

// askLast has each entry asked for each added route after all is quiet.
func (r *restorer) askLast() {
	for _, e := range r.site.entries {
		for route := range len(r.added) {
			if !r.isServed(e, route) {
				r.callers.violate("%s does not serve the added route %d after the faults", e.name, route)
			}
		}
	}
}

// knownFrom is when an entry must know what was written at a time, at the latest: it was in touch with
// the store, which nothing disturbed, for a bound.
func (r *restorer) knownFrom(e *entry, written, now time.Time, bound time.Duration) time.Time {
	e.mu.Lock()
	for _, at := range e.disturbed {
		if at.After(written) && at.Before(now) {
			written = at
		}
	}
	e.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortFunc(r.disturbed, func(a, b span) int { return a.from.Compare(b.from) })
	for _, d := range r.disturbed {
		if d.from.Before(written.Add(bound)) && d.until.After(written) {
			written = d.until
		}
	}
	return written.Add(bound)
}

// isDisturbedBetween reports whether an entry was started or signalled in a time.
func (e *entry) isDisturbedBetween(from, until time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.disturbed, func(at time.Time) bool { return at.After(from) && at.Before(until) })
}

// asked is one request at an added route.
type asked struct {
	entry *entry
	outcome
}

// asked returns the requests at added routes in their order.
func (r *restorer) asked() []asked {
	c := r.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []asked
	for id, sends := range c.seen {
		if strings.HasPrefix(id, routePrefix) {
			out = append(out, asked{c.sentTo[id], sends[0]})
		}
	}
	slices.SortFunc(out, func(a, b asked) int { return a.began.Compare(b.began) })
	return out
}

// judgeRoutes: an entry knows each added route in time, and does not forget it.
func (r *restorer) judgeRoutes() {
	late, forgotten := map[string]int{}, map[string]int{}
	served := map[string]time.Time{}
	for _, a := range r.asked() {
		key := a.entry.name + " " + a.route
		switch {
		case a.status == http.StatusOK:
			served[key] = a.ended
		case a.status != http.StatusNotFound:
		case !served[key].IsZero() && served[key].Before(a.began) && !a.entry.isDisturbedBetween(served[key], a.ended):
			forgotten[key]++
		case a.began.After(r.knownFrom(a.entry, r.added[a.route], a.began, applyBound)):
			late[key]++
		}
	}
	for key, n := range late {
		r.callers.violate("%s: %d times not known more than %v after it was written and the store was in order", key, n, applyBound)
	}
	for key, n := range forgotten {
		r.callers.violate("%s: %d times not known after it was served", key, n)
	}
}

// judgeLeavers: a target that leaves gets nothing from entries that must know. It returns how many times
// an entry had to know of one while that was leaving.
func (r *restorer) judgeLeavers() (judged int) {
	for tg, times := range r.leavers {
		for _, leaves := range times {
			for _, e := range r.site.entries {
				if r.knownFrom(e, leaves.from, leaves.until, drainBound).Before(leaves.until) {
					judged++
				}
			}
			arrived := map[string]int{}
			for _, s := range tg.Seen() {
				if e := r.callers.sentTo[s.ID]; e != nil && r.isLate(e, s, leaves) {
					arrived[e.name]++
				}
			}
			for name, n := range arrived {
				r.callers.violate("%s sent %d requests to %s more than %v after it said that it leaves and the store was in order", name, n, tg.ID, drainBound)
			}
		}
	}
	return judged
}

func (r *restorer) isLate(e *entry, s runner.Seen, leaves span) bool {
	return s.At.After(leaves.from) && s.At.Before(leaves.until) && s.At.After(r.knownFrom(e, leaves.from, s.At, drainBound))
}
