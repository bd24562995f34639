package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// copies has targets send copies of refusals ahead of the next response on their connection.
type copies struct {
	// every is which refusal is copied.
	every int
	// press is the number of clients with an ID for each attempt that press two plain targets; 0 has
	// the clients of a shedding load, three of four of which come again with their IDs.
	press int
}

const (
	// copiesSeconds is how long a load is played.
	copiesSeconds = 3
	// copyEvery is which refusal is copied, pressCopyEvery the same under press.
	copyEvery, pressCopyEvery = 2, 10
	// refusesMost is how long all targets of a service refuse at most.
	refusesMost = 150 * time.Millisecond
	// copiesPressCallers is how many clients press two targets of 3 slots.
	copiesPressCallers = 14
	// mostSends is how often a client sends one ID.
	mostSends = 6
	// longestRest is for how long clients wait at most as Retry-After says, a third of their time;
	// shortRest is the same of those that come back too soon.
	longestRest = 2 * time.Second
	shortRest   = 100 * time.Millisecond
)

// noFault leaves a load alone.
var noFault = fault{"none", func(*breaker) (time.Duration, func()) { return 0, nil }}

// Guards against a copy of a refusal that counts for a later send of the same request, which runs.
func TestSoakCopies(t *testing.T) {
	seed := uint64(number("SOAK_SEED", 1))
	loads := sheddingLoads()
	loads["press"] = shedding{runners: 1, desks: 2, slots: 3, work: 40 * time.Millisecond, entries: 1}
	for _, name := range []string{"room", "many entries", "press"} {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			load, faults := loads[name], copiesFaults()
			load.copies = &copies{every: number("SOAK_COPY_EVERY", copyEvery)}
			if name == "press" {
				load.copies = &copies{every: number("SOAK_COPY_EVERY", pressCopyEvery), press: copiesPressCallers}
				faults = []fault{noFault}
			}
			play(t, regression{seed: seed, faults: faults, direct: true, shed: &load, seconds: copiesSeconds})
		})
	}
}

// refuses has all targets of a service refuse requests for a while, as full ones do.
var refuses = fault{"service refuses", func(b *breaker) (time.Duration, func()) {
	group := [][]*target{b.site.runners, b.site.desks}[b.random.IntN(2)]
	for _, tg := range group {
		tg.SetFault(runner.Shed)
	}
	return b.upTo(refusesMost), func() {
		for _, tg := range group {
			tg.SetFault(runner.None)
		}
	}
}}

// copiesFaults are those of a shedding load without responses that name other requests; each second
// one has a service refuse.
func copiesFaults() []fault {
	others := []string{repeatsRefusals.name, spoil(runner.Crossed).name}
	kept := slices.DeleteFunc(shedFaults(), func(f fault) bool { return slices.Contains(others, f.name) })
	return append(kept, slices.Repeat([]fault{refuses}, len(kept))...)
}

func (s *site) copyRefusals(every int) {
	for _, tg := range s.targets() {
		tg.CopyRefusals(every)
	}
}

// copies returns the copies that all targets have sent.
func (s *site) copies() runner.Copies {
	all := runner.Copies{}
	for _, tg := range s.targets() {
		of := tg.Copies()
		all.Sent, all.SameID, all.SameRan = all.Sent+of.Sent, all.SameID+of.SameID, all.SameRan+of.SameRan
	}
	return all
}

// sendBesideCopies adds clients to the end of the soak.
func (c *callers) sendBesideCopies(load *copies, seed uint64) {
	sends, clients := []func(*rand.Rand){c.sendAgain, c.sendAgain, c.sendAgain, c.sendOnce}, shedCallers
	if load.press > 0 {
		sends, clients = []func(*rand.Rand){c.sendHold}, load.press
	}
	for i := range clients {
		c.done.Add(1)
		go c.keepSending(c.stop, rand.New(rand.NewPCG(seed, 1<<39+uint64(i))), sends[i%len(sends)])
	}
}

// sendAgain sends a request that may run once, and sends it again after a promise: to the same entry
// at once, after a shorter time than its Retry-After or after that, or to another entry.
func (c *callers) sendAgain(random *rand.Rand) {
	e := c.site.anyEntry(random)
	route, id, thing := oneOf(random, []string{"match", "hold", "hold"}), c.newID("again-", e), random.IntN(12)
	most := number("SOAK_SENDS", mostSends)
	for n := 1; ; n++ {
		out := c.sendNth(&http.Transport{DisableKeepAlives: true}, e, route, id, thing, n)
		if !isPromise(out.status) || n >= most {
			return
		}
		wait := time.Duration(0)
		switch random.IntN(4) {
		case 0:
			wait = min(out.retryAfter, longestRest)
		case 1:
			wait = time.Duration(random.Int64N(int64(shortRest)))
		case 2:
			e = c.site.anyEntry(random)
		}
		select {
		case <-c.stop:
			return
		case <-time.After(wait):
		}
	}
}

func (c *callers) sendHold(random *rand.Rand) {
	e := c.site.anyEntry(random)
	c.sendAs(e, "hold", c.newID("press-", e), random.IntN(12))
}

// judgeCopies logs what copies of refusals cost. Without copies a load shows nothing.
func (c *callers) judgeCopies(load *copies) {
	if load == nil {
		return
	}
	sent, connections := c.site.copies(), 0
	for _, tg := range c.site.targets() {
		connections += tg.Connections()
	}
	c.site.t.Logf("%v; copies of refusals: %d, %d with the ID of the request under way, %d while it ran; connections to targets: %d",
		c.tally(), sent.Sent, sent.SameID, sent.SameRan, connections)
	if load.every > 0 && sent.Sent == 0 {
		c.violate("targets sent no copy of a refusal")
	}
}

// Guards against a stand-in that copies other responses than refusals, or miscounts the copies.
func TestTargetCopiesRefusals(t *testing.T) {
	target := runner.Start("d0", "desk", nil)
	t.Cleanup(target.Close)
	target.CopyRefusals(2)
	conn, err := net.Dial("tcp", target.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	responses := bufio.NewReader(conn)
	statusOf := func() int {
		resp, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	for _, step := range []struct {
		id    string
		fault runner.Fault
		want  []int
	}{
		{"a", runner.None, []int{200}},
		{"a", runner.Shed, []int{503}},
		{"a", runner.None, []int{200}},
		{"b", runner.Shed, []int{503}},
		{"b", runner.None, []int{503, 200}},
		{"b", runner.Shed, []int{503}},
		{"c", runner.Shed, []int{503}},
		{"d", runner.None, []int{503, 200}},
	} {
		target.SetFault(step.fault)
		_, _ = fmt.Fprintf(conn, "POST /hold/x HTTP/1.1\r\nHost: d0\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", step.id)
		for _, want := range step.want {
			if got := statusOf(); got != want {
				t.Fatalf("response to %s: %d, want %d", step.id, got, want)
			}
		}
	}
	if got, want := target.Copies(), (runner.Copies{Sent: 2, SameID: 1, SameRan: 1}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
