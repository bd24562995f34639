package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"acaciakeel/policy"
)

// deployment plays one customer's requests at many processes in virtual time. They tell
// each other by datagrams that are late or lost, and learn by a store who is there.
type deployment struct {
	bounds Tolerance
	off    policy.Disabled
	limit  Limit
	rand   *rand.Rand
	now    time.Duration
	hosts  []*host
	pulse  time.Duration
	late   time.Duration
	loss   float64
	// mail is what arrives, by the step.
	mail   map[time.Duration][]letter
	ledger []entry
	// ask grows by the requests that are due; each takes an exponential amount of it.
	ask float64
	// exact is what a customer's bucket holds that all processes share.
	exact   float64
	exactAt time.Duration
	within  struct{ asked, refused float64 }
	// fixed has all requests be of the mean size.
	fixed bool
}

type host struct {
	book    *Limiter
	name    string
	group   int
	weight  float64
	next    time.Duration
	downTil time.Duration
	cutTil  time.Duration
	// mute: what it tells is lost, while it hears the others.
	muteTil time.Duration
	lease   time.Duration
	// former is the lease of its start before.
	former time.Duration
}

type letter struct {
	to      *host
	news    UsageUpdate
	group   int
	relayed bool
}

type entry struct {
	at   time.Duration
	cost float64
}

const (
	modelLease = 2 * time.Second
	modelNews  = 400 * time.Millisecond
)

var modelStart = time.Unix(1_000_000, 0)

func (d *deployment) clock() time.Time { return modelStart.Add(d.now) }

func newDeployment(n int, l Limit, off policy.Disabled, seed uint64) *deployment {
	d := &deployment{
		bounds: Tolerance{Window: 8 * time.Second, Overrun: 0.1, Slack: 72_000}, off: off, limit: l,
		mail: map[time.Duration][]letter{}, rand: rand.New(rand.NewPCG(seed, 7)), pulse: max(50, time.Duration(5*min(n, 25))) * time.Millisecond, late: 15 * time.Millisecond, exact: l.Burst,
	}
	for range n {
		h := &host{weight: 1}
		d.hosts = append(d.hosts, h)
		d.startHost(h, n)
	}
	return d
}

func (d *deployment) startHost(h *host, hint int) {
	h.former = h.lease
	h.name = string(rune(d.rand.Uint32()%100_000)) + d.now.String()
	h.lease = d.now + modelLease
	h.book = NewLimiter(d.bounds, d.off, func() bool { return d.now < h.lease }, d.clock())
	h.book.SetMembers(hint)
	h.book.SetLimits(map[string]Limit{"c": d.limit}, d.clock())
	h.next = d.now + time.Duration(d.rand.Int64N(int64(d.pulse)))
}

func (d *deployment) up(h *host) bool { return d.now >= h.downTil }

// reaches reports whether a datagram gets from one host to another.
func (d *deployment) reaches(from, to *host) bool {
	return d.up(from) && d.up(to) && d.now >= from.cutTil && d.now >= to.cutTil && d.now >= from.muteTil && d.rand.Float64() >= d.loss
}

const modelStep = 5 * time.Millisecond

// run plays for a while; demand is what is asked a second, size the mean of a request.
func (d *deployment) run(length time.Duration, demand, size float64) {
	for end := d.now + length; d.now < end; d.now += modelStep {
		d.store()
		d.deliver()
		for _, h := range d.hosts {
			if d.up(h) && d.now >= h.next {
				h.next = d.now + d.pulse
				d.tell(h)
			}
		}
		for d.ask += demand / size * modelStep.Seconds(); d.ask > 0; d.ask -= d.rand.ExpFloat64() {
			d.request(size)
		}
	}
}

// store has each host that reaches it know who is there, and keep its lease.
func (d *deployment) store() {
	for _, h := range d.hosts {
		if d.up(h) && d.now >= h.cutTil {
			h.lease = d.now + modelLease
		}
	}
	there, starts := 0, 0
	for _, h := range d.hosts {
		if d.now < h.lease+modelNews {
			there++
		}
		if d.now < h.former {
			starts++
		}
	}
	// Starts that have ended are members until their leases lapse.
	groups := (there + starts + 24) / 25
	for i, h := range d.hosts {
		h.group = i * groups / len(d.hosts)
	}
	for _, h := range d.hosts {
		if d.up(h) && d.now >= h.cutTil && d.now%(modelNews) < modelStep {
			h.book.SetMembers(there)
		}
	}
}

func (d *deployment) tell(h *host) {
	news := h.book.PeerUpdate(d.clock())
	news.Sender = h.name
	for _, to := range d.hosts {
		if to != h && to.group == h.group && d.reaches(h, to) {
			d.post(letter{to: to, news: news, group: -1})
		}
	}
	for group := range d.hosts[len(d.hosts)-1].group + 1 {
		if group != h.group && d.first(h.group, h) {
			news := h.book.GroupUpdate(group, d.clock())
			news.Sender = h.name
			if to := d.firstOf(group); to != nil && d.reaches(h, to) {
				d.post(letter{to: to, news: news, group: h.group})
			}
		}
	}
}

func (d *deployment) latency() time.Duration {
	return d.late/2 + time.Duration(d.rand.Int64N(int64(d.late)))
}

func (d *deployment) firstOf(group int) *host {
	for _, h := range d.hosts {
		if h.group == group && d.up(h) {
			return h
		}
	}
	return nil
}

func (d *deployment) first(group int, h *host) bool { return d.firstOf(group) == h }

// post has a letter arrive after a while.
func (d *deployment) post(l letter) {
	at := (d.now + d.latency()).Truncate(modelStep) + modelStep
	d.mail[at] = append(d.mail[at], l)
}

func (d *deployment) deliver() {
	for _, l := range d.mail[d.now] {
		switch {
		case !d.up(l.to):
		case l.group < 0:
			l.to.book.ApplyPeerUpdate(l.news, d.clock())
		default:
			l.to.book.ApplyGroupUpdate(l.group, l.news, d.clock())
			d.passOn(l)
		}
	}
	delete(d.mail, d.now)
}

// passOn tells a group what another one told its first member.
func (d *deployment) passOn(l letter) {
	for _, to := range d.hosts {
		if !l.relayed && to != l.to && to.group == l.to.group && d.reaches(l.to, to) {
			d.post(letter{to: to, news: l.news, group: l.group, relayed: true})
		}
	}
}

// request asks for one request at a host by weight.
func (d *deployment) request(size float64) {
	cost := math.Round(min(4*size, size*math.Exp(d.rand.NormFloat64()*0.7-0.245)))
	if d.fixed {
		cost = size
	}
	h := d.pick()
	if h == nil {
		return
	}
	d.exact = min(d.limit.Burst, d.exact+d.limit.Rate*(d.now-d.exactAt).Seconds())
	d.exactAt = d.now
	fits := d.exact >= cost
	if fits {
		d.exact -= cost
		d.within.asked += cost
	}
	_, _, ok := h.book.Admit("c", Size{Tokens: int(cost), Known: true}, d.clock())
	if ok {
		d.ledger = append(d.ledger, entry{d.now, cost})
	} else if fits {
		d.within.refused += cost
	}
}

func (d *deployment) pick() *host {
	all := 0.0
	for _, h := range d.hosts {
		if d.up(h) {
			all += h.weight
		}
	}
	at := d.rand.Float64() * all
	for _, h := range d.hosts {
		if !d.up(h) {
			continue
		}
		if at -= h.weight; at < 0 {
			return h
		}
	}
	return nil
}

// most returns the most that was let in in any window from a moment on, as a part of
// what the rule allows under a limit.
func (d *deployment) most(l Limit, from time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for i, e := range d.ledger {
		sum += e.cost
		for ; d.ledger[first].at < e.at-d.bounds.Window; first++ {
			sum -= d.ledger[first].cost
		}
		if first <= i && d.ledger[first].at >= from {
			most = max(most, sum)
		}
	}
	return most / (l.Rate*d.bounds.Window.Seconds() + l.Burst + d.bounds.margin(l))
}

// The ways that are compared, by what is switched off.
var ways = []struct {
	name string
	off  policy.Disabled
}{
	{"equal", policy.Disabled{policy.SharedUsage: true, policy.DemandShares: true}},
	{"demand", policy.Disabled{policy.SharedUsage: true}},
	{"common", policy.Disabled{policy.Pacing: true}},
	{"paced", nil},
}

type load struct {
	name string
	play func(d *deployment, r float64)
}

const meanRequest = 9200

// loads are the patterns; a customer asks for 0.55 of its limit as a rule.
var loads = []load{
	{"within its limit", func(d *deployment, r float64) { d.run(30*time.Second, 0.55*r, meanRequest) }},
	{"within, four connections", func(d *deployment, r float64) {
		for range 6 {
			d.connections(4)
			d.run(5*time.Second, 0.55*r, meanRequest)
		}
	}},
	{"eight times its usual", func(d *deployment, r float64) {
		d.run(5*time.Second, 0.55*r, meanRequest)
		d.run(20*time.Second, 4.4*r, meanRequest)
	}},
	{"eight times, four connections", func(d *deployment, r float64) {
		d.connections(4)
		d.run(20*time.Second, 4.4*r, meanRequest)
	}},
	{"eight times, all killed twice", func(d *deployment, r float64) {
		d.run(10*time.Second, 4.4*r, meanRequest)
		for range 2 {
			d.kill(len(d.hosts), 0)
			d.run(5*time.Second, 4.4*r, meanRequest)
		}
	}},
	{"eight times, rolled", func(d *deployment, r float64) {
		for i := range d.hosts {
			d.kill(1, i)
			d.run(time.Second, 4.4*r, meanRequest)
		}
	}},
	{"eight times, a third cut off", func(d *deployment, r float64) {
		d.run(5*time.Second, 0.2*r, meanRequest)
		d.cut(len(d.hosts)/3, 6*time.Second)
		d.run(12*time.Second, 4.4*r, meanRequest)
	}},
	{"within, a third cut off", func(d *deployment, r float64) {
		d.cut(len(d.hosts)/3, 6*time.Second)
		d.run(12*time.Second, 0.55*r, meanRequest)
	}},
	{"within, half killed", func(d *deployment, r float64) {
		d.run(5*time.Second, 0.55*r, meanRequest)
		d.kill(len(d.hosts)/2, 0)
		d.run(12*time.Second, 0.55*r, meanRequest)
	}},
	{"within, a few killed", func(d *deployment, r float64) {
		d.run(15*time.Second, 0.55*r, meanRequest)
		for range 2 {
			d.kill(4, 0)
			d.run(5*time.Second, 0.55*r, meanRequest)
		}
	}},
	{"eight times, a third heard by nobody", func(d *deployment, r float64) {
		for _, h := range d.hosts[:len(d.hosts)/3] {
			h.muteTil = d.now + 8*time.Second
		}
		d.run(12*time.Second, 4.4*r, meanRequest)
	}},
	{"eight times, news half a second late, one in twenty lost", func(d *deployment, r float64) {
		d.late, d.loss = 500*time.Millisecond, 0.05
		d.run(20*time.Second, 4.4*r, meanRequest)
	}},
}

func (d *deployment) connections(n int) {
	for _, h := range d.hosts {
		h.weight = 0
	}
	for range n {
		d.hosts[d.rand.IntN(len(d.hosts))].weight++
	}
}

// kill has hosts from one on start anew a second later.
func (d *deployment) kill(n, from int) {
	for _, h := range d.hosts[from : from+n] {
		h.downTil = d.now + time.Second
	}
	before := d.now
	d.run(time.Second, 0.5*d.limit.Rate, meanRequest)
	d.now = max(d.now, before+time.Second)
	for _, h := range d.hosts[from : from+n] {
		d.startHost(h, len(d.hosts))
	}
}

func (d *deployment) cut(n int, length time.Duration) {
	for _, h := range d.hosts[:n] {
		h.cutTil = d.now + length
	}
}

// TestWays compares the ways on the same loads and seeds: the most that was let in in
// any window, of what the rule allows, and how much of what one exact count lets in was
// refused.
func TestWays(t *testing.T) {
	datadriven.RunTest(t, "testdata/ways", func(t *testing.T, d *datadriven.TestData) string {
		n, perSecond, only := 22, 150_000, ""
		d.MaybeScanArgs(t, "processes", &n)
		d.MaybeScanArgs(t, "rate", &perSecond)
		d.MaybeScanArgs(t, "way", &only)
		asked := strings.Split(strings.TrimSpace(d.Input), "\n")
		r := float64(perSecond)
		var out strings.Builder
		for _, p := range loads {
			if d.Input != "" && !slices.Contains(asked, p.name) {
				continue
			}
			for _, w := range ways {
				if only != "" && only != w.name {
					continue
				}
				m := newDeployment(n, Limit{Rate: r, Burst: r, Unit: Tokens}, w.off, 1)
				m.run(3*time.Second, 0.3*r, meanRequest)
				p.play(m, r)
				most := m.most(m.limit, 0)
				if w.off == nil && most > 1 {
					t.Errorf("%s: %.2f of what the rule allows was let in", p.name, most)
				}
				fmt.Fprintf(&out, "%-60s %-7s most %.2f, refused %.2f\n", p.name, w.name, most, m.within.refused/m.within.asked)
			}
		}
		return out.String()
	})
}
