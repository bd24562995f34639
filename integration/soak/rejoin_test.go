package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// Figures of streams that are resumed after all entries were killed.
const (
	// rejoinRounds is how often all entries are killed, each time beside a release.
	rejoinRounds = 3
	// rejoiners is how many clients have streams, rejoinPace the pause between their events:
	// most streams are in progress when the entries are killed.
	rejoiners  = 24
	rejoinPace = 150 * time.Millisecond
	// minDark and maxDark bound for how long no entry runs.
	minDark, maxDark = 500 * time.Millisecond, 3 * time.Second
	// unlistedFor is how long a target still serves after it has left the list.
	unlistedFor = 800 * time.Millisecond
	// rejoinPatience is for how long a client tries to resume a stream, every rejoinPause.
	rejoinPatience = 6 * time.Second
	rejoinPause    = 300 * time.Millisecond
)

// Guards against streams that are joined from two software versions, or lost although targets of
// their version serve, when all entries are killed at once while versions change.
func TestSoakRejoin(t *testing.T) {
	seeds := []uint64{1, 2}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRejoin(t, seed) })
	}
}

func playRejoin(t *testing.T, seed uint64) {
	s := newSite(t, number("SOAK_ENTRIES", 3), regression{seed: seed, build: softwareVersions[0]})
	for _, tg := range s.runners {
		tg.SetPace(rejoinPace)
	}
	s.await("all entries are ready at the start", s.allReady)
	c := s.call(seed)
	r := newRejoin(c)
	for i := range rejoiners {
		random := rand.New(rand.NewPCG(seed, 1<<41+uint64(i)))
		c.done.Add(1)
		go c.keepSending(c.stop, random, r.stream)
	}
	random := rand.New(rand.NewPCG(seed, 1<<42))
	for round := range rejoinRounds {
		r.killAllBesideRelease(random, fmt.Sprintf("v%d", round+2))
	}
	c.end()
	c.judge()
	r.judge()
	for _, v := range c.broken {
		t.Error(v)
	}
}

// rejoin is what the clients of one seed have seen.
type rejoin struct {
	callers *callers
	mu      sync.Mutex
	// begun and refused count new streams that began and that were refused.
	begun, refused int
	resumed        []resumedStream
	// listed are the targets of each version in the list, at each change.
	listed []listing
}

// resumedStream is a stream that broke off and was resumed in one or more attempts.
type resumedStream struct {
	first       string
	began, ends time.Time
	went        bool
	refusals    []string
}

type listing struct {
	at     time.Time
	builds map[string]int
}

func newRejoin(c *callers) *rejoin {
	r := &rejoin{callers: c}
	r.listed = []listing{{time.Now(), map[string]int{softwareVersions[0]: len(c.site.runners)}}}
	return r
}

func (r *rejoin) list(build string, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	builds := maps.Clone(r.listed[len(r.listed)-1].builds)
	builds[build] += change
	r.listed = append(r.listed, listing{time.Now(), builds})
}

// killAllBesideRelease kills all entries at once while some or all targets are replaced.
func (r *rejoin) killAllBesideRelease(random *rand.Rand, build string) {
	s := r.callers.site
	upTo := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	replaced := s.runners[:len(s.runners)/2+random.IntN(len(s.runners)/2+1)]
	waits := make([]time.Duration, len(replaced))
	for i := range waits {
		waits[i] = upTo(time.Second)
	}
	var release sync.WaitGroup
	release.Go(func() {
		for i, tg := range replaced {
			time.Sleep(waits[i])
			r.replace(tg, build)
		}
	})
	time.Sleep(500*time.Millisecond + upTo(3*time.Second))
	for _, e := range s.entries {
		e.kill()
	}
	time.Sleep(minDark + upTo(maxDark-minDark))
	for _, e := range s.entries {
		e.start()
		time.Sleep(upTo(200 * time.Millisecond))
	}
	s.await("all entries are ready again", s.allReady)
	release.Wait()
	time.Sleep(2*time.Second + upTo(2*time.Second))
}

// replace takes a target off the list, and lists it with another software version.
func (r *rejoin) replace(tg *target, build string) {
	s := r.callers.site
	r.list(tg.Build(), -1)
	s.store.Remove("servers/" + tg.ID)
	time.Sleep(unlistedFor)
	tg.Upgrade(build)
	s.register(tg, true)
	r.list(build, 1)
}

// stream plays one stream: it is begun, and resumed if it breaks off.
func (r *rejoin) stream(random *rand.Rand) {
	c := r.callers
	e := c.site.anyEntry(random)
	first := c.newID("rejoin-", e)
	got, refusal := c.readStream(e, first, "", 0, runner.Events+1)
	r.mu.Lock()
	if got > 0 {
		r.begun++
	} else if refusal != "" {
		r.refused++
	}
	r.mu.Unlock()
	if got == 0 || got >= runner.Events {
		return
	}
	out := resumedStream{first: first}
	for end := time.Now().Add(rejoinPatience); time.Now().Before(end) && !out.went; time.Sleep(rejoinPause) {
		e := c.site.anyEntry(random)
		at := time.Now()
		last, refusal := c.readStream(e, c.newID("rejoin-", e), first, got, runner.Events+1)
		out.went = last > got
		if refusal != "" {
			out.refusals = append(out.refusals, refusal)
		}
		if out.ends = time.Now(); out.began.IsZero() && (out.went || refusal != "") {
			out.began = at
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumed = append(r.resumed, out)
}

// judge holds what the clients and the targets have seen against the rules: at most two streams
// continued at another version; of those whose version had two targets all the while, at least
// half as large a share goes on as of the new ones begins.
func (r *rejoin) judge() {
	c := r.callers
	var all []*runner.Runner
	began := map[string]string{}
	for _, tg := range c.site.runners {
		all = append(all, tg.Runner)
		for _, seen := range tg.Seen() {
			if !seen.Began.IsZero() && seen.Header.Get("Last-Event-Id") == "" {
				began[seen.ID] = seen.Build
			}
		}
	}
	judged := runner.JudgeContinuations(all)
	went, served, kinds := 0, 0, map[string]int{}
	for _, s := range r.resumed {
		if s.began.IsZero() || !r.servedThroughout(began[s.first], s.began, s.ends) {
			continue
		}
		served++
		if s.went {
			went++
			continue
		}
		for _, kind := range s.refusals {
			kinds[kind]++
		}
	}
	c.site.t.Logf("%d streams continued, %d at another version; %d of %d whose version served went on; %d of %d new ones began; refusals of the others %v",
		judged.Continued, len(judged.OtherBuild), went, served, r.begun, r.begun+r.refused, kinds)
	if len(judged.OtherBuild) > allowedOtherVersion {
		for _, violation := range judged.OtherBuild {
			c.violate("%s", violation)
		}
	}
	if served >= minJudged && float64(went)/float64(served) < float64(r.begun)/float64(r.begun+r.refused)/2 {
		c.violate("%d of %d streams went on, %d of %d new ones began", went, served, r.begun, r.begun+r.refused)
	}
	if len(r.resumed) == 0 {
		c.violate("no stream was resumed")
	}
}

// servedThroughout reports whether two targets of a version were listed from one time to another.
func (r *rejoin) servedThroughout(build string, from, to time.Time) bool {
	served := false
	for _, l := range r.listed {
		switch {
		case l.at.After(to):
			return served
		case !l.at.After(from):
			served = l.builds[build] >= 2
		default:
			served = served && l.builds[build] >= 2
		}
	}
	return served
}
