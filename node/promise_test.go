package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"acaciakeel/internal/standin/client"
	"acaciakeel/internal/standin/runner"
)

// promises are the statuses by which a client is told that its request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// onceLoad sends requests that may run once, and records what their clients were told.
type onceLoad struct {
	w    *testEnv
	node *Node
	mu   sync.Mutex
	sent int
	// told has the status by request; 0 where the connection ended without one.
	told map[string]int
}

// send sends one request with a deadline; its client leaves after patience. It returns false if
// the node has ended.
func (l *onceLoad) send(path string, deadline, patience time.Duration) bool {
	l.mu.Lock()
	l.sent++
	id := fmt.Sprintf("once-%d", l.sent)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r := client.Request{Method: "POST", Host: "h.example", Path: path, ID: id, Key: goodKey, Body: "box", Deadline: deadline}
	if path == "/match/x" {
		r.Prompt = &client.Prompt{Model: model, Input: 900, Output: 50, Parts: "aa:400,bb:300,cc:200"}
	}
	req, err := r.To(l.node.FrontAddress())
	if err != nil {
		return false
	}
	status := 0
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[id] = status
	return !errors.Is(err, syscall.ECONNREFUSED)
}

// run sends requests with n clients until stop is closed or the node has ended.
func (l *onceLoad) run(n int, stop <-chan struct{}, deadlines []time.Duration) (wait func()) {
	var clients sync.WaitGroup
	for range n {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				deadline := deadlines[rand.IntN(len(deadlines))]
				patience := 2 * deadline
				if rand.IntN(8) == 0 {
					patience = rand.N(deadline)
				}
				if !l.send([]string{"/hold/x", "/match/x"}[rand.IntN(2)], deadline, patience) {
					return
				}
			}
		})
	}
	return clients.Wait
}

// check fails the test for each request that ran after a promise or more than once.
func (l *onceLoad) check() {
	l.w.t.Helper()
	runs := map[string]int{}
	for _, r := range l.w.executed(slices.Concat(l.w.runners, l.w.plainTargets)) {
		runs[r.ID]++
	}
	statuses := map[int]int{}
	for id, status := range l.told {
		statuses[status]++
		if runs[id] > 1 || runs[id] > 0 && slices.Contains(promises, status) {
			l.w.t.Errorf("%s ran %d times and was answered %d", id, runs[id], status)
		}
	}
	l.w.t.Logf("%d requests, of which %d ran; by status: %v", len(l.told), len(runs), statuses)
}

// disturb changes the faults of all targets in short intervals until stop is closed.
func disturb(targets []*runner.Runner, stop <-chan struct{}) (wait func()) {
	faults := []runner.Fault{runner.None, runner.None, runner.None, runner.None, runner.None, runner.None, runner.Shed, runner.Shed, runner.LoseAnswer, runner.Crossed, runner.Unsealed, runner.Broken, runner.Mute, runner.Failing}
	var late []string
	for _, raw := range foreignResponses() {
		late = append(late, raw)
	}
	var changes sync.WaitGroup
	changes.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(rand.N(10 * time.Millisecond)):
			}
			target := targets[rand.IntN(len(targets))]
			target.SetFault(faults[rand.IntN(len(faults))])
			target.SetPace(rand.N(3 * time.Millisecond))
			target.SendLate(rand.IntN(2) * (1 + rand.IntN(20)))
			if rand.IntN(4) == 0 {
				target.SendAhead(late[rand.IntN(len(late))])
			}
		}
	})
	return changes.Wait
}

// Guards against clients that are told that a request has not run which did, and against second
// runs, at faulty targets and in a planned stop.
func TestPromisesHoldAtFaultyTargets(t *testing.T) {
	w := newEnvWith(t, newFailureLog(t), func(w *testEnv) {
		w.graceS = 4
		for i := len(w.runners); i < 10; i++ {
			w.runners = append(w.runners, runner.Start(fmt.Sprintf("r%d", i), "lm", map[string]int64{model: 1}))
			w.plainTargets = append(w.plainTargets, runner.Start(fmt.Sprintf("d%d", i), "desk", nil))
		}
	})
	n := w.startNode("n1")
	all := slices.Concat(w.runners, w.plainTargets)
	l := &onceLoad{w: w, node: n, told: map[string]int{}}
	stop, stopped := make(chan struct{}), make(chan struct{})
	disturbed := disturb(all, stop)
	var short []time.Duration
	for ms := 1; ms <= 40; ms++ {
		short = append(short, time.Duration(ms)*time.Millisecond)
	}
	served := l.run(32, stop, append(short, 300*time.Millisecond))
	time.Sleep(2 * time.Second)
	go func() { n.Stop(); close(stopped) }()
	// The stop interrupts these.
	waiting := l.run(16, stop, []time.Duration{10 * time.Second})
	<-stopped
	close(stop)
	disturbed()
	served()
	waiting()
	l.check()
}

// Guards against a client that is told that its request did not run, or that gets the outcome of
// another one, by the way in which it sends it or leaves: how often it ran is what counts.
func TestPromisesHoldForAnyWayToSend(t *testing.T) {
	const (
		// late is when a body is complete whose deadline has passed.
		late = 400 * time.Millisecond
		// wait is the deadline of requests without an answer.
		wait = time.Second
	)
	head := func(id, more string) string {
		return fmt.Sprintf("POST /hold/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nKey: %s\r\n%s\r\n", id, goodKey, more)
	}
	deadline := func(d time.Duration) string {
		return "Deadline-Ms: " + strconv.FormatInt(d.Milliseconds(), 10) + "\r\n"
	}
	for _, test := range []struct {
		name  string
		fault runner.Fault
		sent  []fragment
		// want are the statuses of the responses, runs the runs of all requests sent.
		want []int
		runs int
	}{
		{"the body comes after the deadline", runner.None, []fragment{
			{text: head("a", deadline(late/8)+"Content-Length: 3\r\n") + "b"}, {after: late, text: "ox"},
		}, []int{408}, 0},
		{"a chunked body comes after the deadline", runner.None, []fragment{
			{text: head("a", deadline(late/8)+"Transfer-Encoding: chunked\r\n") + "1\r\nb\r\n"}, {after: late, text: "2\r\nox\r\n0\r\n\r\n"},
		}, []int{408}, 0},
		{"a request follows a late body", runner.None, []fragment{
			{text: head("a", deadline(late/8)+"Content-Length: 3\r\n") + "b"}, {after: late, text: "ox" + head("b", "Content-Length: 0\r\n")},
		}, []int{408}, 0},
		{"the deadline passes at the target", runner.Mute, []fragment{{text: head("a", deadline(wait)+"Content-Length: 0\r\n")}}, []int{504}, 1},
		{"no time is left", runner.None, []fragment{{text: head("a", "Deadline-Ms: 0\r\nContent-Length: 0\r\n")}}, []int{503}, 0},
		{"two requests at once, the first without an answer", runner.Mute, []fragment{
			{text: head("a", deadline(wait)+"Content-Length: 0\r\n") + head("b", deadline(wait)+"Content-Length: 0\r\n")},
		}, []int{504, 504}, 2},
		{"two requests at once, all refused", runner.Shed, []fragment{
			{text: head("a", "Content-Length: 0\r\n") + head("b", "Content-Length: 0\r\n")},
		}, []int{503, 503}, 0},
		{"a second request while the first waits", runner.Mute, []fragment{
			{text: head("a", deadline(wait)+"Content-Length: 0\r\n")}, {after: wait / 4, text: head("b", "Deadline-Ms: 0\r\nContent-Length: 0\r\n")},
		}, []int{504, 503}, 1},
		{"a body in two parts", runner.LoseAnswer, []fragment{
			{text: head("a", "Content-Length: 3\r\n") + "b"}, {after: late / 8, text: "ox"},
		}, []int{502}, 1},
		{"a body longer than stated", runner.LoseAnswer, []fragment{{text: head("a", "Content-Length: 3\r\n") + "boxes"}}, []int{502}, 1},
		{"an expectation", runner.LoseAnswer, []fragment{{text: head("a", "Content-Length: 3\r\nExpect: 100-continue\r\n") + "box"}}, []int{100, 502}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newEnv(t)
			for _, target := range w.plainTargets {
				target.SetFault(test.fault)
			}
			c, err := dial(w.node)
			if err != nil {
				t.Fatal(err)
			}
			defer c.conn.Close()
			var got []int
			for i := range test.want {
				sent := test.sent
				if i > 0 {
					sent = nil
				}
				a := c.send(sent...)
				if a.err != nil {
					t.Errorf("response %d: %v", i, a.err)
				}
				got = append(got, a.status)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("answered %v, want %v", got, test.want)
			}
			if n := len(w.executed(w.plainTargets)); n != test.runs {
				t.Errorf("%d runs, want %d", n, test.runs)
			}
		})
	}
}
