package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciakeel/internal/standin/client"
	"acaciakeel/internal/standin/runner"
)

const (
	// badPart is the part of prompts that crashes runners.
	badPart = "bad0"
	// maxCrashesOfPart and crashedPartGrace state the users' bound: later than the grace period
	// after so many crashes no more than maxLateSends requests with the part reach runners.
	maxCrashesOfPart = 5
	crashedPartGrace = 3 * time.Second
	maxLateSends     = 3
)

// partLoad is a stream of requests with the bad part, no two alike, beside sound ones with the
// same customer and the same other parts.
type partLoad struct {
	env   *testEnv
	nodes []*Node
	// prompt lays out the shared parts; "bad" stands for the bad one.
	prompt string
	// for how long requests are sent, and the pauses between them.
	length, badEvery, soundEvery time.Duration

	mu          sync.Mutex
	sound       int
	servedFirst int
}

func (l *partLoad) request(id string, i int, bad bool) client.Request {
	var parts []string
	for p := range strings.SplitSeq(l.prompt, ",") {
		switch {
		case p == "bad" && bad:
			parts = append(parts, badPart+":200")
		case p == "group":
			parts = append(parts, fmt.Sprintf("c%d:300", i%3))
		case p != "bad":
			parts = append(parts, p+":400")
		}
	}
	parts = append(parts, fmt.Sprintf("e%s:100", id))
	return client.Request{
		Method: http.MethodPost, Host: "h.example", Path: "/match/x", ID: id, Key: goodKey, Body: id, Deadline: 5 * time.Second,
		Prompt: &client.Prompt{Model: model, Input: 1200, Output: 50, Parts: strings.Join(parts, ",")},
	}
}

// run sends both kinds of requests, and returns when all have ended.
func (l *partLoad) run() {
	var wg sync.WaitGroup
	every := func(pause time.Duration, send func(i int)) {
		wg.Go(func() {
			for i, end := 0, time.Now().Add(l.length); time.Now().Before(end); i++ {
				wg.Go(func() { send(i) })
				time.Sleep(pause)
			}
		})
	}
	every(l.badEvery, func(i int) {
		l.env.exchange(l.nodes[i%len(l.nodes)], l.request(fmt.Sprintf("bad-%d", i), i, true))
	})
	every(l.soundEvery, func(i int) {
		a := l.env.exchange(l.nodes[i%len(l.nodes)], l.request(fmt.Sprintf("sound-%d", i), i, false))
		l.mu.Lock()
		defer l.mu.Unlock()
		l.sound++
		if a.err == nil && a.status == http.StatusOK && a.body == completeStream() {
			l.servedFirst++
		}
	})
	wg.Wait()
}

// lateSends returns how many requests with the bad part ran later than the grace period after
// the crash from which on they count.
func (l *partLoad) lateSends() int {
	crashes := runner.CrashTimes(l.env.runners)
	if len(crashes) < maxCrashesOfPart {
		return 0
	}
	late := 0
	for _, s := range l.env.executed(l.env.runners) {
		if runner.HasPart(s.Header, badPart) && s.At.Sub(crashes[maxCrashesOfPart-1]) > crashedPartGrace {
			late++
		}
	}
	return late
}

// Guards against one part of prompts that crashes runner after runner, while the requests with
// it have nothing else in common and sound ones share their other parts.
func TestPartThatCrashesRunnersIsRefused(t *testing.T) {
	for _, prompt := range []string{"bad,aa,group", "aa,bad,group", "aa,group,bad"} {
		t.Run(strings.ReplaceAll(prompt, ",", "_"), func(t *testing.T) {
			w := newCrashEnv(t, 8)
			for _, r := range w.runners {
				r.CrashOnPart(badPart, 20*time.Millisecond, crashDowntime)
			}
			l := &partLoad{env: w, nodes: []*Node{w.node, w.startNode("n1")}, prompt: prompt, length: 6 * time.Second, badEvery: 150 * time.Millisecond, soundEvery: 20 * time.Millisecond}
			l.run()
			if n := l.lateSends(); n > maxLateSends {
				t.Errorf("%d requests with the part ran later than %s after the fifth crash, at most %d may; %d runners crashed", n, crashedPartGrace, maxLateSends, w.crashes())
			}
			t.Logf("%d runners crashed; %d of %d sound requests were served at first", w.crashes(), l.servedFirst, l.sound)
			if 2*l.servedFirst < l.sound {
				t.Errorf("%d of %d sound requests were served, want half", l.servedFirst, l.sound)
			}
		})
	}
}
