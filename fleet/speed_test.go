package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// Guards against a slowdown that counts for longer than it lasts, and against a late report
// that replaces a newer one.
func TestSlowdownFades(t *testing.T) {
	f := withTargets(New("z"), target("a", 1))
	at := Instance{ID: "a"}
	f.RecordLoad(at, Load{Slots: 8, Slowdown: 2.5}, start)
	for _, test := range []struct {
		after time.Duration
		want  float64
	}{{0, 2.5}, {299 * time.Millisecond, 2.5}, {450 * time.Millisecond, 1.75}, {600 * time.Millisecond, 1}, {time.Hour, 1}} {
		if got := f.Pace(at, start.Add(test.after)).Slowdown; math.Abs(got-test.want) > 0.01 {
			t.Errorf("after %v: %.2f, want %.2f", test.after, got, test.want)
		}
	}
	now := start.Add(200 * time.Millisecond)
	f.RecordLoad(at, Load{Slots: 8, Slowdown: 1}, now)
	f.MergeTargetUpdates([]TargetUpdate{{Target: at, Slowdown: 2.5, SlowdownAge: 150 * time.Millisecond}}, now)
	if got := f.Pace(at, now).Slowdown; got != 1 {
		t.Errorf("an older report of another process replaced a newer one: %.2f", got)
	}
	f.RecordLoad(at, Load{Slots: 8}, now)
	if got := f.Pace(at, now).Slowdown; got != 1 {
		t.Errorf("a load without a slowdown changed it to %.2f", got)
	}
}

// Guards against a slowdown that processes pass back and forth, and against one whose end
// only the process that observed it knows.
func TestSlowdownDoesNotEcho(t *testing.T) {
	a, b := withTargets(New("z"), target("r", 1)), withTargets(New("z"), target("r", 1))
	at := Instance{ID: "r"}
	const delay = 30 * time.Millisecond
	a.RecordLoad(at, Load{Slots: 8, Slowdown: 2.5}, start)
	exchange := func(now time.Time) {
		b.MergeTargetUpdates(a.TargetUpdates(now), now.Add(delay))
		a.MergeTargetUpdates(b.TargetUpdates(now.Add(delay)), now.Add(2*delay))
	}
	exchange(start.Add(50 * time.Millisecond))
	if got := b.Pace(at, start.Add(100*time.Millisecond)).Slowdown; got < 2.4 {
		t.Errorf("the other process assumes %.2f, want 2.5", got)
	}
	now := start.Add(100 * time.Millisecond)
	a.RecordLoad(at, Load{Slots: 8, Slowdown: 1}, now)
	exchange(now)
	if got := b.Pace(at, now.Add(delay)).Slowdown; got != 1 {
		t.Errorf("the other process still assumes %.2f after the slowdown ended", got)
	}
	a.RecordLoad(at, Load{Slots: 8, Slowdown: 2.5}, now)
	for now.Before(start.Add(time.Second)) {
		exchange(now)
		now = now.Add(50 * time.Millisecond)
	}
	for name, f := range map[string]*Fleet{"who observed it": a, "who received it": b} {
		if got := f.Pace(at, now).Slowdown; got != 1 {
			t.Errorf("%s assumes %.2f long after the last report", name, got)
		}
	}
	if all := b.TargetUpdates(now); len(all) != 0 {
		t.Errorf("received values are passed on: %+v", all)
	}
}

// Guards against relayed updates that seem as recent as when they were first received.
func TestRelayedUpdatesAge(t *testing.T) {
	f := withTargets(New("z"), target("r", 1))
	all := []TargetUpdate{{Target: Instance{ID: "r"}, Slowdown: 2.5, SlowdownAge: 100 * time.Millisecond}}
	f.MergeTargetUpdates(all, start)
	for range 2 {
		AgeUpdates(all, start.Add(150*time.Millisecond))
	}
	if all[0].SlowdownAge != 250*time.Millisecond {
		t.Errorf("age %v, want 250 ms", all[0].SlowdownAge)
	}
}

// Guards against a new instance that is taken for as slow as the former one, which may have
// run on another machine.
func TestPaceEndsWithTheInstance(t *testing.T) {
	f := withTargets(New("z"), Target{ID: "r", Born: 1, Service: "lm", Address: "r:1", Slots: 8}, target("b", 1))
	f.MergeTargetUpdates([]TargetUpdate{{Target: Instance{ID: "r", Born: 1}, Speed: 0.5, SpeedSamples: 20}}, start)
	f.RecordLoad(Instance{ID: "r", Born: 1}, Load{Slots: 8, Slowdown: 2.5}, start)
	if p := f.Pace(Instance{ID: "r"}, start); p.Duration < 1.1 || p.Slowdown != 2.5 {
		t.Errorf("pace %+v of the first instance", p)
	}
	f.Observe(Instance{ID: "r", Born: 2}, time.Time{})
	now := start.Add(paceTTL)
	if p := f.Pace(Instance{ID: "r"}, now); p != usualPace {
		t.Errorf("pace %+v of the next instance", p)
	}
}

// Guards against work that is kept off a target for much longer than the target is slow.
func TestStretchEndsWithTheSlowdown(t *testing.T) {
	for _, test := range []struct {
		pace        Pace
		usual, want time.Duration
	}{
		{usualPace, time.Second, time.Second},
		{Pace{Duration: 2, Slowdown: 1}, time.Second, 2 * time.Second},
		{Pace{Duration: 1, Slowdown: 2.5}, 100 * time.Millisecond, 250 * time.Millisecond},
		{Pace{Duration: 1, Slowdown: 2.5}, 2 * time.Second, 2180 * time.Millisecond},
		{Pace{Duration: 1, Slowdown: 100}, time.Second, 1297 * time.Millisecond},
	} {
		if got := test.pace.Stretch(test.usual); got != test.want {
			t.Errorf("%+v: %v takes %v, want %v", test.pace, test.usual, got, test.want)
		}
	}
}

// Guards against a capacity that counts targets to which nothing can be sent, or all as
// equally fast.
func TestCapacity(t *testing.T) {
	f := withTargets(New("z"), target("a", 1), target("b", 1), target("c", 1), target("d", 1))
	now := start
	check := func(want float64) {
		t.Helper()
		if got := f.Capacity("lm", now); math.Abs(got-want) > 0.01 {
			t.Errorf("capacity %.2f, want %.2f", got, want)
		}
		now = now.Add(capacityTTL)
	}
	check(4)
	f.RecordUnreachable(Instance{ID: "a"}, now)
	f.RecordUnreachable(Instance{ID: "a"}, now)
	check(3)
	f.RecordBusy(Instance{ID: "b"}, now.Add(time.Second))
	check(2)
	f.RecordLoad(Instance{ID: "c"}, Load{Slots: 8, Slowdown: 2.5}, now)
	check(1.4)
	if got := f.MeanSpeed("lm", now.Add(-capacityTTL)); math.Abs(got-0.7) > 0.01 {
		t.Errorf("mean speed %.3f of two targets of which one takes 2.5 times as long, want 0.7", got)
	}
	if got := f.MeanSpeed("none", now); got != 1 {
		t.Errorf("mean speed %.3f of a service without targets, want 1", got)
	}
	if got := f.Capacity("none", now); got != 0 {
		t.Errorf("capacity %.2f of a service without targets", got)
	}
}

// prefillSim is targets of different speeds that prefill one prompt after the other, and
// processes that exchange their updates every 100 ms.
type prefillSim struct {
	views []*Fleet
	// durations are the targets' lasting durations; slow are the times at which a target
	// takes slowFactor as long.
	durations map[string]float64
	slow      func(id string, at time.Time) bool
	free      map[string]time.Time
	random    *rand.Rand
	pending   []simPrompt
	// sent counts prompts by target, slowSent those sent to a target while it was slow and
	// slowTotal all that were sent while the same target was slow.
	sent   map[string]int
	firsts []time.Duration
}

type simPrompt struct {
	by        int
	id        string
	began, at time.Time
	active    *ActiveRequest
}

const (
	simSlowFactor = 2.5
	simBase       = 30 * time.Millisecond
	simTokenTime  = 26 * time.Microsecond
)

func newPrefillSim(processes int, durations map[string]float64, off policy.Disabled) *prefillSim {
	p := &prefillSim{durations: durations, free: map[string]time.Time{}, random: rand.New(rand.NewPCG(3, 3)), sent: map[string]int{}, slow: func(string, time.Time) bool { return false }}
	for range processes {
		f := New("z")
		f.Disable(off)
		f.RecordDesired("m", 1, start.Add(-time.Hour), false)
		for id := range durations {
			f.Put(Target{ID: id, Service: "lm", Address: id + ":1", Zone: "z", Slots: 64, Weights: map[string]int64{"m": 1}})
		}
		p.views = append(p.views, f)
	}
	return p
}

func (p *prefillSim) duration(id string, at time.Time) float64 {
	if p.slow(id, at) {
		return simSlowFactor * p.durations[id]
	}
	return p.durations[id]
}

// send sends one prompt of 500 to 9,500 tokens without shared parts.
func (p *prefillSim) send(now time.Time) string {
	by := p.random.IntN(len(p.views))
	f := p.views[by]
	tokens := 500 + p.random.IntN(9000)
	own := prefix.Boundary{Hash: p.random.Uint64(), Tokens: tokens}
	q := Query{Service: "lm", Model: "m", InputTokens: tokens, MaxOutputTokens: 10, Objective: 600 * time.Millisecond, MaxStaleness: time.Hour, CostWeights: query().CostWeights,
		Chain: func(int64) prefix.Chain {
			return prefix.Chain{Tokens: tokens, Levels: []prefix.Boundary{own}, Boundaries: []prefix.Boundary{own}}
		}}
	c, ok := f.Choose(q, now)
	if !ok {
		return ""
	}
	id := c.Target.ID
	begins := now
	if p.free[id].After(now) {
		begins = p.free[id]
	}
	work := time.Duration(tokens) * simTokenTime
	p.free[id] = begins.Add(time.Duration(float64(work) * p.duration(id, now)))
	first := p.free[id].Add(time.Duration(float64(simBase) * p.duration(id, now)))
	active := f.Begin(c.Target.Instance(), RequestLoad{UncachedTokens: tokens, PromptTokens: tokens, MaxOutputTokens: 10, Chain: c.Chain, Capacity: 100000}, now)
	p.pending = append(p.pending, simPrompt{by: by, id: id, began: now, at: first, active: active})
	p.sent[id]++
	return id
}

// run sends rate prompts per second for a while.
func (p *prefillSim) run(from time.Time, lasts time.Duration, rate float64, sent func(id string, at time.Time)) time.Time {
	const step = 5 * time.Millisecond
	now, due := from, 0.0
	for n := 0; now.Before(from.Add(lasts)); n++ {
		var rest []simPrompt
		for _, a := range p.pending {
			if a.at.After(now) {
				rest = append(rest, a)
				continue
			}
			// The response's header carries the slowdown.
			slowdown := 1.0
			if p.slow(a.id, now) {
				slowdown = simSlowFactor
			}
			p.views[a.by].RecordLoad(Instance{ID: a.id}, Load{Slots: 64, Slowdown: slowdown}, now)
			a.active.FirstEvent(a.at)
			a.active.End()
			p.firsts = append(p.firsts, a.at.Sub(a.began))
		}
		p.pending = rest
		for due += rate * step.Seconds(); due >= 1; due-- {
			if id := p.send(now); sent != nil && id != "" {
				sent(id, now)
			}
		}
		if n%20 == 0 {
			for i, f := range p.views {
				load, words, found := f.LocalOccupancy(44), f.EngineReports(now), f.TargetUpdates(now)
				for j, other := range p.views {
					if j != i {
						other.MergeOccupancy(fmt.Sprint(i), load, now)
						other.MergeEngineReports(fmt.Sprint(i), words, now)
						other.MergeTargetUpdates(found, now)
					}
				}
			}
		}
		now = now.Add(step)
	}
	return now
}

// unevenTargets returns targets whose work takes as long as on those of the second
// deployment (docs/design/scarce-capacity.md).
func unevenTargets(n int) map[string]float64 {
	durations := map[string]float64{}
	for i := range n {
		durations[fmt.Sprintf("r%d", i)] = []float64{0.6, 1, 1.6}[i%3]
	}
	return durations
}

// Guards against targets that are assumed to be equally fast. The bounds leave room for queues
// that are unknown when a prompt is sent, which shorten the differences.
func TestLastingSpeedIsLearned(t *testing.T) {
	p := newPrefillSim(4, unevenTargets(9), nil)
	now := p.run(start, 20*time.Second, 30, nil)
	mean := 0.0
	for _, d := range p.durations {
		mean += math.Log(d) / float64(len(p.durations))
	}
	for i, f := range p.views {
		for id, d := range p.durations {
			want := d / math.Exp(mean)
			if got := f.Pace(Instance{ID: id}, now).Duration; got < want/1.3 || got > want*1.3 {
				t.Errorf("process %d takes %s for one whose work takes %.2f as long, want %.2f", i, id, got, want)
			}
		}
	}
	if p.sent["r0"] <= p.sent["r2"] {
		t.Errorf("the faster target got %d prompts, the slower %d", p.sent["r0"], p.sent["r2"])
	}
}

// Guards against figures of the service that follow the speed of the targets that are used
// most, so that times are predicted wrongly at all others: at each target with samples, the
// service's figure times the target's duration must be the true time. At this rate prompts
// don't queue; where they do, the service's figure comes out too short also at equally fast
// targets.
func TestTimesArePredictedAtUnevenTargets(t *testing.T) {
	p := newPrefillSim(4, unevenTargets(9), nil)
	now := p.run(start, 4*time.Minute, 3, nil)
	for i, f := range p.views {
		usual := f.engine("lm").PrefillTime(5000, 5000, now).Seconds()
		known := 0
		for id, d := range p.durations {
			if f.states[id].speed.weight < 2*speedPriorWeight {
				continue
			}
			known++
			got, want := usual*f.Pace(Instance{ID: id}, now).Duration, (5000*simTokenTime).Seconds()*d
			if got < want*0.8 || got > want*1.2 {
				t.Errorf("process %d expects %.3f s for 5,000 tokens at %s, want %.3f s", i, got, id, want)
			}
		}
		if known < 5 {
			t.Errorf("process %d knows the speed of %d targets", i, known)
		}
	}
}

// Guards against requests that are late at slow targets beside faster ones with room.
func TestSpeedsShortenFirstTokens(t *testing.T) {
	late := func(off policy.Disabled) float64 {
		p := newPrefillSim(4, unevenTargets(9), off)
		now := p.run(start, 10*time.Second, 45, nil)
		p.firsts = nil
		p.run(now, 30*time.Second, 45, nil)
		n := 0
		for _, first := range p.firsts {
			if first > 600*time.Millisecond {
				n++
			}
		}
		return float64(n) / float64(len(p.firsts))
	}
	with, without := late(nil), late(policy.Disabled{policy.TargetSpeeds: true})
	t.Logf("%.3f late, %.3f when all targets are taken as equally fast", with, without)
	if with > without*0.7 {
		t.Errorf("%.3f of the prompts are late, %.3f when all targets are taken as equally fast", with, without)
	}
}

// Guards against targets that get as much work while they are slow, or less for longer than
// that: 2.5 times for 0.6 s, 15% of the time.
func TestSlowTargetsGetLessWorkOnlyWhileSlow(t *testing.T) {
	durations := map[string]float64{}
	for i := range 12 {
		durations[fmt.Sprintf("r%d", i)] = 1
	}
	const period, slow = 4 * time.Second, 600 * time.Millisecond
	rates := func(off policy.Disabled) (during, after, late float64) {
		p := newPrefillSim(4, durations, off)
		phase := func(id string, at time.Time) time.Duration {
			var n int
			fmt.Sscanf(id, "r%d", &n)
			return (at.Sub(start) + time.Duration(n)*period/12) % period
		}
		p.slow = func(id string, at time.Time) bool { return phase(id, at) < slow }
		now := p.run(start, 5*time.Second, 60, nil)
		p.firsts = nil
		var counts [4]float64
		p.run(now, 60*time.Second, 60, func(id string, at time.Time) {
			switch at := phase(id, at); {
			case at < slow/3:
				// Nothing can be known before a response arrives.
			case at < slow:
				counts[0]++
			case at < slow+500*time.Millisecond:
				// The reports fade.
			case at < slow+1100*time.Millisecond:
				counts[1]++
			default:
				counts[2]++
			}
		})
		for _, first := range p.firsts {
			if first > 600*time.Millisecond {
				late++
			}
		}
		usual := counts[2] / (period - slow - 1100*time.Millisecond).Seconds()
		return counts[0] / (slow * 2 / 3).Seconds() / usual, counts[1] / 0.6 / usual, late / float64(len(p.firsts))
	}
	during, after, late := rates(nil)
	duringOff, afterOff, lateOff := rates(policy.Disabled{policy.TargetSlowdowns: true})
	t.Logf("slow targets get %.2f of their usual work, %.2f afterwards, %.3f late; without slowdowns %.2f, %.2f, %.3f", during, after, late, duringOff, afterOff, lateOff)
	if during > 0.7*duringOff || after < 0.8 || late > lateOff {
		t.Errorf("slow targets get %.2f of their usual work, %.2f afterwards, %.3f late; without slowdowns %.2f, %.2f, %.3f", during, after, late, duringOff, afterOff, lateOff)
	}
}
