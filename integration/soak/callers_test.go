package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciakeel/internal/standin/client"
	"acaciakeel/internal/standin/runner"
)

// callers send requests at random and keep what they saw.
type callers struct {
	site *site
	stop chan struct{}
	done sync.WaitGroup

	mu  sync.Mutex
	seq int
	// seen are the sends of each ID, in their order.
	seen map[string][]outcome
	// sentTo is the entry that each request went to.
	sentTo map[string]*entry
	counts map[string]int
	broken []string
	// lost are the requests that ended without an answer where each must have
	// one, by how they ended.
	lost map[string][]string
	// closed is how many sends each entry ended by closing a new connection without an answer.
	closed map[*entry]int
}

// outcome is what a caller saw of one send of an attempt.
type outcome struct {
	route  string
	status int
	err    error
	whole  bool
	// retryAfter is the time to wait that a refusal names.
	retryAfter time.Duration
	// began and ended are when it was sent and when its answer was read.
	began, ended time.Time
}

// callerCount is how many callers send at the same time, each its next request
// once the last one has ended.
const callerCount = 16

func (s *site) call(seed uint64) *callers {
	c := s.newCallers()
	c.sendWith(seed, c.sendAny)
	return c
}

func (s *site) newCallers() *callers {
	return &callers{site: s, stop: make(chan struct{}), seen: map[string][]outcome{}, sentTo: map[string]*entry{}, counts: map[string]int{}, closed: map[*entry]int{}}
}

// sendWith has callers send until c ends.
func (c *callers) sendWith(seed uint64, send func(*rand.Rand)) {
	for i := range callerCount {
		c.done.Add(1)
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		go c.keepSending(c.stop, random, send)
	}
}

// keepSending sends one request after the other until stop is closed.
func (c *callers) keepSending(stop <-chan struct{}, random *rand.Rand, send func(*rand.Rand)) {
	defer c.done.Done()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(40)) * time.Millisecond):
		}
		send(random)
	}
}

// sendAny sends a request at random.
func (c *callers) sendAny(random *rand.Rand) {
	route := []string{"draft", "match", "hold", "stock"}[random.IntN(4)]
	c.send(c.site.anyEntry(random), route, random.IntN(12))
}

func (s *site) anyEntry(random *rand.Rand) *entry { return s.entries[random.IntN(len(s.entries))] }

func (c *callers) end() {
	close(c.stop)
	c.done.Wait()
}

func (c *callers) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// send sends one attempt and reports whether it was answered with success.
func (c *callers) send(e *entry, route string, thing int) bool {
	return c.sendAs(e, route, c.newID("id-", e), thing)
}

// newID returns the id of an attempt that is sent to an entry.
func (c *callers) newID(prefix string, e *entry) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	id := fmt.Sprintf("%s%d", prefix, c.seq)
	c.sentTo[id] = e
	return id
}

// sendAs sends one attempt under an id, on a new connection.
func (c *callers) sendAs(e *entry, route, id string, thing int) bool {
	return c.sendOn(&http.Transport{DisableKeepAlives: true}, e, route, id, thing)
}

// sendOn sends one attempt under an id on a connection of a transport.
func (c *callers) sendOn(conns *http.Transport, e *entry, route, id string, thing int) bool {
	out := c.sendNth(conns, e, route, id, thing, 1)
	return out.status == http.StatusOK && out.err == nil
}

// sendNth sends an attempt for the nth time.
func (c *callers) sendNth(conns *http.Transport, e *entry, route, id string, thing, n int) outcome {
	began := time.Now()
	out := c.exchange(conns, e, route, id, thing, n)
	out.began, out.ended = began, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[id] = append(c.seen[id], out)
	switch {
	case out.err != nil:
		c.counts["cut"]++
	default:
		c.counts[fmt.Sprint(out.status)]++
	}
	return out
}

// request returns one attempt at a route.
func (c *callers) request(e *entry, route, id string, thing int) (*http.Request, error) {
	r := client.Request{
		Method: http.MethodPost, Host: host, Path: "/" + route + "/" + pathOf(id), ID: id, Key: goodKey, Body: bodyOf(id), Deadline: 6 * time.Second,
	}
	if route == "draft" || route == "match" {
		r.Prompt = &client.Prompt{Model: model, Input: 3000, Output: 500, Parts: promptParts(id, thing)}
	}
	if isSlow(id) {
		r.Path += fmt.Sprintf("?%s=%d", runner.EventBytesParam, slowEventBytes)
	}
	return r.To(e.front)
}

func (c *callers) exchange(conns *http.Transport, e *entry, route, id string, thing, n int) outcome {
	out := outcome{route: route}
	req, err := c.request(e, route, id, thing)
	if err != nil {
		c.violate("request %s: %v", id, err)
		return out
	}
	// The library must not send an attempt a second time.
	req.GetBody = nil
	if n > 1 {
		req.Header.Set(sendHeader, strconv.Itoa(n))
	}
	client := http.Client{Timeout: patienceOf(id), Transport: conns}
	resp, err := client.Do(req)
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(readerOf(id, resp.Body))
	out.status, out.err, out.retryAfter = resp.StatusCode, err, retryAfter(resp.Header)
	c.checkAnswer(id, &out, resp, string(body))
	return out
}

// checkAnswer holds an answer against what its target must have said.
func (c *callers) checkAnswer(id string, out *outcome, resp *http.Response, body string) {
	if resp.StatusCode != http.StatusOK {
		return
	}
	if got := resp.Header.Get("Request-Id"); got != id || resp.Header.Get("Response-Seal") == "" {
		c.violate("%s %s: success for id %q, seal %q", out.route, id, got, resp.Header.Get("Response-Seal"))
	}
	want := "answer to " + id
	if out.route == "draft" || out.route == "match" {
		want = runner.WholeStream(eventBytesOf(id))
	}
	out.whole = body == want
	if !strings.HasPrefix(want, body) {
		c.violate("%s %s: the body %.200q of %d bytes is not the target's", out.route, id, body, len(body))
	}
	if out.err == nil && !out.whole {
		c.violate("%s %s: half a body looks whole: %.200q of %d bytes", out.route, id, body, len(body))
	}
}

// judge holds what the callers saw against what the targets saw.
func (c *callers) judge() {
	for _, tg := range c.site.targets() {
		for _, s := range tg.Seen() {
			c.judgeArrival(tg, s)
		}
		c.judgeOrders(tg)
	}
	c.judgeProcesses()
	for _, what := range c.site.trap.caught() {
		c.violate("an address that only other writers name got %s", what)
	}
	runs := c.site.runs()
	c.mu.Lock()
	outcomes := c.seen
	c.mu.Unlock()
	for id, sends := range outcomes {
		for _, broken := range judgeSends(sends, runs[id]).violations {
			c.violate("%s %s %s", sends[0].route, id, broken)
		}
	}
	for id := range runs {
		if _, ok := outcomes[id]; !ok {
			c.violate("%s ran, and no caller sent it", id)
		}
	}
}

// runsOnce reports whether requests of a route may run once at most.
func runsOnce(route string) bool { return route == "match" || route == "hold" }

// isPromise reports whether a status states that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// judgeOrders: each life of a target accepts an order only by its own count.
func (c *callers) judgeOrders(tg *target) {
	accepted := map[int64]int64{}
	for _, o := range tg.Orders() {
		if o.Precondition == nil || *o.Precondition != accepted[o.Born] {
			c.violate("%s, born %d, with %d orders accepted one for version %d that does not expect them", tg.ID, o.Born, accepted[o.Born], o.Version)
		}
		accepted[o.Born]++
	}
}

// judgeProcesses: no entry ends but by a signal of the soak.
func (c *callers) judgeProcesses() {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	for _, ended := range c.site.ended {
		c.violate("%s", ended)
	}
}

func (c *callers) judgeArrival(tg *target, s runner.Seen) {
	if s.Header.Get("Key") != "" || s.Header.Get("Tenant") != "c1" {
		c.violate("%s got %s with key %q of customer %q", tg.ID, s.ID, s.Header.Get("Key"), s.Header.Get("Tenant"))
	}
	if s.Body != bodyOf(s.ID) && !s.Unread {
		c.violate("%s got %s with body %.200q", tg.ID, s.ID, s.Body)
	}
}
