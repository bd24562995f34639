package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

var binDir string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "acaciakeel-soak")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(dir)
	binDir = dir
	if released := os.Getenv("SOAK_ENTRIES_DIR"); released != "" {
		// The entries of another release.
		binDir = released
		return m.Run(), nil
	}
	build := exec.Command("go", "build", "-race", "-o", dir+"/", "./cmd/acaciakeel-entry")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("build the entry: %w\n%s", err, out)
	}
	return m.Run(), nil
}

// logDir is where the entries' logs go: SOAK_LOGS keeps them.
func logDir(t *testing.T, dir string) string {
	kept := os.Getenv("SOAK_LOGS")
	if kept == "" {
		return dir
	}
	if err := os.MkdirAll(kept, 0o700); err != nil {
		t.Fatal(err)
	}
	return kept
}

func number(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// regression is a seed that failed once, with the faults that it played then:
// with others it would play something else.
type regression struct {
	seed   uint64
	faults []fault
	// deadly is the content that ends targets; empty is none. direct has targets be
	// reached without proxies.
	deadly string
	direct bool
	// versionMS is the bound on older weights, and has targets take time to load; 0 is
	// the usual bound, and none.
	versionMS int
	// seconds is how long it is played; 0 is as long as most are.
	seconds int
	// scarce has clients that read slowly, and entries with little memory.
	scarce bool
	// versions has targets of two software versions, and clients that resume streams.
	versions bool
	// build is the software version of all targets; empty states none.
	build string
	// framings has targets that mark the end of their responses in different ways.
	framings bool
	// badPart has requests with a prompt part that crashes targets.
	badPart bool
	// press has clients send more than the targets can run.
	press *press
	// shed is a load of services of which one sheds what is beyond its slots.
	shed *shedding
	// endless has clients press while targets send responses without an end.
	endless bool
	// sendsEra has the store's responses say in which history they are.
	sendsEra bool
	// desks is how many targets plain services have; 0 is the usual number.
	desks int
	// ownEntries has the entries' own keys in the store checked in the end.
	ownEntries bool
}

// regressions have the cause each, in a line.
var regressions = []regression{
	// A runner's 421 and its entry in the list named no newer weights; an entry
	// took it for loaded with the newest and told so, and no order came.
	{seed: 8, faults: faults},
}

// TestSoak plays a few seconds of each seed. SOAK_SEED plays another one alone,
// SOAK_SECONDS says how long, SOAK_ENTRIES with how many entries.
func TestSoak(t *testing.T) {
	cases := append([]regression{{seed: 1, faults: allFaults}}, regressions...)
	if n := number("SOAK_SEED", 0); n != 0 {
		cases = []regression{{seed: uint64(n), faults: allFaults}}
	}
	for _, r := range cases {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) { play(t, r) })
	}
}

// TestSoakDeadly plays seeds in which a request ends whoever runs it and comes again all
// the while, at any entry. Odd seeds see by refused connections that a target has ended,
// even ones by the list alone.
func TestSoakDeadly(t *testing.T) {
	seeds := []uint64{1, 2}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, regression{seed: seed, faults: deadlyFaults(), deadly: "one", direct: seed%2 == 1})
		})
	}
}

// usualSeconds is how long most seeds are played, usualEntries with how many entries.
const (
	usualSeconds = 8
	usualEntries = 3
)

func play(t *testing.T, r regression) {
	entries := usualEntries
	if r.shed != nil {
		entries = cmp.Or(r.shed.entries, usualEntries)
	}
	s := newSite(t, number("SOAK_ENTRIES", entries), r)
	s.await("all entries are ready at the start", s.allReady)
	if r.versionMS != 0 {
		s.loading(r.seed)
	}
	c := s.call(r.seed)
	var streams *shares
	if r.versions {
		streams = c.resumeStreams(r.seed)
	}
	if r.deadly != "" {
		c.deadly(r.deadly, r.seed)
	}
	if r.badPart {
		c.sendBadPart(r.seed)
	}
	if r.framings {
		c.sendLarge(r.seed)
	}
	if r.scarce {
		c.readSlowly(r.seed)
	}
	if r.press != nil {
		s.limitRoom(r.press)
		c.sendPress(r.seed)
	}
	if r.shed != nil {
		s.shed(r.shed)
		if r.shed.copies != nil {
			c.sendBesideCopies(r.shed.copies, r.seed)
		} else {
			c.sendShed(r.seed)
		}
	}
	if r.endless {
		s.watchMemory(c.stop)
		c.sendEndless(r.seed)
	}
	b := &breaker{site: s, random: rand.New(rand.NewPCG(r.seed, 1<<32)), faults: r.faults, callers: c}
	if r.press != nil {
		b.shows = func() bool { return s.lateRefusals() > 0 }
	}
	if r.shed != nil && r.shed.copies != nil {
		b.shows = func() bool { return r.shed.copies.every == 0 || s.copies().Sent > 0 }
	}
	b.breakFor(time.Duration(number("SOAK_SECONDS", cmp.Or(r.seconds, usualSeconds))) * time.Second)
	c.end()
	if r.press != nil {
		s.endPress()
	}
	if r.shed != nil {
		s.endShed()
	}
	s.await("all entries are ready after the faults", s.allReady)
	s.await("requests are served after the faults", func() bool { return c.send(s.entries[0], "stock", 0) && c.send(s.entries[0], "draft", 0) })
	if r.scarce {
		s.await("a client that reads slowly gets its whole stream", func() bool { return c.sendSlow(s.entries[0]) })
	}
	s.await("every runner has the newest weights", s.allLoaded)
	if r.ownEntries {
		s.await("the entries' own keys stand in the store", s.ownEntriesStand)
	}
	c.judge()
	if r.framings {
		t.Logf("%d requests were answered early", s.answeredEarly())
	}
	if r.versionMS != 0 {
		c.judgeWeights(time.Duration(r.versionMS) * time.Millisecond)
	}
	if r.versions {
		c.judgeVersions(streams)
	}
	if r.badPart {
		c.judgeBadPart()
	} else {
		c.judgeDeadly(r.deadly)
	}
	c.judgeNotices()
	if r.press != nil {
		c.judgePress()
	}
	if r.shed != nil {
		c.judgeShed()
		c.judgeCopies(r.shed.copies)
	}
	if r.endless {
		c.judgeMemory()
	}
	t.Logf("soak seed=%d requests=%d outcomes=%v faults=%v", r.seed, c.seq, c.counts, b.played)
	for _, v := range c.broken {
		t.Error(v)
	}
}

// patience bounds the waiting for something that must come; no test judges how
// long it took.
const patience = 30 * time.Second

func (s *site) await(what string, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
	}
	s.t.Errorf("waited in vain until %s", what)
}

func (s *site) allReady() bool {
	for _, e := range s.entries {
		if !e.isReady() {
			return false
		}
	}
	return true
}

// allLoaded reports whether each runner has the newest weights, and by an order
// of its present life where its first start had older ones.
func (s *site) allLoaded() bool {
	for _, r := range s.runners {
		orders := r.Orders()
		if r.Weights(model) != int64(s.weights) {
			return false
		}
		if s.weights > 1 && (len(orders) == 0 || orders[len(orders)-1].Version != int64(s.weights)) {
			return false
		}
	}
	return true
}

// breaker makes faults one after the other; those that last overlap.
type breaker struct {
	site    *site
	random  *rand.Rand
	faults  []fault
	callers *callers
	played  []string
	// under are the faults that last.
	under sync.WaitGroup
	// shows, if set, reports whether the load has shown what it is played for. Until then it goes on,
	// as a slow machine plays little of it in its time.
	shows func() bool
}

// fault is one thing that goes wrong; it returns its end, if it lasts.
type fault struct {
	name string
	do   func(b *breaker) (lasts time.Duration, end func())
}

func (b *breaker) breakFor(total time.Duration) {
	for end := time.Now().Add(total); time.Now().Before(end) || b.goesOn(end); {
		time.Sleep(time.Duration(100+b.random.IntN(500)) * time.Millisecond)
		f := b.faults[b.random.IntN(len(b.faults))]
		b.played = append(b.played, f.name)
		b.noteStore(f)
		lasts, mend := f.do(b)
		if mend == nil {
			continue
		}
		b.under.Add(1)
		time.AfterFunc(lasts, func() {
			defer b.under.Done()
			mend()
			b.noteStore(f)
		})
	}
	b.under.Wait()
}

func (b *breaker) goesOn(end time.Time) bool {
	return b.shows != nil && !b.shows() && time.Since(end) < patience
}

// noteStore keeps when a fault of the store began or ended.
func (b *breaker) noteStore(f fault) {
	if !strings.HasPrefix(f.name, "store") {
		return
	}
	b.site.mu.Lock()
	defer b.site.mu.Unlock()
	b.site.storeDisturbed = time.Now()
}

func (b *breaker) entry() *entry { return b.site.entries[b.random.IntN(len(b.site.entries))] }

func (b *breaker) target() *target {
	all := b.site.targets()
	return all[b.random.IntN(len(all))]
}

// runner returns a target with streams and orders.
func (b *breaker) runner() *target {
	return b.site.runners[b.random.IntN(len(b.site.runners))]
}

func (b *breaker) upTo(most time.Duration) time.Duration {
	return time.Duration(b.random.Int64N(int64(most)))
}

// spoil has a target fail in one way for a time.
func spoil(kind runner.Fault) fault {
	return fault{"target " + string(kind), func(b *breaker) (time.Duration, func()) {
		tg := b.target()
		tg.SetFault(kind)
		return b.upTo(800 * time.Millisecond), func() { tg.SetFault(runner.None) }
	}}
}

// faults are those of targets that keep their life, of entries, of the store and
// of the ways between them.
var faults = []fault{
	spoil(runner.Shed), spoil(runner.LoseAnswer), spoil(runner.Crossed), spoil(runner.Unsealed), spoil(runner.Broken), spoil(runner.Failing),
	{"target cut", func(b *breaker) (time.Duration, func()) { b.target().proxy.Cut(); return 0, nil }},
	{"target silent", func(b *breaker) (time.Duration, func()) { b.target().proxy.Freeze(); return 0, nil }},
	{"target refuses", func(b *breaker) (time.Duration, func()) {
		p := b.target().proxy
		p.SetRefuse(true)
		return b.upTo(time.Second), func() { p.SetRefuse(false) }
	}},
	{"target slow", func(b *breaker) (time.Duration, func()) {
		p := b.target().proxy
		p.SetDelay(60 * time.Millisecond)
		return b.upTo(time.Second), func() { p.SetDelay(0) }
	}},
	{"target loses answers", func(b *breaker) (time.Duration, func()) {
		p := b.target().proxy
		p.SetLoseAnswers(true)
		return b.upTo(500 * time.Millisecond), func() { p.SetLoseAnswers(false) }
	}},
	{"store away from one", func(b *breaker) (time.Duration, func()) {
		p := b.entry().proxy
		p.SetRefuse(true)
		p.Cut()
		return b.upTo(3 * time.Second), func() { p.SetRefuse(false) }
	}},
	{"store silent for one", func(b *breaker) (time.Duration, func()) { b.entry().proxy.Freeze(); return 0, nil }},
	{"store loses answers to one", func(b *breaker) (time.Duration, func()) {
		p := b.entry().proxy
		p.SetLoseAnswers(true)
		return b.upTo(time.Second), func() { p.SetLoseAnswers(false) }
	}},
	{"store away from all", func(b *breaker) (time.Duration, func()) {
		for _, e := range b.site.entries {
			e.proxy.SetRefuse(true)
			e.proxy.Cut()
		}
		return b.upTo(2 * time.Second), func() {
			for _, e := range b.site.entries {
				e.proxy.SetRefuse(false)
			}
		}
	}},
	{"entry killed", func(b *breaker) (time.Duration, func()) {
		e := b.entry()
		e.kill()
		time.Sleep(b.upTo(300 * time.Millisecond))
		e.start()
		return 0, nil
	}},
	{"entry paused", func(b *breaker) (time.Duration, func()) {
		e := b.entry()
		e.signal(syscall.SIGSTOP)
		return b.upTo(2 * time.Second), func() { e.signal(syscall.SIGCONT) }
	}},
	{"entry stopped and started", func(b *breaker) (time.Duration, func()) {
		e := b.entry()
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGTERM)
		e.wait()
		e.start()
		return 0, nil
	}},
	newWeights, newConfiguration,
}

var (
	newWeights       = fault{"new weights", func(b *breaker) (time.Duration, func()) { b.site.nameWeights(); return 0, nil }}
	newConfiguration = fault{"new configuration", func(b *breaker) (time.Duration, func()) { b.site.configure(); return 0, nil }}
)

// rebirths are crashes of targets that start again under their ids.
var rebirths = []fault{
	{"target reborn", func(b *breaker) (time.Duration, func()) { b.target().Reborn(); return 0, nil }},
	{"target reborn twice", func(b *breaker) (time.Duration, func()) {
		tg := b.target()
		tg.Reborn()
		return b.upTo(900 * time.Millisecond), func() { tg.Reborn() }
	}},
	{"target reborn behind a cut", func(b *breaker) (time.Duration, func()) {
		tg := b.target()
		tg.proxy.SetRefuse(true)
		tg.proxy.Cut()
		time.Sleep(b.upTo(300 * time.Millisecond))
		tg.Reborn()
		return b.upTo(time.Second), func() { tg.proxy.SetRefuse(false) }
	}},
	{"target reborn in a stream", func(b *breaker) (time.Duration, func()) {
		r := b.runner()
		r.SetFault(runner.RebornInStream)
		return b.upTo(2 * time.Second), func() { r.SetFault(runner.None) }
	}},
	{"targets reborn at an order", func(b *breaker) (time.Duration, func()) {
		r, another := b.runner(), b.runner()
		r.SetFault(runner.RebornAtOrder)
		another.SetFault(runner.RebornAtOrder)
		b.site.nameWeights()
		return 2 * time.Second, func() { r.SetFault(runner.None); another.SetFault(runner.None) }
	}},
}

var allFaults = slices.Concat(faults, rebirths, []fault{foreignEntry, foreignEntry})

// TestLogsNameTheSeed: whoever finds a failed seed needs its logs where the
// pages say.
func TestLogsNameTheSeed(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "kept")
	t.Setenv("SOAK_LOGS", dir)
	if got := logDir(t, "elsewhere"); got != dir {
		t.Errorf("logs go to %s", got)
	}
	if _, err := os.Stat(dir); err != nil {
		t.Error(err)
	}
}
