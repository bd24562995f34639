package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// Entries are replaced a hundred times a day, and each start has another name.
// What the dead ones said must neither count as load nor pile up.
func TestDeadProcessesAreForgotten(t *testing.T) {
	f := named(New("z"), runner("a", 1))
	now := start
	for i := range 50 {
		f.MergeOccupancy(fmt.Sprintf("entry/%d", i), []Occupancy{{Target: Instance{ID: "a"}, Inflight: 5, Long: 5, PrefillTokens: 9000}}, now)
		now = now.Add(time.Second)
	}
	if n := len(f.states["a"].others); n > 2 {
		t.Errorf("the words of %d processes are kept", n)
	}
	if load := f.states["a"].sum(now); load.Inflight > 5 {
		t.Errorf("load %+v of processes that are gone", load)
	}
}

// Twenty-four entries hear of each other eight times a second, and eighty long
// prompts come in one. Each compared all runners and sent to the same few that
// looked idle, where prompts then waited for each other. With less unseen, more
// runners are compared; without news of anybody, all.
func TestFewAreComparedWhereMuchIsUnseen(t *testing.T) {
	compared := func(every time.Duration, heavies int) int {
		f := nineRunners()
		now := start
		for i := range 20 * heavies {
			f.Choose(heavy(i), now)
			if i%4 == 0 {
				f.MergeOccupancy("other", nil, start.Add(time.Duration(i/4)*every))
			}
			now = now.Add(time.Second / time.Duration(heavies))
		}
		return f.compared(heavy(0), 44, now)
	}
	if n := compared(120*time.Millisecond, 80); n < askedLeast || n > 12 {
		t.Errorf("%d of 44 runners are compared with ten decisions unseen", n)
	}
	if n := compared(50*time.Millisecond, 10); n != askedMost {
		t.Errorf("%d of 44 runners are compared with half a decision unseen", n)
	}
	if n := nineRunners().compared(heavy(0), 44, start); n != askedMost {
		t.Errorf("%d of 44 runners are compared by a process alone", n)
	}
}

// pool is runners of which each holds so many tokens: a run waits, in order, until there
// is memory for it.
type pool struct {
	fleet   *Fleet
	random  *rand.Rand
	held    map[string]int
	waiting map[string][]*poolRun
	ends    map[int][]*poolRun
	runs    int
	waited  int
}

type poolRun struct {
	id     string
	tokens int
	// steps is for how long it holds its memory.
	steps  int
	came   int
	ticket *ActiveRequest
}

const (
	poolRunners = 10
	poolMemory  = 72_000
	poolStep    = 10 * time.Millisecond
	// poolPatience is after how many steps a run counts as one that waited.
	poolPatience = 10
)

func newPool(off policy.Disabled) *pool {
	p := &pool{fleet: New("z"), random: rand.New(rand.NewPCG(5, 5)), held: map[string]int{}, waiting: map[string][]*poolRun{}, ends: map[int][]*poolRun{}}
	p.fleet.Disable(off)
	p.fleet.RecordDesired("m", 1, start.Add(-time.Hour), false)
	for i := range poolRunners {
		id := fmt.Sprintf("r%d", i)
		p.fleet.Put(Target{ID: id, Service: "lm", Address: id + ":1", Zone: "z", Slots: 48, Weights: map[string]int64{"m": 1}})
	}
	p.fleet.RecordWeightLoad("lm", 420*time.Millisecond)
	return p
}

func (p *pool) at(step int) time.Time { return start.Add(time.Duration(step) * poolStep) }

// send brings one request, of a head that as many as heads says share.
func (p *pool) send(step, shared, input, output, heads, steps int) {
	head := prefix.Boundary{Hash: uint64(p.random.IntN(heads))<<32 + uint64(shared), Tokens: shared}
	own := prefix.Boundary{Hash: p.random.Uint64(), Tokens: input}
	q := Query{
		Service: "lm", Model: "m", InputTokens: input, MaxOutputTokens: output, Capacity: poolMemory, Objective: 400 * time.Millisecond, MaxStaleness: time.Hour, CostWeights: query().CostWeights,
		Chain: func(int64) prefix.Chain {
			return prefix.Chain{Tokens: input, Levels: []prefix.Boundary{head}, Boundaries: []prefix.Boundary{head, own}}
		},
	}
	c, ok := p.fleet.Choose(q, p.at(step))
	if !ok {
		return
	}
	stay := RequestLoad{UncachedTokens: input - c.CachedTokens, PromptTokens: input, MaxOutputTokens: output, Chain: c.Chain, Capacity: poolMemory, Long: c.Long, HeldTokens: EstimateHeldTokens(input, c.CachedTokens, output)}
	id := c.Target.ID
	r := &poolRun{id: id, tokens: input + output, steps: steps, came: step, ticket: p.fleet.Begin(c.Target.Instance(), stay, p.at(step))}
	p.runs++
	p.waiting[id] = append(p.waiting[id], r)
	p.admit(id, step)
}

func (p *pool) admit(id string, step int) {
	for len(p.waiting[id]) > 0 && p.held[id]+p.waiting[id][0].tokens <= poolMemory {
		r := p.waiting[id][0]
		p.waiting[id] = p.waiting[id][1:]
		p.held[id] += r.tokens
		if step-r.came > poolPatience {
			p.waited++
		}
		r.ticket.FirstEvent(p.at(step + 1))
		p.ends[step+r.steps] = append(p.ends[step+r.steps], r)
	}
}

func (p *pool) end(step int) {
	for _, r := range p.ends[step] {
		p.held[r.id] -= r.tokens
		r.ticket.Complete(p.at(step))
		r.ticket.End()
		p.admit(r.id, step)
	}
	delete(p.ends, step)
}

// Guards against runs that wait for memory while other targets have some.
func TestMemoryOfTargetsIsShared(t *testing.T) {
	waited := func(off policy.Disabled) float64 {
		p := newPool(off)
		for step := range 2000 {
			p.end(step)
			for range 2 {
				if p.random.Float64() < 0.45 {
					p.send(step, 200, 820, 58, 80, 60)
				}
				if p.random.Float64() < 0.7 {
					p.send(step, 6300, 9200, 10, 667, 40)
				}
			}
		}
		return float64(p.waited) / float64(p.runs)
	}
	with, without := waited(nil), waited(policy.Disabled{policy.MemoryBackpressure: true})
	t.Logf("%.3f waited for memory, %.3f by slots alone", with, without)
	if with > without/2 {
		t.Errorf("%.3f of the runs waited for memory, %.3f where it does not count", with, without)
	}
}

// Guards against a target that is taken for full for good, or for free, by odd figures.
func TestMemoryWait(t *testing.T) {
	f := New("z")
	for _, c := range []struct {
		capacity, held, needs int
		waits                 bool
	}{{0, 1 << 40, 9000, false}, {72000, 60000, 9000, false}, {72000, 70000, 9000, true}, {72000, 0, 90000, false}} {
		wait := f.memoryWait(Query{Service: "lm", Capacity: c.capacity}, Occupancy{HeldTokens: c.held}, c.needs, start)
		if (wait > 0) != c.waits || wait > time.Second {
			t.Errorf("%+v: %v", c, wait)
		}
	}
}
