package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"acaciakeel/quota"
)

// limitModel simulates, in virtual time, a service's requests at many processes before
// targets of which some declare limits: choices, responses, and the processes' updates.
type limitModel struct {
	rand      *rand.Rand
	now       time.Duration
	processes []*limitProcess
	targets   []string
	// limits are the targets' limits, in requests per second.
	limits map[string]float64
	// delay is the mean delay of updates, interval how often they are sent.
	delay, interval time.Duration
	scheduled       map[time.Duration][]func()
	// arrived is when requests came to each target, informed when those came from
	// processes that know its limit.
	arrived  map[string][]time.Duration
	informed map[string][]time.Duration
}

type limitProcess struct {
	fleet   *Fleet
	limiter *quota.Limiter
	next    time.Duration
	// declaredAt is when each target first declared its limit to the process.
	declaredAt map[string]time.Duration
}

// informed reports whether a target declared its limit to the process long enough ago.
func (h *limitProcess) informed(id string, now time.Duration) bool {
	at, ok := h.declaredAt[id]
	return ok && now-at >= 500*time.Millisecond
}

const limitStep = 5 * time.Millisecond

func newLimitModel(n, targets int, interval, delay time.Duration) *limitModel {
	m := &limitModel{
		rand: rand.New(rand.NewPCG(1, 2)), interval: interval, delay: delay, limits: map[string]float64{},
		scheduled: map[time.Duration][]func(){}, arrived: map[string][]time.Duration{}, informed: map[string][]time.Duration{},
	}
	for i := range targets {
		m.targets = append(m.targets, fmt.Sprintf("t%d", i))
	}
	for range n {
		h := &limitProcess{fleet: New("z1"), limiter: quota.NewLimiter(LimitTolerance, nil, func() bool { return true }, t0.Add(-time.Minute)), declaredAt: map[string]time.Duration{}}
		h.next = time.Duration(m.rand.Int64N(int64(interval)))
		h.limiter.SetMembers(n)
		h.fleet.EnforceLimits(h.limiter, m.rand)
		for _, id := range m.targets {
			h.fleet.Put(Target{ID: id, Born: 1, Service: "desk", Address: id + ":1", Zone: "z1", Slots: 64})
		}
		m.processes = append(m.processes, h)
	}
	return m
}

func (m *limitModel) at() time.Time { return t0.Add(m.now) }

// schedule calls a function after a while.
func (m *limitModel) schedule(after time.Duration, do func()) {
	at := (m.now + after).Truncate(limitStep) + limitStep
	m.scheduled[at] = append(m.scheduled[at], do)
}

// run simulates a while with perSecond requests per second of the service.
func (m *limitModel) run(length time.Duration, perSecond float64) {
	due := 0.0
	for end := m.now + length; m.now < end; m.now += limitStep {
		for _, do := range m.scheduled[m.now] {
			do()
		}
		delete(m.scheduled, m.now)
		for i, h := range m.processes {
			if m.now >= h.next {
				h.next += m.interval
				m.sendUpdates(i, h)
			}
		}
		for due += perSecond * limitStep.Seconds(); due > 0; due -= m.rand.ExpFloat64() {
			m.request(m.processes[m.rand.IntN(len(m.processes))])
		}
	}
}

// sendUpdates sends a process's updates to the others.
func (m *limitModel) sendUpdates(i int, h *limitProcess) {
	updates, usage := h.fleet.TargetUpdates(m.at()), h.limiter.PeerUpdate(m.at())
	usage.Sender = fmt.Sprint(i)
	for _, to := range m.processes {
		if to != h {
			m.schedule(m.delay/2+time.Duration(m.rand.Int64N(int64(m.delay))), func() {
				to.fleet.MergeTargetUpdates(updates, m.at())
				to.limiter.ApplyPeerUpdate(usage, m.at())
			})
		}
	}
}

// request sends one request, which its target answers after a while.
func (m *limitModel) request(h *limitProcess) {
	c, ok := h.fleet.Choose(Query{Service: "desk"}, m.at())
	if !ok {
		h.fleet.RetryAfter(Query{Service: "desk"}, m.at())
		return
	}
	id, sent := c.Target.ID, m.at()
	m.arrived[id] = append(m.arrived[id], m.now)
	if h.informed(id, m.now) {
		m.informed[id] = append(m.informed[id], m.now)
	}
	request := h.fleet.Begin(c.Target.Instance(), RequestLoad{}, sent)
	m.schedule(50*time.Millisecond+time.Duration(m.rand.Int64N(int64(200*time.Millisecond))), func() {
		request.End()
		n := Notice{}
		if rate, limited := m.limits[id]; limited {
			n.Limit = Limit{Declared: true, Rate: rate}
			if _, told := h.declaredAt[id]; !told {
				h.declaredAt[id] = m.now
			}
		}
		h.fleet.Receive(c.Target.Instance(), n, sent, m.at())
	})
}

// worstWindow returns the most requests that came to a target in any four seconds from a
// moment on, as a fraction of what it tolerates.
func (m *limitModel) worstWindow(id string, from time.Duration) float64 {
	most, first, all := 0, 0, m.informed[id]
	for i, at := range all {
		for at-all[first] > LimitTolerance.Window {
			first++
		}
		if at >= from {
			most = max(most, i-first+1)
		}
	}
	return float64(most) / (1.5*m.limits[id]*LimitTolerance.Window.Seconds() + 5)
}

// Guards against targets that get more requests than they tolerate, or fewer than they
// take.
func TestProcessesKeepTargetLimits(t *testing.T) {
	const quiet, settles, length = 2 * time.Second, 3 * time.Second, 15 * time.Second
	datadriven.RunTest(t, "testdata/limits", func(t *testing.T, d *datadriven.TestData) string {
		n, targets, limited, tenths, asked, pulse, late := 3, 18, 2, 10, 100, 50, 10
		for name, value := range map[string]*int{
			"processes": &n, "targets": &targets, "limited": &limited, "tenths": &tenths, "asked": &asked, "pulse": &pulse, "late": &late,
		} {
			d.MaybeScanArgs(t, name, value)
		}
		m := newLimitModel(n, targets, time.Duration(pulse)*time.Millisecond, time.Duration(late)*time.Millisecond)
		m.run(quiet, float64(asked))
		for _, id := range m.targets[:limited] {
			m.limits[id] = float64(tenths) / 10
		}
		m.run(settles, float64(asked))
		before := map[string]int{}
		for id := range m.limits {
			before[id] = len(m.arrived[id])
		}
		from := m.now
		m.run(length, float64(asked))
		most, got := 0.0, 0
		for id := range m.limits {
			most = max(most, m.worstWindow(id, from))
			got += len(m.arrived[id]) - before[id]
		}
		used := float64(got) / (float64(tenths*limited) / 10 * length.Seconds())
		if most > 1 || limited == targets && (used < 0.8 || used > 1+LimitTolerance.Overrun) {
			t.Errorf("%s: at most %.2f of what is tolerated, used %.2f of the limits", d.CmdArgs, most, used)
		}
		// Which process asks first is random, so that the figures vary a little.
		t.Logf("%s: at most %.2f of what is tolerated, used %.2f of the limits", d.CmdArgs, most, used)
		return "kept\n"
	})
}
