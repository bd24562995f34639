package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciakeel/internal/standin/client"
	"acaciakeel/internal/standin/runner"
)

// Figures of streams over several software versions.
const (
	// versionSeconds is how long a seed is played.
	versionSeconds = 12
	// streamers is how many clients break off streams and resume them.
	streamers = 8
	// maxResumptions bounds how often a client resumes one stream.
	maxResumptions = 4
	// allowedOtherVersion is how many streams may be continued at another version.
	allowedOtherVersion = 2
	// minJudged is from how many resumptions on their share that goes on is judged: at least
	// half of the share of new streams that begin.
	minJudged = 12
	// calmAfter is how long after it, or the store, was disturbed an entry counts again.
	calmAfter = 3 * time.Second
)

var softwareVersions = []string{"v1", "v2"}

// Guards against streams with events of two software versions, and against resumptions that are
// refused although their version serves.
func TestSoakVersions(t *testing.T) {
	seeds := []uint64{1, 2}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, regression{seed: seed, faults: versionFaults(), versions: true, seconds: versionSeconds})
		})
	}
}

func versionFaults() []fault {
	byName := func(f fault) bool {
		return slices.Contains([]string{"target broken", "target cut", "target refuses", "target silent", "target slow", "store away from one", "store away from all", "entry killed", "entry paused", "entry stopped and started", "new configuration"}, f.name)
	}
	chosen := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !byName(f) })
	return append(chosen, softwareSwapped, softwareSwapped, allEntriesKilled)
}

// softwareSwapped restarts a target of each version with the other one's software.
var softwareSwapped = fault{"software swapped", func(b *breaker) (time.Duration, func()) {
	first := b.runner()
	for _, second := range b.site.runners {
		if old, other := first.Build(), second.Build(); old != other {
			first.Upgrade(other)
			second.Upgrade(old)
			b.site.register(first, true)
			b.site.register(second, true)
			break
		}
	}
	return 0, nil
}}

var allEntriesKilled = fault{"all entries killed", func(b *breaker) (time.Duration, func()) {
	for _, e := range b.site.entries {
		e.kill()
	}
	for _, e := range b.site.entries {
		e.start()
	}
	return 0, nil
}}

// divideVersions gives the targets two software versions in turn.
func (s *site) divideVersions() {
	for i, r := range s.runners {
		r.SetBuild(softwareVersions[i%len(softwareVersions)])
	}
}

// isCalm reports whether neither an entry nor the store has been disturbed lately: the rules bind
// entries in touch with a stable store.
func (e *entry) isCalm() bool {
	e.site.mu.Lock()
	storeCalm := time.Since(e.site.storeDisturbed) > calmAfter
	e.site.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	return storeCalm && time.Since(e.disturbed[len(e.disturbed)-1]) > calmAfter
}

// shares counts the attempts at calm entries and those of them that brought an event.
type shares struct {
	mu                 sync.Mutex
	begun, new         int
	continued, resumed int
	// refusals counts the refusals at all entries by kind.
	refusals map[string]int
}

func (c *callers) resumeStreams(seed uint64) *shares {
	out := &shares{refusals: map[string]int{}}
	for i := range streamers {
		c.done.Add(1)
		random := rand.New(rand.NewPCG(seed, 1<<40+uint64(i)))
		go c.keepSending(c.stop, random, func(random *rand.Rand) { c.stream(random, out) })
	}
	return out
}

// stream plays one stream: it is begun, broken off, and resumed until it is whole.
func (c *callers) stream(random *rand.Rand, counts *shares) {
	first, last := "", 0
	for range maxResumptions + 1 {
		e := c.site.anyEntry(random)
		calm := e.isCalm()
		id := c.newID("stream-", e)
		breakAt := runner.Events + 1
		if random.IntN(2) == 0 {
			breakAt = last + 1 + random.IntN(3)
		}
		got, refusal := c.readStream(e, id, first, last, breakAt)
		calm = calm && e.isCalm()
		counts.add(calm, first != "", got > last, refusal)
		if first == "" && got > 0 {
			first = id
		}
		if last = max(last, got); last >= runner.Events {
			return
		}
	}
}

func (s *shares) add(calm, resumption, went bool, refusal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal != "" {
		s.refusals[refusal]++
	}
	if !calm {
		return
	}
	all, ok := &s.new, &s.begun
	if resumption {
		all, ok = &s.resumed, &s.continued
	}
	*all++
	if went {
		*ok++
	}
}

// readStream sends one attempt, reads events up to breakAt, and returns the last whole event and
// the kind of the refusal, if any.
func (c *callers) readStream(e *entry, id, resumes string, last, breakAt int) (got int, refusal string) {
	out := outcome{route: "draft"}
	defer func() {
		c.mu.Lock()
		c.seen[id] = []outcome{out}
		c.mu.Unlock()
	}()
	r := client.Request{
		Method: http.MethodPost, Host: host, Path: "/draft/" + pathOf(id), ID: id, Key: goodKey, Body: bodyOf(id), Deadline: 6 * time.Second, Resumes: resumes,
		Prompt: &client.Prompt{Model: model, Input: 3000, Output: 500, Parts: fmt.Sprintf("aa:800,c%s:1000", id)},
	}
	if resumes != "" {
		r.LastEventID = strconv.Itoa(last)
	}
	req, err := r.To(e.front)
	if err != nil {
		c.violate("request %s: %v", id, err)
		return last, ""
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Timeout: 10 * time.Second, Transport: transport}).Do(req)
	if err != nil {
		out.err = err
		return last, ""
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return last, "cut"
		}
		return last, kindOf(body)
	}
	got = c.readEvents(resp.Body, id, last, breakAt)
	out.whole = got >= runner.Events
	return got, ""
}

// readEvents reads whole events, which must follow each other, and returns the last one.
func (c *callers) readEvents(body io.Reader, id string, last, breakAt int) int {
	in := bufio.NewReader(body)
	var event strings.Builder
	for last+1 < breakAt {
		line, err := in.ReadString('\n')
		if err != nil {
			return last
		}
		event.WriteString(line)
		if line != "\n" {
			continue
		}
		if want := runner.Event(last+1, 0); event.String() != want {
			c.violate("stream %s: event %q after %d", id, event.String(), last)
			return last
		}
		last++
		event.Reset()
	}
	return last
}

// kindOf returns the kind of a refusal.
func kindOf(body []byte) string {
	var refused struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(body, &refused); err != nil || refused.Kind == "" {
		return "no kind"
	}
	return refused.Kind
}

// judgeVersions holds what the targets received, and what the clients got, against the rules on
// streams.
func (c *callers) judgeVersions(counts *shares) {
	var all []*runner.Runner
	for _, tg := range c.site.runners {
		all = append(all, tg.Runner)
	}
	judged := runner.JudgeContinuations(all)
	c.site.t.Logf("%d streams continued, %d at another version; at calm entries %d of %d new streams began, %d of %d resumptions went on; refusals %v",
		judged.Continued, len(judged.OtherBuild), counts.begun, counts.new, counts.continued, counts.resumed, counts.refusals)
	for _, violation := range judged.OtherBuild {
		c.site.t.Log(violation)
	}
	if judged.Continued == 0 {
		c.violate("no stream was continued")
	}
	if len(judged.OtherBuild) > allowedOtherVersion {
		for _, violation := range judged.OtherBuild {
			c.violate("%s", violation)
		}
	}
	if counts.resumed >= minJudged && counts.new > 0 && float64(counts.continued)/float64(counts.resumed) < float64(counts.begun)/float64(counts.new)/2 {
		c.violate("%d of %d resumptions went on, %d of %d new streams began", counts.continued, counts.resumed, counts.begun, counts.new)
	}
}
