package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// press is a load of more requests than the targets can run.
type press struct {
	// room is how many requests each target runs at once, spare the same for the one target of
	// each service that sends no late responses.
	room, spare int
	// unnamed has targets send a refusal without an ID ahead of the first response on some new
	// connections.
	unnamed bool
}

const (
	// pressSeconds is how long a load is played.
	pressSeconds = 5
	// pressCallers is how many clients send besides the usual ones.
	pressCallers = 32
	// pressLateEvery is which request on reused connections meets a late response.
	pressLateEvery = 5
	// pressUnnamedEvery is which new connection meets a refusal without an ID.
	pressUnnamedEvery = 20
	// pressWork is how long a plain request runs.
	pressWork = 40 * time.Millisecond
	// leavingID begins the IDs of the requests whose client disconnects after leavingAfter, while
	// the request may still be running.
	leavingID    = "leaving-"
	leavingAfter = 60 * time.Millisecond
)

// Guards against responses that belong to no request, or to another one, and count as refusals of
// requests that ran, while most targets send them and are full.
func TestSoakPress(t *testing.T) {
	seed := uint64(number("SOAK_SEED", 1))
	loads := map[string]regression{
		"full":            {press: &press{room: 8, spare: 8}},
		"free":            {press: &press{room: 4, spare: 64}},
		"new connections": {press: &press{room: 4, spare: 64, unnamed: true}},
	}
	for _, name := range []string{"full", "free", "new connections"} {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			r := loads[name]
			r.seed, r.faults, r.direct, r.seconds = seed, pressFaults(), true, pressSeconds
			play(t, r)
		})
	}
}

func pressFaults() []fault {
	byName := func(f fault) bool {
		return slices.Contains([]string{"entry killed", "entry stopped and started", "target reborn", "new configuration"}, f.name)
	}
	return slices.DeleteFunc(slices.Clone(allFaults), func(f fault) bool { return !byName(f) })
}

// limitRoom bounds what targets run at once, and has all but one of each service repeat responses.
func (s *site) limitRoom(p *press) {
	for _, tg := range s.targets() {
		if p.unnamed {
			tg.SendUnnamedRefusal(pressUnnamedEvery)
		}
	}
	for _, group := range [][]*target{s.runners, s.desks} {
		group[0].SetRoom(p.spare, pressWork)
		for _, tg := range group[1:] {
			tg.SetRoom(p.room, pressWork)
			tg.SendLate(pressLateEvery)
		}
	}
}

func (s *site) endPress() {
	for _, tg := range s.targets() {
		tg.SetRoom(0, 0)
		tg.SendLate(0)
		tg.SendUnnamedRefusal(0)
	}
}

// sendPress adds clients whose requests may run once, to the end of the soak.
func (c *callers) sendPress(seed uint64) {
	for i := range pressCallers {
		c.done.Add(1)
		go c.keepSending(c.stop, rand.New(rand.NewPCG(seed, 1<<36+uint64(i))), c.sendOnce)
	}
}

// sendOnce sends a request that may run once; the clients of some leave early.
func (c *callers) sendOnce(random *rand.Rand) {
	e := c.site.anyEntry(random)
	route := oneOf(random, []string{"match", "match", "match", "hold"})
	prefix := oneOf(random, []string{"press-", "press-", "press-", leavingID})
	c.sendAs(e, route, c.newID(prefix, e), random.IntN(12))
}

// patienceOf is how long the client of a request waits.
func patienceOf(id string) time.Duration {
	if strings.HasPrefix(id, leavingID) {
		return leavingAfter
	}
	return 10 * time.Second
}

// lateRefusals returns how many of the late responses of all targets were refusals.
func (s *site) lateRefusals() int {
	n := 0
	for _, tg := range s.targets() {
		n += tg.LateRefusals()
	}
	return n
}

// judgePress counts by route what judge reports: refusals of requests that ran, and requests that
// ran more often than once. Without late refusals a load shows nothing.
func (c *callers) judgePress() {
	notRun, late, lateRefusals := 0, 0, c.site.lateRefusals()
	for _, tg := range c.site.targets() {
		notRun += tg.NotRun()
		late += tg.LateSent()
	}
	c.site.t.Logf("%v; targets refused %d and sent %d late responses, %d of them refusals", c.tally(), notRun, late, lateRefusals)
	if lateRefusals == 0 {
		c.violate("targets refused %d requests and sent %d late responses, none of them a refusal", notRun, late)
	}
}
