package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// Guards against load reports of ended processes that count or pile up: processes are
// replaced a hundred times a day, and each start has another name.
func TestEndedProcessesAreForgotten(t *testing.T) {
	f := withTargets(New("z"), target("a", 1))
	now := start
	for i := range 50 {
		f.MergeOccupancy(fmt.Sprintf("entry/%d", i), []Occupancy{{Target: Instance{ID: "a"}, Inflight: 5, Long: 5, PrefillTokens: 9000}}, now)
		now = now.Add(time.Second)
	}
	if n := len(f.states["a"].peerLoads); n > 2 {
		t.Errorf("the reports of %d processes are kept", n)
	}
	if load := f.states["a"].totalOccupancy(now); load.Inflight > 5 {
		t.Errorf("load %+v of processes that have ended", load)
	}
}

// Guards against all targets compared by processes that learn of each other's eighty long
// prompts a second 120 ms late: all sent to the same few idle ones, where prompts queued.
func TestFewerTargetsAreComparedWithStaleReports(t *testing.T) {
	compared := func(every time.Duration, heavies int) int {
		f := nineTargets()
		now := start
		for i := range 20 * heavies {
			f.Choose(heavyQuery(i), now)
			if i%4 == 0 {
				f.MergeOccupancy("other", nil, start.Add(time.Duration(i/4)*every))
			}
			now = now.Add(time.Second / time.Duration(heavies))
		}
		return f.comparedCount(heavyQuery(0), 44, now)
	}
	if n := compared(120*time.Millisecond, 80); n < minCompared || n > 12 {
		t.Errorf("%d of 44 targets are compared with ten decisions unknown", n)
	}
	if n := compared(50*time.Millisecond, 10); n != maxCompared {
		t.Errorf("%d of 44 targets are compared with half a decision unknown", n)
	}
	if n := nineTargets().comparedCount(heavyQuery(0), 44, start); n != maxCompared {
		t.Errorf("%d of 44 targets are compared by a single process", n)
	}
}

// pool simulates targets with so many tokens of memory each: a run waits, in order, until
// there is memory for it.
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
	steps   int
	came    int
	request *ActiveRequest
}

const (
	poolTargets = 10
	poolMemory  = 72_000
	poolStep    = 10 * time.Millisecond
	// maxPoolWait is after how many steps a run counts as one that waited.
	maxPoolWait = 10
)

func newPool(off policy.Disabled) *pool {
	p := &pool{fleet: New("z"), random: rand.New(rand.NewPCG(5, 5)), held: map[string]int{}, waiting: map[string][]*poolRun{}, ends: map[int][]*poolRun{}}
	p.fleet.Disable(off)
	p.fleet.RecordDesired("m", 1, start.Add(-time.Hour), false)
	for i := range poolTargets {
		id := fmt.Sprintf("r%d", i)
		p.fleet.Put(Target{ID: id, Service: "lm", Address: id + ":1", Zone: "z", Slots: 48, Weights: map[string]int64{"m": 1}})
	}
	p.fleet.RecordWeightLoad("lm", 420*time.Millisecond)
	return p
}

func (p *pool) at(step int) time.Time { return start.Add(time.Duration(step) * poolStep) }

// send sends one request with one of heads shared heads.
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
	load := RequestLoad{UncachedTokens: input - c.CachedTokens, PromptTokens: input, MaxOutputTokens: output, Chain: c.Chain, Capacity: poolMemory, Long: c.Long, HeldTokens: EstimateHeldTokens(input, c.CachedTokens, output)}
	id := c.Target.ID
	r := &poolRun{id: id, tokens: input + output, steps: steps, came: step, request: p.fleet.Begin(c.Target.Instance(), load, p.at(step))}
	p.runs++
	p.waiting[id] = append(p.waiting[id], r)
	p.admit(id, step)
}

func (p *pool) admit(id string, step int) {
	for len(p.waiting[id]) > 0 && p.held[id]+p.waiting[id][0].tokens <= poolMemory {
		r := p.waiting[id][0]
		p.waiting[id] = p.waiting[id][1:]
		p.held[id] += r.tokens
		if step-r.came > maxPoolWait {
			p.waited++
		}
		r.request.FirstEvent(p.at(step + 1))
		p.ends[step+r.steps] = append(p.ends[step+r.steps], r)
	}
}

func (p *pool) end(step int) {
	for _, r := range p.ends[step] {
		p.held[r.id] -= r.tokens
		r.request.Complete(p.at(step))
		r.request.End()
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
	t.Logf("%.3f waited for memory, %.3f when only slots count", with, without)
	if with > without/2 {
		t.Errorf("%.3f of the runs waited for memory, %.3f when only slots count", with, without)
	}
}

// Guards against odd figures that make a target count as full forever, or as free.
func TestMemoryWait(t *testing.T) {
	f := New("z")
	for _, c := range []struct {
		capacity, held, needs int
		waits                 bool
	}{{0, 1 << 40, 9000, false}, {72000, 60000, 9000, false}, {72000, 70000, 9000, true}, {72000, 0, 90000, false}} {
		wait := f.memoryWait(Query{Service: "lm", Capacity: c.capacity}, c.held, c.needs, start)
		if (wait > 0) != c.waits || wait > time.Second {
			t.Errorf("%+v: %v", c, wait)
		}
	}
}
