package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"acaciakeel/internal/standin/runner"
)

// deadlyID begins the ids of requests that end the targets which run them; what stands
// between it and the next hyphen is their content.
const (
	deadlyID = "deadly"
	// deadlyAfter is how long a target runs such a request before it ends, deadlyDown
	// for how long it is gone.
	deadlyAfter = 30 * time.Millisecond
	deadlyDown  = 400 * time.Millisecond
	// deadlyEvery is the pause between two repeats at most.
	deadlyEvery = 300 * time.Millisecond
	// deadlyEnds is how many targets may end under one content before it is refused, and
	// deadlySends how many more it may be sent to later than deadlyGrace after that.
	deadlyEnds  = 3
	deadlySends = 3
	deadlyGrace = 3 * time.Second
)

func bodyOf(id string) string {
	if content, ok := contentOf(id); ok {
		return deadlyID + " " + content
	}
	if strings.HasPrefix(id, largeID) {
		return strings.Repeat("large ", runner.EarlyBody/len("large ")+1) + id
	}
	return "body of " + id
}

// pathOf is the last part of a request's path.
func pathOf(id string) string {
	if content, ok := contentOf(id); ok {
		return content
	}
	return "x"
}

func contentOf(id string) (string, bool) {
	parts := strings.Split(id, "-")
	if len(parts) != 3 || parts[0] != deadlyID {
		return "", false
	}
	return parts[1], true
}

// deadly has a content end its targets: a client repeats it at random entries, under
// another id each time, to the end of the soak. Entries are killed, stopped and started
// and targets start again meanwhile.
func (c *callers) deadly(content string, seed uint64) {
	for _, tg := range c.site.runners {
		tg.CrashOn(deadlyID, deadlyAfter, deadlyDown)
	}
	random := rand.New(rand.NewPCG(seed, 1<<33))
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		for i := 0; ; i++ {
			select {
			case <-c.stop:
				return
			case <-time.After(time.Duration(random.Int64N(int64(deadlyEvery)))):
			}
			c.sendAs(c.site.entries[random.IntN(len(c.site.entries))], "match", fmt.Sprintf("%s-%s-%d", deadlyID, content, i), 0)
		}
	}()
}

// deadlyArrivals returns the times at which a content reached targets that ran it.
func (s *site) deadlyArrivals(content string) []time.Time {
	var at []time.Time
	for _, tg := range s.targets() {
		for _, seen := range tg.Seen() {
			if got, ok := contentOf(seen.ID); ok && got == content && seen.Ran {
				at = append(at, seen.At)
			}
		}
	}
	return at
}

// judgeDeadly: entries that kept running, or were killed and started, send it to no more
// targets than the rule allows once three have ended.
func (c *callers) judgeDeadly(content string) {
	ends := runner.CrashTimes(c.site.allRunners())
	if len(ends) < deadlyEnds {
		return
	}
	late := 0
	for _, at := range c.site.deadlyArrivals(content) {
		if at.Sub(ends[deadlyEnds-1]) > deadlyGrace {
			late++
		}
	}
	c.site.t.Logf("%d targets ended under one request, sent %d times later than %s after the third", len(ends), late, deadlyGrace)
	if late > deadlySends {
		c.violate("the request that ends targets reached %d later than %s after the third end; %d ended in all", late, deadlyGrace, len(ends))
	}
}

func (s *site) allRunners() []*runner.Runner {
	var out []*runner.Runner
	for _, tg := range s.runners {
		out = append(out, tg.Runner)
	}
	return out
}

// deadlyFaults are those beside which entries stay in touch, or start anew and have to
// learn from the others and the store what they must not send.
func deadlyFaults() []fault {
	keep := map[string]bool{
		"entry killed": true, "entry stopped and started": true, "new weights": true, "new configuration": true, "target reborn": true,
		"target cut": true, "target " + string(runner.LoseAnswer): true, "target " + string(runner.Broken): true,
	}
	var out []fault
	for _, f := range allFaults {
		if keep[f.name] {
			out = append(out, f)
		}
	}
	return out
}
