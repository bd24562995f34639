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

// simulation runs one customer's requests at many processes in virtual time. The processes
// exchange datagrams that are delayed or lost, and learn the membership from a store.
type simulation struct {
	tolerance     Tolerance
	disabled      policy.Disabled
	limit         Limit
	rand          *rand.Rand
	now           time.Duration
	processes     []*process
	pulseInterval time.Duration
	meanDelay     time.Duration
	lossRate      float64
	// inFlight holds the messages by the step of their arrival.
	inFlight   map[time.Duration][]message
	admissions []admission
	// dueRequests grows by the requests that are due; each one takes an exponentially
	// distributed amount of it.
	dueRequests float64
	// exactLevel is the level of a single token bucket shared by all processes, which
	// serves as the reference. conforming counts the amounts that this bucket admits.
	exactLevel     float64
	exactUpdatedAt time.Duration
	conforming     struct{ asked, refused float64 }
	// fixedSize makes all requests have the mean size.
	fixedSize bool
}

type process struct {
	limiter          *Limiter
	name             string
	group            int
	weight           float64
	nextPulse        time.Duration
	downUntil        time.Duration
	partitionedUntil time.Duration
	// Until sendLossUntil all its datagrams are lost, while it receives those of others.
	sendLossUntil time.Duration
	leaseUntil    time.Duration
	// formerLeaseUntil is the end of the lease of the instance before its restart.
	formerLeaseUntil time.Duration
}

type message struct {
	to      *process
	update  UsageUpdate
	group   int
	relayed bool
}

type admission struct {
	at   time.Duration
	cost float64
}

const (
	simLease         = 2 * time.Second
	simStoreInterval = 400 * time.Millisecond
)

var simStart = time.Unix(1_000_000, 0)

func (d *simulation) clock() time.Time { return simStart.Add(d.now) }

func newSimulation(n int, l Limit, off policy.Disabled, seed uint64) *simulation {
	d := &simulation{
		tolerance: Tolerance{Window: 8 * time.Second, Overrun: 0.1, Slack: 72_000}, disabled: off, limit: l,
		inFlight: map[time.Duration][]message{}, rand: rand.New(rand.NewPCG(seed, 7)), pulseInterval: max(50, time.Duration(5*min(n, 25))) * time.Millisecond, meanDelay: 15 * time.Millisecond, exactLevel: l.Burst,
	}
	for range n {
		h := &process{weight: 1}
		d.processes = append(d.processes, h)
		d.startProcess(h, n)
	}
	return d
}

func (d *simulation) startProcess(h *process, members int) {
	h.formerLeaseUntil = h.leaseUntil
	h.name = string(rune(d.rand.Uint32()%100_000)) + d.now.String()
	h.leaseUntil = d.now + simLease
	h.limiter = NewLimiter(d.tolerance, d.disabled, func() bool { return d.now < h.leaseUntil }, d.clock())
	h.limiter.SetMembers(members)
	h.limiter.SetLimits(map[string]Limit{"c": d.limit}, d.clock())
	h.nextPulse = d.now + time.Duration(d.rand.Int64N(int64(d.pulseInterval)))
}

func (d *simulation) up(h *process) bool { return d.now >= h.downUntil }

// delivers reports whether a datagram arrives.
func (d *simulation) delivers(from, to *process) bool {
	return d.up(from) && d.up(to) && d.now >= from.partitionedUntil && d.now >= to.partitionedUntil && d.now >= from.sendLossUntil && d.rand.Float64() >= d.lossRate
}

const simStep = 5 * time.Millisecond

// run advances the simulation. demand is the amount requested per second, size the mean
// size of a request.
func (d *simulation) run(length time.Duration, demand, size float64) {
	for end := d.now + length; d.now < end; d.now += simStep {
		d.updateMembership()
		d.deliver()
		for _, h := range d.processes {
			if d.up(h) && d.now >= h.nextPulse {
				h.nextPulse = d.now + d.pulseInterval
				d.sendUpdates(h)
			}
		}
		for d.dueRequests += demand / size * simStep.Seconds(); d.dueRequests > 0; d.dueRequests -= d.rand.ExpFloat64() {
			d.request(size)
		}
	}
}

// updateMembership renews the lease of each process that reaches the store, and gives it
// the number of members.
func (d *simulation) updateMembership() {
	for _, h := range d.processes {
		if d.up(h) && d.now >= h.partitionedUntil {
			h.leaseUntil = d.now + simLease
		}
	}
	members, formerInstances := 0, 0
	for _, h := range d.processes {
		if d.now < h.leaseUntil+simStoreInterval {
			members++
		}
		if d.now < h.formerLeaseUntil {
			formerInstances++
		}
	}
	// Former instances are members until their leases expire.
	groups := (members + formerInstances + 24) / 25
	for i, h := range d.processes {
		h.group = i * groups / len(d.processes)
		h.limiter.SetGroup(h.group, groups, d.clock())
	}
	for _, h := range d.processes {
		if d.up(h) && d.now >= h.partitionedUntil && d.now%(simStoreInterval) < simStep {
			h.limiter.SetMembers(members)
		}
	}
}

func (d *simulation) sendUpdates(h *process) {
	update := h.limiter.PeerUpdate(d.clock())
	update.Sender = h.name
	for _, to := range d.processes {
		if to != h && to.group == h.group && d.delivers(h, to) {
			d.send(message{to: to, update: update, group: -1})
		}
	}
	for group := range d.processes[len(d.processes)-1].group + 1 {
		if group != h.group && d.isFirst(h.group, h) {
			update := h.limiter.GroupUpdate(group, MaxReports, d.clock())
			update.Sender = h.name
			if to := d.firstProcess(group); to != nil && d.delivers(h, to) {
				d.send(message{to: to, update: update, group: h.group})
			}
		}
	}
}

func (d *simulation) latency() time.Duration {
	return d.meanDelay/2 + time.Duration(d.rand.Int64N(int64(d.meanDelay)))
}

func (d *simulation) firstProcess(group int) *process {
	for _, h := range d.processes {
		if h.group == group && d.up(h) {
			return h
		}
	}
	return nil
}

func (d *simulation) isFirst(group int, h *process) bool { return d.firstProcess(group) == h }

// send delivers a message after the simulated delay.
func (d *simulation) send(l message) {
	at := (d.now + d.latency()).Truncate(simStep) + simStep
	d.inFlight[at] = append(d.inFlight[at], l)
}

func (d *simulation) deliver() {
	for _, l := range d.inFlight[d.now] {
		switch {
		case !d.up(l.to):
		case l.group < 0:
			l.to.limiter.ApplyPeerUpdate(l.update, d.clock())
		default:
			l.to.limiter.ApplyGroupUpdate(l.group, l.update, d.clock())
			d.relay(l)
		}
	}
	delete(d.inFlight, d.now)
}

// relay passes an update from another group on to the other members of the receiver's
// group.
func (d *simulation) relay(l message) {
	for _, to := range d.processes {
		if !l.relayed && to != l.to && to.group == l.to.group && d.delivers(l.to, to) {
			d.send(message{to: to, update: l.update, group: l.group, relayed: true})
		}
	}
}

// request sends one request to a process chosen by weight.
func (d *simulation) request(size float64) {
	cost := math.Round(min(4*size, size*math.Exp(d.rand.NormFloat64()*0.7-0.245)))
	if d.fixedSize {
		cost = size
	}
	h := d.pickProcess()
	if h == nil {
		return
	}
	d.exactLevel = min(d.limit.Burst, d.exactLevel+d.limit.Rate*(d.now-d.exactUpdatedAt).Seconds())
	d.exactUpdatedAt = d.now
	fits := d.exactLevel >= cost
	if fits {
		d.exactLevel -= cost
		d.conforming.asked += cost
	}
	_, _, ok := h.limiter.Admit("c", Size{Tokens: int(cost), Known: true}, d.clock())
	if ok {
		d.admissions = append(d.admissions, admission{d.now, cost})
	} else if fits {
		d.conforming.refused += cost
	}
}

func (d *simulation) pickProcess() *process {
	all := 0.0
	for _, h := range d.processes {
		if d.up(h) {
			all += h.weight
		}
	}
	at := d.rand.Float64() * all
	for _, h := range d.processes {
		if !d.up(h) {
			continue
		}
		if at -= h.weight; at < 0 {
			return h
		}
	}
	return nil
}

// maxWindowUse returns the most that was admitted in any window ending after from, relative
// to the amount that limit and margin allow.
func (d *simulation) maxWindowUse(l Limit, from time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for i, e := range d.admissions {
		sum += e.cost
		for ; d.admissions[first].at < e.at-d.tolerance.Window; first++ {
			sum -= d.admissions[first].cost
		}
		if first <= i && d.admissions[first].at >= from {
			most = max(most, sum)
		}
	}
	return most / (l.Rate*d.tolerance.Window.Seconds() + l.Burst + d.tolerance.margin(l))
}

// variants are the compared algorithms, by the mechanisms that are switched off.
var variants = []struct {
	name string
	off  policy.Disabled
}{
	{"equal", policy.Disabled{policy.SharedUsage: true, policy.DemandShares: true}},
	{"demand", policy.Disabled{policy.SharedUsage: true}},
	{"common", policy.Disabled{policy.Pacing: true}},
	{"paced", nil},
}

type scenario struct {
	name string
	run  func(d *simulation, r float64)
}

const meanRequest = 9200

// scenarios are the load patterns; a customer normally requests 0.55 of its limit.
var scenarios = []scenario{
	{"within its limit", func(d *simulation, r float64) { d.run(30*time.Second, 0.55*r, meanRequest) }},
	{"within, four connections", func(d *simulation, r float64) {
		for range 6 {
			d.connections(4)
			d.run(5*time.Second, 0.55*r, meanRequest)
		}
	}},
	{"eight times its usual", func(d *simulation, r float64) {
		d.run(5*time.Second, 0.55*r, meanRequest)
		d.run(20*time.Second, 4.4*r, meanRequest)
	}},
	{"eight times, four connections", func(d *simulation, r float64) {
		d.connections(4)
		d.run(20*time.Second, 4.4*r, meanRequest)
	}},
	{"eight times, all killed twice", func(d *simulation, r float64) {
		d.run(10*time.Second, 4.4*r, meanRequest)
		for range 2 {
			d.restart(len(d.processes), 0)
			d.run(5*time.Second, 4.4*r, meanRequest)
		}
	}},
	{"eight times, rolled", func(d *simulation, r float64) {
		for i := range d.processes {
			d.restart(1, i)
			d.run(time.Second, 4.4*r, meanRequest)
		}
	}},
	{"eight times, a third cut off", func(d *simulation, r float64) {
		d.run(5*time.Second, 0.2*r, meanRequest)
		d.partition(len(d.processes)/3, 6*time.Second)
		d.run(12*time.Second, 4.4*r, meanRequest)
	}},
	{"within, a third cut off", func(d *simulation, r float64) {
		d.partition(len(d.processes)/3, 6*time.Second)
		d.run(12*time.Second, 0.55*r, meanRequest)
	}},
	{"within, half killed", func(d *simulation, r float64) {
		d.run(5*time.Second, 0.55*r, meanRequest)
		d.restart(len(d.processes)/2, 0)
		d.run(12*time.Second, 0.55*r, meanRequest)
	}},
	{"within, a few killed", func(d *simulation, r float64) {
		d.run(15*time.Second, 0.55*r, meanRequest)
		for range 2 {
			d.restart(4, 0)
			d.run(5*time.Second, 0.55*r, meanRequest)
		}
	}},
	{"eight times, a third heard by nobody", func(d *simulation, r float64) {
		for _, h := range d.processes[:len(d.processes)/3] {
			h.sendLossUntil = d.now + 8*time.Second
		}
		d.run(12*time.Second, 4.4*r, meanRequest)
	}},
	{"eight times, news half a second late, one in twenty lost", func(d *simulation, r float64) {
		d.meanDelay, d.lossRate = 500*time.Millisecond, 0.05
		d.run(20*time.Second, 4.4*r, meanRequest)
	}},
}

func (d *simulation) connections(n int) {
	for _, h := range d.processes {
		h.weight = 0
	}
	for range n {
		d.processes[d.rand.IntN(len(d.processes))].weight++
	}
}

// restart stops n processes, beginning with the one at index from, and starts them again a
// second later.
func (d *simulation) restart(n, from int) {
	for _, h := range d.processes[from : from+n] {
		h.downUntil = d.now + time.Second
	}
	before := d.now
	d.run(time.Second, 0.5*d.limit.Rate, meanRequest)
	d.now = max(d.now, before+time.Second)
	for _, h := range d.processes[from : from+n] {
		d.startProcess(h, len(d.processes))
	}
}

func (d *simulation) partition(n int, length time.Duration) {
	for _, h := range d.processes[:n] {
		h.partitionedUntil = d.now + length
	}
}

// Compares the variants on the same loads by the largest window and the conforming load
// refused. Guards against admitting more than limit and margin allow.
func TestLimitVariants(t *testing.T) {
	datadriven.RunTest(t, "testdata/ways", func(t *testing.T, d *datadriven.TestData) string {
		n, perSecond, only := 22, 150_000, ""
		d.MaybeScanArgs(t, "processes", &n)
		d.MaybeScanArgs(t, "rate", &perSecond)
		d.MaybeScanArgs(t, "way", &only)
		asked := strings.Split(strings.TrimSpace(d.Input), "\n")
		r := float64(perSecond)
		var out strings.Builder
		for _, p := range scenarios {
			if d.Input != "" && !slices.Contains(asked, p.name) {
				continue
			}
			for _, w := range variants {
				if only != "" && only != w.name {
					continue
				}
				m := newSimulation(n, Limit{Rate: r, Burst: r, Unit: Tokens}, w.off, 1)
				m.run(3*time.Second, 0.3*r, meanRequest)
				p.run(m, r)
				most := m.maxWindowUse(m.limit, 0)
				if w.off == nil && most > 1 {
					t.Errorf("%s: admitted %.2f of the allowed amount in a window", p.name, most)
				}
				fmt.Fprintf(&out, "%-60s %-7s most %.2f, refused %.2f\n", p.name, w.name, most, m.conforming.refused/m.conforming.asked)
			}
		}
		return out.String()
	})
}
