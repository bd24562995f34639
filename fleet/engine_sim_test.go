package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// engineModel is the engine of one of the deployments in docs/design/scarce-capacity.md: a
// step takes a time for each running request, and longer with a chunk of a prompt, and emits
// an event of each stream after some steps.
type engineModel struct {
	slots, capacity  int
	step, perRunning time.Duration
	tokensPerMs      float64
	chunk            int
	stepsPerEvent    int
	bound            time.Duration
	// durations are the lasting durations of targets, in turn; slowShare is the part of the
	// time in which work takes slowFactor as long, for slowTime each.
	durations  []float64
	slowShare  float64
	slowFactor float64
	slowTime   time.Duration
	// promptObjective and draftObjective are the objectives of long prompts and of drafts,
	// promptRate and draftRate their rates per second and target.
	promptObjective, draftObjective time.Duration
	promptRate, draftRate           float64
	promptEvents, draftEvents       int
	// loadDuration is the time of a load of weights, which decides what counts as long.
	loadDuration time.Duration
}

var (
	engineK = engineModel{slots: 32, capacity: 104014, step: 5950 * time.Microsecond, perRunning: 44500, tokensPerMs: 50.7, chunk: 4096, stepsPerEvent: 5, bound: 500 * time.Millisecond,
		durations: []float64{1, 1, 1.3}, promptObjective: 500 * time.Millisecond, draftObjective: 2 * time.Second, promptRate: 100.0 / 56, draftRate: 191.0 / 56, promptEvents: 10, draftEvents: 58, loadDuration: 570 * time.Millisecond}
	engineA = engineModel{slots: 64, capacity: 95750, step: 4430 * time.Microsecond, perRunning: 19400, tokensPerMs: 38.1, chunk: 1024, stepsPerEvent: 6, bound: 300 * time.Millisecond,
		durations: []float64{0.6, 1, 1.6}, slowShare: 0.15, slowFactor: 2.5, slowTime: 600 * time.Millisecond, promptObjective: 600 * time.Millisecond, draftObjective: 800 * time.Millisecond, promptRate: 91.0 / 51, draftRate: 236.0 / 51, promptEvents: 9, draftEvents: 49, loadDuration: 400 * time.Millisecond}
)

// engineSim is targets and processes in virtual time.
type engineSim struct {
	engineModel
	views   []*Fleet
	engines []*simEngine
	byID    map[string]*simEngine
	random  *rand.Rand
	events  eventQueue
	now     time.Time
	load    float64
	// gap is the bound given to the choice, 0 for a route without one.
	gap time.Duration
	// prompts and drafts are what is measured of each, from measureFrom on.
	prompts, drafts simResult
	measureFrom     time.Time
	sent            func(id string, prompt bool)
}

// simResult counts requests of one kind: sent, late to the first event, with a pause beyond
// the bound.
type simResult struct {
	sent, ended, lateFirst, latePause int
	pauses                            []time.Duration
}

type simEngine struct {
	id       string
	duration float64
	// phase is the offset of its slow times.
	phase   time.Duration
	waiting []*simRun
	running []*simRun
	active  bool
}

type simRun struct {
	by                int
	request           *ActiveRequest
	prompt            bool
	remaining         int
	steps, events     int
	total             int
	sentAt, lastEvent time.Time
	longest           time.Duration
	result            *simResult
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue struct {
	all []simEvent
	seq int
}

func (q *eventQueue) Len() int { return len(q.all) }
func (q *eventQueue) Less(i, j int) bool {
	return q.all[i].at.Before(q.all[j].at) || q.all[i].at.Equal(q.all[j].at) && q.all[i].seq < q.all[j].seq
}
func (q *eventQueue) Swap(i, j int) { q.all[i], q.all[j] = q.all[j], q.all[i] }
func (q *eventQueue) Push(x any)    { q.all = append(q.all, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := q.all[len(q.all)-1]
	q.all = q.all[:len(q.all)-1]
	return last
}

func newEngineSim(m engineModel, processes, targets int, load float64, seed uint64, off policy.Disabled) *engineSim {
	e := &engineSim{engineModel: m, byID: map[string]*simEngine{}, random: rand.New(rand.NewPCG(seed, seed)), now: start, load: load, gap: m.bound, measureFrom: start}
	for i := range targets {
		t := &simEngine{id: fmt.Sprintf("r%02d", i), duration: m.durations[i%len(m.durations)], phase: time.Duration(e.random.Float64() * float64(time.Hour))}
		e.engines = append(e.engines, t)
		e.byID[t.id] = t
	}
	for i := range processes {
		f := New("z")
		// A source of its own, so that choices use none of the numbers that requests are drawn from.
		f.random = rand.New(rand.NewPCG(seed, uint64(i+1))).Float64
		f.Disable(off)
		f.RecordDesired("m", 1, start.Add(-time.Hour), false)
		for _, t := range e.engines {
			f.Put(Target{ID: t.id, Service: "lm", Address: t.id + ":1", Zone: "z", Slots: m.slots, Weights: map[string]int64{"m": 1}})
		}
		f.RecordWeightLoad("lm", m.loadDuration)
		e.views = append(e.views, f)
		e.after(time.Duration(i)*100*time.Millisecond/time.Duration(processes), func() { e.exchange(i) })
	}
	e.arrive(true)
	e.arrive(false)
	return e
}

func (e *engineSim) after(d time.Duration, do func()) {
	e.events.seq++
	heap.Push(&e.events, simEvent{at: e.now.Add(d), seq: e.events.seq, do: do})
}

func (e *engineSim) run(lasts time.Duration) {
	until := e.now.Add(lasts)
	for e.events.Len() > 0 && !e.events.all[0].at.After(until) {
		next := heap.Pop(&e.events).(simEvent)
		e.now = next.at
		next.do()
	}
	e.now = until
}

// measure starts counting.
func (e *engineSim) measure() {
	e.measureFrom = e.now
}

// exchange sends one process's state to the others, as it is done every 100 ms.
func (e *engineSim) exchange(i int) {
	f := e.views[i]
	load, words, found := f.LocalOccupancy(1000), f.EngineReports(e.now), f.TargetUpdates(e.now)
	for j, other := range e.views {
		if j != i {
			other.MergeOccupancy(fmt.Sprint(i), load, e.now)
			other.MergeEngineReports(fmt.Sprint(i), words, e.now)
			other.MergeTargetUpdates(found, e.now)
		}
	}
	e.after(100*time.Millisecond, func() { e.exchange(i) })
}

// arrive sends requests of one kind at random intervals.
func (e *engineSim) arrive(prompt bool) {
	rate := e.draftRate
	if prompt {
		rate = e.promptRate
	}
	rate *= e.load * float64(len(e.engines))
	e.after(time.Duration(e.random.ExpFloat64()/rate*float64(time.Second)), func() {
		e.send(prompt)
		e.arrive(prompt)
	})
}

func (e *engineSim) send(prompt bool) {
	by := e.random.IntN(len(e.views))
	f := e.views[by]
	shared, input, output, events, objective, heads := 198, 826, e.draftEvents*e.stepsPerEvent, e.draftEvents, e.draftObjective, 80
	result := &e.drafts
	if prompt {
		shared, input, output, events, objective, heads = 6300, 9190, e.promptEvents*e.stepsPerEvent, e.promptEvents, e.promptObjective, 5*len(e.engines)
		result = &e.prompts
	}
	head := prefix.Boundary{Hash: uint64(e.random.IntN(heads)+1)<<32 + uint64(shared), Tokens: shared}
	own := prefix.Boundary{Hash: e.random.Uint64(), Tokens: input}
	q := Query{Service: "lm", Model: "m", InputTokens: input, MaxOutputTokens: output, Capacity: e.capacity, Objective: objective, MaxStaleness: time.Hour, CostWeights: query().CostWeights, MaxEventGap: e.gap,
		Chain: func(int64) prefix.Chain {
			return prefix.Chain{Tokens: input, Levels: []prefix.Boundary{head}, Boundaries: []prefix.Boundary{head, own}}
		}}
	c, ok := f.Choose(q, e.now)
	if !ok {
		return
	}
	uncached := input - c.CachedTokens - c.FetchTokens
	load := RequestLoad{UncachedTokens: uncached, PromptTokens: input, MaxOutputTokens: output, Chain: c.Chain, Capacity: e.capacity, Long: c.Long, HeldTokens: EstimateHeldTokens(input, c.CachedTokens, output)}
	r := &simRun{by: by, request: f.Begin(c.Target.Instance(), load, e.now), prompt: prompt, remaining: max(1, uncached), total: events, sentAt: e.now, result: result}
	if e.now.Before(e.measureFrom) {
		r.result = &simResult{}
	}
	r.result.sent++
	if e.sent != nil {
		e.sent(c.Target.ID, prompt)
	}
	t := e.byID[c.Target.ID]
	t.waiting = append(t.waiting, r)
	e.wake(t)
}

func (e *engineSim) slowdown(t *simEngine) float64 {
	if e.slowShare <= 0 {
		return 1
	}
	period := time.Duration(float64(e.slowTime) / e.slowShare)
	if (e.now.Sub(start)+t.phase)%period < e.slowTime {
		return e.slowFactor
	}
	return 1
}

// wake starts a step if the target is idle and has work.
func (e *engineSim) wake(t *simEngine) {
	for len(t.waiting) > 0 && len(t.running) < e.slots {
		t.running = append(t.running, t.waiting[0])
		t.waiting = t.waiting[1:]
	}
	if t.active || len(t.running) == 0 {
		return
	}
	t.active = true
	took := e.step + time.Duration(len(t.running))*e.perRunning
	var decoding []*simRun
	var prefilling *simRun
	for _, r := range t.running {
		if r.remaining == 0 {
			decoding = append(decoding, r)
		} else if prefilling == nil {
			prefilling = r
		}
	}
	chunk := 0
	if prefilling != nil {
		chunk = min(prefilling.remaining, e.chunk)
		took += time.Duration(float64(chunk) / e.tokensPerMs * float64(time.Millisecond))
	}
	took = time.Duration(float64(took) * t.duration * e.slowdown(t))
	e.after(took, func() {
		t.active = false
		for _, r := range decoding {
			if r.steps++; r.steps%e.stepsPerEvent == 0 {
				e.event(t, r)
			}
		}
		if prefilling != nil {
			if prefilling.remaining -= chunk; prefilling.remaining == 0 {
				e.event(t, prefilling)
			}
		}
		rest := t.running[:0]
		for _, r := range t.running {
			if r.events < r.total {
				rest = append(rest, r)
			}
		}
		t.running = rest
		e.wake(t)
	})
}

// event delivers an event of a stream.
func (e *engineSim) event(t *simEngine, r *simRun) {
	f := e.views[r.by]
	if r.events++; r.events == 1 {
		objective := e.draftObjective
		if r.prompt {
			objective = e.promptObjective
		}
		if e.now.Sub(r.sentAt) > objective {
			r.result.lateFirst++
		}
		load := Load{Running: len(t.running), Waiting: len(t.waiting), Slots: e.slots}
		if e.slowShare > 0 {
			load.Slowdown = e.slowdown(t)
		}
		f.RecordLoad(Instance{ID: t.id}, load, e.now)
	} else {
		r.longest = max(r.longest, e.now.Sub(r.lastEvent))
	}
	r.lastEvent = e.now
	r.request.Event(e.now)
	if r.events == r.total {
		r.request.Complete(e.now)
		r.request.End()
		r.result.ended++
		r.result.pauses = append(r.result.pauses, r.longest)
		if r.longest > e.bound {
			r.result.latePause++
		}
	}
}
