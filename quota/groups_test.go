package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"acaciakeel/peering"
	"acaciakeel/prefix"
)

// fleetSim runs customers' requests at the entries of a deployment in virtual time. Entries
// start, stop and crash, see the list of members late, and exchange usage within groups and
// between them as package node does.
type fleetSim struct {
	rand      *rand.Rand
	now       time.Duration
	entries   []*simEntry
	started   int
	customers []*simCustomer
	tolerance Tolerance
	lossRate  float64
	inFlight  map[time.Duration][]simMessage
	// groupsCutUntil is the time until which no digest arrives.
	groupsCutUntil time.Duration
	// bothRelay makes the first two relays of each link send.
	bothRelay bool
	// plans caches plans, by list of members and entry.
	plans map[string]peering.Plan
	// relayChanges counts the changes of first relays.
	relayChanges int
	lastRelay    map[string]string
	// settledAt is the time from which the levels of the entries are compared with the sum of
	// what was admitted: when a customer's demand rises, usage not reported yet dominates.
	settledAt time.Duration
}

// levelError returns by how much the entries overestimate what is left of a customer's limit, in
// the mean.
func (f *fleetSim) levelError(c *simCustomer) float64 {
	sum, n := 0.0, 0
	for _, e := range f.entries {
		if !e.alive(f.now) || f.now-e.startedAt < 2*time.Second {
			continue
		}
		for _, u := range e.limiter.State(f.clock()).Customers {
			if u.Customer == c.name {
				sum, n = sum+u.Remaining, n+1
			}
		}
	}
	return sum/float64(n) - min(c.limit.Burst, c.level+c.limit.Rate*(f.now-c.levelAt).Seconds())
}

// simCustomer is a customer with a limit and its demand.
type simCustomer struct {
	name  string
	limit Limit
	// demand is the amount requested per second, as a multiple of the limit's rate.
	demand     float64
	due        float64
	admissions []admission
	exact      float64
	exactAt    time.Duration
	// level is what the admitted requests left of the limit.
	level       float64
	levelAt     time.Duration
	levelErrors []float64
	// asked is the amount that fits a single token bucket, and refused the part of it that
	// was refused.
	asked, refused float64
}

type simEntry struct {
	member  peering.Member
	limiter *Limiter
	// The entry is in the list of members from listedAt until unlistedAt, and admits requests
	// from startedAt until endsAt.
	startedAt, listedAt, unlistedAt, endsAt time.Duration
	// A stopping entry gets no new connections from noticedAt on.
	noticedAt     time.Duration
	isolatedUntil time.Duration
	nextView      time.Duration
	nextPulse     time.Duration
	view          []peering.Member
	viewKey       string
	plan          peering.Plan
	heard         map[string]time.Duration
	remote        map[string]time.Duration
	digestAt      map[int]time.Duration
}

type simMessage struct {
	to        *simEntry
	from      string
	update    UsageUpdate
	group     int
	groups    int
	forwarded bool
}

const never = time.Duration(math.MaxInt64)

const (
	// fleetRate is the limit of a customer of deployment K, in tokens per second and as a burst.
	fleetRate    = 272_734
	viewInterval = 400 * time.Millisecond
	simSilence   = 500 * time.Millisecond
	simDigest    = 150 * time.Millisecond
	// stopDuration is how long a stopping entry still serves its connections, and noticeTime
	// how long it gets new ones.
	stopDuration = 5 * time.Second
	noticeTime   = 2600 * time.Millisecond
)

func newFleetSim(n, customers int, seed uint64) *fleetSim {
	f := &fleetSim{
		rand: rand.New(rand.NewPCG(seed, 11)), tolerance: Tolerance{Window: 8 * time.Second, Overrun: 0.1, Slack: 110_000},
		lossRate: 0.01, settledAt: 9 * time.Second, inFlight: map[time.Duration][]simMessage{}, plans: map[string]peering.Plan{}, lastRelay: map[string]string{},
	}
	for i := range customers {
		f.customers = append(f.customers, &simCustomer{name: fmt.Sprintf("c%d", i), limit: Limit{Rate: fleetRate, Burst: fleetRate, Unit: Tokens}, demand: 0.55, exact: fleetRate, level: fleetRate})
	}
	for range n {
		f.start(0)
	}
	return f
}

func (f *fleetSim) clock() time.Time { return simStart.Add(f.now) }

// start starts an entry that is listed after the given time.
func (f *fleetSim) start(listedAfter time.Duration) *simEntry {
	f.started++
	key := fmt.Sprintf("m/n%d/x%d", f.started, f.rand.Uint32())
	e := &simEntry{
		member:    peering.Member{Key: key, Address: key, Zone: fmt.Sprintf("z%d", f.started%4)},
		startedAt: f.now, listedAt: f.now + listedAfter, unlistedAt: never, endsAt: never, noticedAt: never,
		heard: map[string]time.Duration{}, remote: map[string]time.Duration{}, digestAt: map[int]time.Duration{},
	}
	e.limiter = NewLimiter(f.tolerance, nil, func() bool { return f.now < e.isolatedUntil-4*time.Second || f.now >= e.isolatedUntil }, f.clock())
	limits := map[string]Limit{}
	for _, c := range f.customers {
		limits[c.name] = c.limit
	}
	e.limiter.SetRecentMembers(len(f.entries) + 1)
	e.limiter.SetLimits(limits, f.clock())
	e.nextPulse = f.now + time.Duration(f.rand.Int64N(int64(200*time.Millisecond)))
	e.nextView = f.now + time.Duration(f.rand.Int64N(int64(viewInterval)))
	f.entries = append(f.entries, e)
	return e
}

// stop begins the planned stop of an entry.
func (f *fleetSim) stop(e *simEntry) {
	e.unlistedAt, e.noticedAt, e.endsAt = f.now, f.now+noticeTime, f.now+stopDuration
}

// crash ends an entry at once; its lease lasts for two seconds more.
func (f *fleetSim) crash(e *simEntry) {
	e.unlistedAt, e.endsAt = f.now+simLease, f.now
}

func (e *simEntry) alive(now time.Duration) bool { return now >= e.startedAt && now < e.endsAt }

func (f *fleetSim) listed() []*simEntry {
	var out []*simEntry
	for _, e := range f.entries {
		if f.now >= e.listedAt && f.now < e.unlistedAt {
			out = append(out, e)
		}
	}
	return out
}

// firstRelay returns the entry that relays from one group to the other.
func (f *fleetSim) firstRelay(group int) *simEntry {
	for _, e := range f.listed() {
		if e.plan.Joined && e.plan.Group == group && len(e.plan.Links) > 0 {
			at := slices.IndexFunc(f.entries, func(o *simEntry) bool { return o.member.Key == e.plan.Links[0].Relays[0] })
			if at >= 0 && f.entries[at].endsAt == never {
				return f.entries[at]
			}
		}
	}
	return nil
}

func (f *fleetSim) run(length time.Duration) {
	for end := f.now + length; f.now < end; f.now += simStep {
		if f.now%(250*time.Millisecond) == 0 && f.now > f.settledAt {
			for _, c := range f.customers {
				c.levelErrors = append(c.levelErrors, f.levelError(c))
			}
		}
		f.entries = slices.DeleteFunc(f.entries, func(e *simEntry) bool { return !e.alive(f.now) && f.now >= e.unlistedAt })
		for _, e := range f.entries {
			if e.alive(f.now) && f.now >= e.nextView {
				e.nextView = f.now + viewInterval
				f.updateView(e)
			}
		}
		for _, m := range f.inFlight[f.now] {
			f.receive(m)
		}
		delete(f.inFlight, f.now)
		for _, e := range f.entries {
			if e.alive(f.now) && f.now >= e.nextPulse {
				e.nextPulse = f.now + max(50*time.Millisecond, time.Duration(len(e.plan.Peers))*8*time.Millisecond)
				f.pulse(e)
			}
		}
		for _, c := range f.customers {
			for c.due += c.demand * c.limit.Rate / meanRequest * simStep.Seconds(); c.due > 0; c.due -= f.rand.ExpFloat64() {
				f.request(c)
			}
		}
	}
}

// updateView gives an entry the list of members. One that is no longer listed keeps to its
// group, as in package node.
func (f *fleetSim) updateView(e *simEntry) {
	if f.now < e.isolatedUntil {
		return
	}
	var members []peering.Member
	key := ""
	for _, o := range f.listed() {
		members = append(members, o.member)
		key += o.member.Key + " "
	}
	if key == e.viewKey {
		return
	}
	e.view, e.viewKey = members, key
	id := e.member.Key + ":" + fmt.Sprint(prefix.NameHash(key))
	plan, known := f.plans[id]
	if !known {
		plan = peering.New(e.member.Key, members)
		f.plans[id] = plan
	}
	if !plan.Joined && e.plan.Joined {
		// A stopping entry keeps its peers.
		plan = e.plan
		plan.Links = nil
	}
	e.plan = plan
	e.limiter.SetMembers(max(1, len(members)))
	e.limiter.SetGroup(plan.Group, plan.GroupCount, f.clock())
	for _, l := range plan.Links {
		link := fmt.Sprint(plan.Group, ">", l.Group)
		if f.lastRelay[link] != l.Relays[0] {
			f.relayChanges++
		}
		f.lastRelay[link] = l.Relays[0]
	}
}

func (f *fleetSim) send(from *simEntry, m simMessage) {
	if f.now < from.isolatedUntil || f.now < m.to.isolatedUntil || f.rand.Float64() < f.lossRate {
		return
	}
	at := (f.now + 7*time.Millisecond + time.Duration(f.rand.Int64N(int64(15*time.Millisecond)))).Truncate(simStep) + simStep
	f.inFlight[at] = append(f.inFlight[at], m)
}

func (f *fleetSim) entry(key string) *simEntry {
	for _, e := range f.entries {
		if e.member.Key == key {
			return e
		}
	}
	return nil
}

// isRelay reports whether an entry relays on a link now.
func (f *fleetSim) isRelay(e *simEntry, l peering.Link) bool {
	for i, key := range l.Relays {
		if key == e.member.Key {
			return i == 0 || f.now-e.startedAt > simSilence
		}
		if at, ok := e.heard[key]; ok && f.now-at <= simSilence && !(f.bothRelay && i == 0) {
			return false
		}
	}
	return false
}

// groupOf returns the entries that an entry sends to: its peers, and the stopping entries of
// its group.
func (f *fleetSim) groupOf(e *simEntry) []*simEntry {
	var out []*simEntry
	for _, o := range f.entries {
		if o == e || !o.alive(f.now) {
			continue
		}
		if e.plan.HasPeer(o.member.Key) || o.plan.HasPeer(e.member.Key) && f.now >= o.unlistedAt {
			out = append(out, o)
		}
	}
	return out
}

func (f *fleetSim) pulse(e *simEntry) {
	update := e.limiter.PeerUpdate(f.clock())
	update.Sender = e.member.Key
	for _, o := range f.groupOf(e) {
		f.send(e, simMessage{to: o, from: e.member.Key, update: update, group: -1})
	}
	for _, l := range e.plan.Links {
		if !slices.Contains(l.Relays, e.member.Key) || !f.isRelay(e, l) || f.now-e.digestAt[l.Group] < simDigest {
			continue
		}
		e.digestAt[l.Group] = f.now
		update := e.limiter.GroupUpdate(l.Group, MaxReports, f.clock())
		update.Sender = e.member.Key
		if f.now < f.groupsCutUntil {
			continue
		}
		to := l.RemoteRelays
		for _, key := range to[:2] {
			if at, ok := e.remote[key]; ok && f.now-at <= simSilence {
				to = to[:2]
				break
			}
		}
		for _, key := range to {
			if o := f.entry(key); o != nil {
				f.send(e, simMessage{to: o, from: e.member.Key, update: update, group: e.plan.Group, groups: e.plan.GroupCount})
			}
		}
	}
}

func (f *fleetSim) receive(m simMessage) {
	e := m.to
	if !e.alive(f.now) {
		return
	}
	if m.group < 0 {
		e.heard[m.from] = f.now
		e.limiter.ApplyPeerUpdate(m.update, f.clock())
		return
	}
	if m.groups != e.plan.GroupCount || m.group == e.plan.Group {
		return
	}
	e.remote[m.from] = f.now
	e.limiter.ApplyGroupUpdate(m.group, m.update, f.clock())
	if m.forwarded {
		return
	}
	for _, l := range e.plan.Links {
		if l.Group == m.group && slices.Contains(l.Relays, e.member.Key) && f.isRelay(e, l) {
			for _, o := range f.groupOf(e) {
				f.send(e, simMessage{to: o, from: m.from, update: m.update, group: m.group, groups: m.groups, forwarded: true})
			}
		}
	}
}

func (f *fleetSim) request(c *simCustomer) {
	cost := math.Round(min(4*meanRequest, meanRequest*math.Exp(f.rand.NormFloat64()*0.7-0.245)))
	var candidates []*simEntry
	for _, e := range f.entries {
		if e.alive(f.now) && f.now < e.noticedAt && f.now-e.startedAt > time.Second {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return
	}
	e := candidates[f.rand.IntN(len(candidates))]
	c.exact = min(c.limit.Burst, c.exact+c.limit.Rate*(f.now-c.exactAt).Seconds())
	c.exactAt = f.now
	fits := c.exact >= cost
	if fits {
		c.exact -= cost
		c.asked += cost
	}
	if _, _, ok := e.limiter.Admit(c.name, Size{Tokens: int(cost), Known: true}, f.clock()); ok {
		c.admissions = append(c.admissions, admission{f.now, cost})
		c.level = min(c.limit.Burst, c.level+c.limit.Rate*(f.now-c.levelAt).Seconds()) - cost
		c.levelAt = f.now
	} else if fits {
		c.refused += cost
	}
}

// bound returns the amount that may be admitted in any window: rate x window + burst, plus a
// tenth, plus the slack.
func (f *fleetSim) bound(c *simCustomer) float64 {
	return c.limit.Rate*f.tolerance.Window.Seconds() + c.limit.Burst + f.tolerance.margin(c.limit)
}

// most returns the most that a customer had admitted in any window.
func (f *fleetSim) most(c *simCustomer) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, e := range c.admissions {
		sum += e.cost
		for ; c.admissions[first].at < e.at-f.tolerance.Window; first++ {
			sum -= c.admissions[first].cost
		}
		most = max(most, sum)
	}
	return most
}

// check compares all customers with their limits. Those over their limits, the first ones, get at
// least minServed of them, and the entries may overestimate what is left of these by maxLevelError
// of the margin. The others may lose maxLoss of what fits.
func (f *fleetSim) check(t *testing.T, hot int, maxLevelError, minServed, maxLoss float64) {
	t.Helper()
	for i, c := range f.customers {
		most, bound, lost := f.most(c), f.bound(c), c.refused/c.asked
		t.Logf("%s: %.0f in a window of %.0f allowed, %.4f of the conforming amount refused", c.name, most, bound, lost)
		if most > bound {
			t.Errorf("%s: %.0f admitted in 8 s, %.0f are allowed", c.name, most, bound)
		}
		if i < hot {
			slices.Sort(c.levelErrors)
			excess := c.levelErrors[len(c.levelErrors)*9/10]
			t.Logf("%s: in nine of ten cases the entries assume at most %.0f more than is left", c.name, excess)
			if excess > maxLevelError*f.tolerance.margin(c.limit) {
				t.Errorf("%s: in one of ten cases the entries assume %.0f more than is left", c.name, excess)
			}
			served, seconds := 0.0, (f.now - f.settledAt).Seconds()
			for _, a := range c.admissions {
				if a.at >= f.settledAt {
					served += a.cost
				}
			}
			part := served / (c.limit.Rate * seconds)
			t.Logf("%s: %.2f of its limit was served", c.name, part)
			if part < minServed {
				t.Errorf("%s: %.2f of its limit was served, as if usage was counted twice", c.name, part)
			}
		}
		if i >= hot && lost > maxLoss {
			t.Errorf("%s: %.3f of what fits its limit was refused", c.name, lost)
		}
	}
}

// isolationLoss is the part of the conforming amount that a customer may lose while a third of
// the entries or each group is isolated for seconds: parts below half of the entries admit only
// what is saved up, and nothing once their leases have expired.
const isolationLoss = 0.08

const hotFactor = 5.5 * 0.55

// simSeeds are the seeds by number of entries; a run with 103 takes as long as ten with 31.
var simSeeds = map[int][]uint64{31: {0, 1, 2}, 103: {2}}

// forSizes runs a test at several sizes and seeds.
func forSizes(t *testing.T, run func(t *testing.T, n int, seed uint64)) {
	for n, seeds := range simSeeds {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%d entries, seed %d", n, seed), func(t *testing.T) {
				t.Parallel()
				run(t, n, seed)
			})
		}
	}
}

// Guards against usage that is lost when relays change: the first totals of a new relay only set
// a baseline. Entries, the first relays among them, are stopped one after another every 2 s and
// others are added while customers have several times their usual load.
func TestLimitsHoldWhileRelaysChange(t *testing.T) {
	forSizes(t, func(t *testing.T, n int, seed uint64) {
		f := newFleetSim(n, 4, seed)
		f.run(6200 * time.Millisecond)
		for _, c := range f.customers[:3] {
			c.demand = hotFactor
		}
		for i := range 10 {
			f.start(100 * time.Millisecond)
			f.run(time.Second)
			if e := f.firstRelay(i % 2); e != nil {
				f.stop(e)
			}
			f.run(time.Second)
		}
		t.Logf("%d changes of relays", f.relayChanges)
		f.check(t, 3, 0.25, 0.8, 0.02)
	})
}

// Guards against usage that is lost when relays crash.
func TestLimitsHoldWhileRelaysCrash(t *testing.T) {
	forSizes(t, func(t *testing.T, n int, seed uint64) {
		f := newFleetSim(n, 2, seed)
		f.run(6200 * time.Millisecond)
		f.customers[0].demand = hotFactor
		for i := range 10 {
			if e := f.firstRelay(i % 2); e != nil {
				f.crash(e)
			}
			f.run(time.Second)
			f.start(100 * time.Millisecond)
			f.run(time.Second)
		}
		f.check(t, 1, 0.25, 0.8, 0.02)
	})
}

// Guards against usage that is ignored after a silence: for 4 s no digest arrives, so each group
// has the whole limit until it detects this. What was admitted until then must be deducted.
func TestLimitsHoldAfterSilenceBetweenGroups(t *testing.T) {
	forSizes(t, func(t *testing.T, n int, seed uint64) {
		f := newFleetSim(n, 2, seed)
		f.run(6 * time.Second)
		f.customers[0].demand = hotFactor
		for range 3 {
			f.run(2 * time.Second)
			f.groupsCutUntil = f.now + 4*time.Second
			f.run(6 * time.Second)
		}
		f.check(t, 1, math.Inf(1), 0.7, isolationLoss)
	})
}

// Guards against two relays that replace each other with each datagram: usage must not be lost,
// nor counted twice.
func TestLimitsHoldWhileTwoRelaysSend(t *testing.T) {
	forSizes(t, func(t *testing.T, n int, seed uint64) {
		f := newFleetSim(n, 2, seed)
		f.bothRelay = true
		f.run(6 * time.Second)
		f.customers[0].demand = hotFactor
		f.run(16 * time.Second)
		f.check(t, 1, 0.25, 0.8, 0.02)
	})
}

// Guards against a third of the entries that is isolated, restarts of others, and the excess that
// both cause together.
func TestLimitsHoldAcrossPartitionsAndRestarts(t *testing.T) {
	forSizes(t, func(t *testing.T, n int, seed uint64) {
		f := newFleetSim(n, 2, seed)
		f.run(5 * time.Second)
		f.customers[0].demand = hotFactor
		f.run(500 * time.Millisecond)
		for _, e := range f.entries[:n/3] {
			e.isolatedUntil = f.now + 3*time.Second
		}
		f.run(5 * time.Second)
		for range 4 {
			f.crash(f.entries[f.rand.IntN(len(f.entries))])
			f.start(2100 * time.Millisecond)
			f.run(2 * time.Second)
		}
		f.check(t, 1, math.Inf(1), 0.7, isolationLoss)
	})
}

// relayGroup is a group of three processes, two of which relay, and a process of another group.
type relayGroup struct {
	relays   [2]*Limiter
	other    *Limiter
	receiver *Limiter
	now      time.Time
	admitted float64
}

func newRelayGroup() *relayGroup {
	g := &relayGroup{now: testStart}
	for _, l := range []**Limiter{&g.relays[0], &g.relays[1], &g.other, &g.receiver} {
		*l = newTestLimiter(1)
		(*l).SetLimits(limits(Limit{Rate: 1e-9, Burst: 1e6, Unit: Tokens}), testStart)
	}
	return g
}

// run has the other process admit 1,000 tokens each 100 ms, which it reports to the relays, and
// the given relays report to the receiver.
func (g *relayGroup) run(steps int, sending ...int) {
	for range steps {
		g.now = g.now.Add(100 * time.Millisecond)
		g.other.Admit("c", tokens(1000), g.now)
		g.admitted += 1000
		update := g.other.PeerUpdate(g.now)
		update.Sender = "other"
		for i, r := range g.relays {
			r.ApplyPeerUpdate(update, g.now)
			r.PeerUpdate(g.now)
			if slices.Contains(sending, i) {
				digest := r.GroupUpdate(0, MaxReports, g.now)
				digest.Sender = fmt.Sprint("relay", i)
				g.receiver.ApplyGroupUpdate(0, digest, g.now)
			}
		}
	}
}

// Guards against usage that is lost or counted twice by a change of relay: the usage between the
// last report of the former relay and the first one of the new relay was lost, and relays that
// sent alternately were counted as often as they changed. A change may lose the usage of 0.2 s and
// count that of 0.8 s twice.
func TestChangeOfRelayLosesNoUsage(t *testing.T) {
	for name, steps := range map[string]func(g *relayGroup){
		"the next relay takes over after a silence": func(g *relayGroup) { g.run(30, 0); g.run(7); g.run(30, 1) },
		"the next relay takes over at once":         func(g *relayGroup) { g.run(30, 0); g.run(30, 1) },
		"relays change every second": func(g *relayGroup) {
			for i := range 40 {
				g.run(4)
				g.run(6, i%2)
			}
		},
		"the former relay returns": func(g *relayGroup) { g.run(30, 0); g.run(7); g.run(100, 1); g.run(7); g.run(30, 0) },
		"both send":                func(g *relayGroup) { g.run(10, 0); g.run(100, 0, 1); g.run(30, 1) },
		"both send from the start": func(g *relayGroup) { g.run(100, 0, 1); g.run(30, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newRelayGroup()
			g.run(1, 0)
			before := g.admitted
			g.receiver.SetLimits(nil, g.now)
			g.receiver.SetLimits(limits(Limit{Rate: 1e-9, Burst: 1e6, Unit: Tokens}), g.now)
			steps(g)
			counted := 1e6 - left(t, g.receiver, g.now)
			if lost := g.admitted - before - counted; lost > 2000 || lost < -8000 {
				t.Errorf("%.0f admitted, %.0f counted", g.admitted-before, counted)
			}
		})
	}
}

// Guards against usage that is ignored because its sender was unreachable: what it admitted before
// this was detected, and what exceeds its own share, came out of the shared limit.
func TestUsageDuringSilenceIsDeducted(t *testing.T) {
	const rate, burst = 1000, 100_000
	for _, test := range []struct {
		name     string
		admitted float64
		// low and high bound the amount that is deducted in the end.
		low, high float64
	}{
		// Its share in the 2.4 s after the detection is half of 2,400.
		{"much more than its share", 20_000, 18_000, 20_000},
		{"about its share", 1500, 250, 600},
		{"nothing", 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newTestLimiter(2)
			l.SetLimits(limits(Limit{Rate: rate, Burst: burst, Unit: Tokens}), testStart)
			id, now := prefix.NameHash("c"), testStart
			report := func(total, added float64) {
				l.ApplyPeerUpdate(UsageUpdate{Sender: "x", Uptime: now.Sub(testStart) + time.Minute, Processes: 1, Reports: []UsageReport{{Customer: id, Total: total, Increase: added}}}, now)
			}
			report(1000, 0)
			// The account is used here, so that nothing of the refill is discarded.
			l.Consume("c", tokens(80_000), now)
			for range 30 {
				now = now.Add(100 * time.Millisecond)
				l.PeerUpdate(now)
			}
			before := left(t, l, now)
			report(1000+test.admitted, test.admitted)
			if got := before - left(t, l, now); got < test.low || got > test.high {
				t.Errorf("%.0f deducted for %.0f admitted, want %.0f to %.0f", got, test.admitted, test.low, test.high)
			}
		})
	}
}
