package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"acaciakeel/quota"
)

// limitModel plays a service's requests at many processes before targets of which some
// name limits, in virtual time: choices, answers, and what the processes tell each other.
type limitModel struct {
	rand    *rand.Rand
	now     time.Duration
	hosts   []*limitHost
	targets []string
	// limits are what targets name, in requests a second.
	limits map[string]float64
	// late is how long news takes, pulse how often it is told.
	late, pulse time.Duration
	mail        map[time.Duration][]func()
	// arrived is what came to each target, bound what came from hosts bound by its limit.
	arrived map[string][]time.Duration
	bound   map[string][]time.Duration
}

type limitHost struct {
	fleet *Fleet
	book  *quota.Limiter
	next  time.Duration
	// told is when each target first told it its limit.
	told map[string]time.Duration
}

// bound reports whether a target told the host its limit long enough ago.
func (h *limitHost) bound(id string, now time.Duration) bool {
	at, ok := h.told[id]
	return ok && now-at >= 500*time.Millisecond
}

const limitStep = 5 * time.Millisecond

func newLimitModel(n, targets int, pulse, late time.Duration) *limitModel {
	m := &limitModel{
		rand: rand.New(rand.NewPCG(1, 2)), pulse: pulse, late: late, limits: map[string]float64{},
		mail: map[time.Duration][]func(){}, arrived: map[string][]time.Duration{}, bound: map[string][]time.Duration{},
	}
	for i := range targets {
		m.targets = append(m.targets, fmt.Sprintf("t%d", i))
	}
	for range n {
		h := &limitHost{fleet: New("z1"), book: quota.NewLimiter(LimitTolerance, nil, func() bool { return true }, t0.Add(-time.Minute)), told: map[string]time.Duration{}}
		h.next = time.Duration(m.rand.Int64N(int64(pulse)))
		h.book.SetMembers(n)
		h.fleet.EnforceLimits(h.book, m.rand)
		for _, id := range m.targets {
			h.fleet.Put(Target{ID: id, Born: 1, Service: "desk", Address: id + ":1", Zone: "z1", Slots: 64})
		}
		m.hosts = append(m.hosts, h)
	}
	return m
}

func (m *limitModel) at() time.Time { return t0.Add(m.now) }

// post has something happen after a while.
func (m *limitModel) post(after time.Duration, do func()) {
	at := (m.now + after).Truncate(limitStep) + limitStep
	m.mail[at] = append(m.mail[at], do)
}

// run plays for a while; perSecond is what is asked of the service.
func (m *limitModel) run(length time.Duration, perSecond float64) {
	due := 0.0
	for end := m.now + length; m.now < end; m.now += limitStep {
		for _, do := range m.mail[m.now] {
			do()
		}
		delete(m.mail, m.now)
		for i, h := range m.hosts {
			if m.now >= h.next {
				h.next += m.pulse
				m.tell(i, h)
			}
		}
		for due += perSecond * limitStep.Seconds(); due > 0; due -= m.rand.ExpFloat64() {
			m.request(m.hosts[m.rand.IntN(len(m.hosts))])
		}
	}
}

// tell has the others hear what a process met and sent.
func (m *limitModel) tell(i int, h *limitHost) {
	findings, words := h.fleet.TargetUpdates(m.at()), h.book.PeerUpdate(m.at())
	words.Sender = fmt.Sprint(i)
	for _, to := range m.hosts {
		if to != h {
			m.post(m.late/2+time.Duration(m.rand.Int64N(int64(m.late))), func() {
				to.fleet.MergeTargetUpdates(findings, m.at())
				to.book.ApplyPeerUpdate(words, m.at())
			})
		}
	}
}

// request sends one request, which its target answers after a while.
func (m *limitModel) request(h *limitHost) {
	c, ok := h.fleet.Choose(Query{Service: "desk"}, m.at())
	if !ok {
		h.fleet.RetryAfter(Query{Service: "desk"}, m.at())
		return
	}
	id, sent := c.Target.ID, m.at()
	m.arrived[id] = append(m.arrived[id], m.now)
	if h.bound(id, m.now) {
		m.bound[id] = append(m.bound[id], m.now)
	}
	ticket := h.fleet.Begin(c.Target.Instance(), RequestLoad{}, sent)
	m.post(50*time.Millisecond+time.Duration(m.rand.Int64N(int64(200*time.Millisecond))), func() {
		ticket.End()
		n := Notice{}
		if rate, limited := m.limits[id]; limited {
			n.Limit = Limit{Declared: true, Rate: rate}
			if _, told := h.told[id]; !told {
				h.told[id] = m.now
			}
		}
		h.fleet.Receive(c.Target.Instance(), n, sent, m.at())
	})
}

// most returns the most requests that came to a target in any four seconds from a moment
// on, as a part of what it puts up with.
func (m *limitModel) most(id string, from time.Duration) float64 {
	most, first, all := 0, 0, m.bound[id]
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

// Guards against targets that get more than they put up with, or less than they take.
func TestProcessesKeepTargetsLimits(t *testing.T) {
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
			most = max(most, m.most(id, from))
			got += len(m.arrived[id]) - before[id]
		}
		used := float64(got) / (float64(tenths*limited) / 10 * length.Seconds())
		if most > 1 || limited == targets && (used < 0.8 || used > 1+LimitTolerance.Overrun) {
			t.Errorf("%s: most %.2f of what is put up with, used %.2f of the limits", d.CmdArgs, most, used)
		}
		// Which process is asked first is left to chance, so that figures vary a little.
		t.Logf("%s: most %.2f of what is put up with, used %.2f of the limits", d.CmdArgs, most, used)
		return "kept\n"
	})
}
