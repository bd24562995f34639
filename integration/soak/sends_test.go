package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// sendHeader numbers the sends of one ID from the second on. Entries pass it on, so that a run
// names the send that it belongs to, however late it begins.
const sendHeader = "Send-Number"

func retryAfter(h http.Header) time.Duration {
	seconds, _ := strconv.ParseFloat(h.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// run is one execution of a request.
type run struct {
	// send is the send of the request that it belongs to, 1 for the first.
	send int
	at   time.Time
}

// runs returns the runs of each ID at all targets.
func (s *site) runs() map[string][]run {
	runs := map[string][]run{}
	for _, tg := range s.targets() {
		for _, seen := range tg.Seen() {
			if !seen.Ran {
				continue
			}
			r := run{send: 1, at: seen.At}
			if named := seen.Header.Get(sendHeader); named != "" {
				r.send, _ = strconv.Atoi(named)
			}
			runs[seen.ID] = append(runs[seen.ID], r)
		}
	}
	return runs
}

// verdict is what an ID's runs are against what its client was told.
type verdict struct {
	// twice is set if it ran more often than its route allows; refused counts the sends that were
	// answered with a promise and ran.
	twice      bool
	refused    int
	violations []string
}

// judgeSends judges the sends of one ID, of which each but the last was answered with a promise: all
// of them together may run as often as one.
func judgeSends(sends []outcome, runs []run) verdict {
	v := verdict{}
	most := map[string]int{"draft": 2, "match": 1, "hold": 1, "stock": 2}
	route := sends[0].route
	if strings.HasPrefix(route, addedRoutePrefix) {
		route = "stock" // of the same kind
	}
	if len(runs) > most[route] {
		v.twice = true
		v.violations = append(v.violations, fmt.Sprintf("ran %d times in %d sends", len(runs), len(sends)))
	}
	for _, r := range runs {
		if r.send < 1 || r.send > len(sends) {
			v.violations = append(v.violations, fmt.Sprintf("ran as send %d of %d", r.send, len(sends)))
		}
	}
	for i, out := range sends {
		if !runsOnce(out.route) || !isPromise(out.status) {
			continue
		}
		at := slices.IndexFunc(runs, func(r run) bool { return r.send == i+1 })
		if at < 0 {
			continue
		}
		v.refused++
		v.violations = append(v.violations, fmt.Sprintf("was answered %d %v after it was sent, and ran %v after it was sent (send %d of %d)",
			out.status, out.ended.Sub(out.began), runs[at].at.Sub(out.began), i+1, len(sends)))
	}
	return v
}

// tally counts the requests that may run once.
type tally struct {
	requests, again int
	// refused and twice are the requests with a broken promise and those that ran more than once, by
	// route; lost are those that ran and ended with a 502.
	refused, twice map[string]int
	lost           int
	// answers are the sends by route and status.
	answers map[string]int
}

// String implements fmt.Stringer.
func (t tally) String() string {
	return fmt.Sprintf("requests that may run once: %d, %d of them sent again, sends %v; refused and ran: %v; ran more than once: %v; 502 and ran: %d",
		t.requests, t.again, t.answers, t.refused, t.twice, t.lost)
}

func (c *callers) tally() tally {
	runs := c.site.runs()
	c.mu.Lock()
	defer c.mu.Unlock()
	t := tally{refused: map[string]int{}, twice: map[string]int{}, answers: map[string]int{}}
	for id, sends := range c.seen {
		route := sends[0].route
		if !runsOnce(route) {
			continue
		}
		t.requests++
		if len(sends) > 1 {
			t.again++
		}
		for _, out := range sends {
			t.answers[fmt.Sprintf("%s %d", route, out.status)]++
		}
		v := judgeSends(sends, runs[id])
		if v.refused > 0 {
			t.refused[route]++
		}
		if v.twice {
			t.twice[route]++
		}
		if len(runs[id]) > 0 && sends[len(sends)-1].status == http.StatusBadGateway {
			t.lost++
		}
	}
	return t
}

// Guards against a judge of repeated sends that misses a broken promise or a second run.
func TestSendsAreJudgedTogether(t *testing.T) {
	began := time.Now()
	sends := func(route string, statuses ...int) []outcome {
		var all []outcome
		for i, status := range statuses {
			at := began.Add(time.Duration(i) * time.Second)
			all = append(all, outcome{route: route, status: status, began: at, ended: at.Add(time.Second / 2)})
		}
		return all
	}
	for _, c := range []struct {
		name    string
		sends   []outcome
		runs    []int
		refused int
		twice   bool
		wrong   bool
	}{
		{"served", sends("hold", 200), []int{1}, 0, false, false},
		{"refused and not run", sends("hold", 503), nil, 0, false, false},
		{"refused and run", sends("hold", 503), []int{1}, 1, false, true},
		{"run twice", sends("match", 200), []int{1, 1}, 0, true, true},
		{"may be repeated", sends("stock", 503), []int{1, 1}, 0, false, false},
		{"repeated too often", sends("stock", 200), []int{1, 1, 1}, 0, true, true},
		{"served by a later send", sends("hold", 503, 429, 200), []int{3}, 0, false, false},
		{"outcome unknown in a later send", sends("hold", 503, 502), []int{2}, 0, false, false},
		{"run for the first send while the second is under way", sends("hold", 503, 502), []int{1}, 1, false, true},
		{"a later promise broken", sends("hold", 503, 421), []int{2}, 1, false, true},
		{"a promise broken and served again", sends("match", 503, 408, 200), []int{2, 3}, 1, true, true},
		{"a send that no client made", sends("hold", 503, 200), []int{3}, 0, false, true},
	} {
		var runs []run
		for _, n := range c.runs {
			runs = append(runs, run{send: n, at: began})
		}
		v := judgeSends(c.sends, runs)
		if v.refused != c.refused || v.twice != c.twice || (len(v.violations) > 0) != c.wrong {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}
