package poison

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciakeel/fleet"
)

// partWorld is a deployment in virtual time: entries with a table each, which tell each other,
// and runners that crash under prompts with a bad part, and now and then for other reasons.
type partWorld struct {
	random  *rand.Rand
	now     time.Time
	queue   eventQueue
	tables  []*Table
	runners []*partRunner
	nextID  int
	// decide is the way that is compared.
	decide func(t *Table, parts []Part, now time.Time) bool

	crashes                   []time.Time
	late, sent, refused, lost int
	bytes                     int
}

type partRunner struct {
	instance fleet.Instance
	down     bool
	runs     map[*partRun]bool
}

type partRun struct {
	table  int
	c      Case
	parts  []Part
	runner *partRunner
	// began is zero before the first event.
	began    time.Time
	survived bool
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (w *partWorld) after(d time.Duration, do func()) {
	heap.Push(&w.queue, event{w.now.Add(d), do})
}

func (w *partWorld) run(end time.Time) {
	for w.queue.Len() > 0 && w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

// every repeats an action at random moments, perSecond on average.
func (w *partWorld) every(perSecond float64, do func()) {
	w.after(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		do()
		w.every(perSecond, do)
	})
}

// Times of the simulated deployment: of a prompt's reading, of a whole answer, from the first
// token to the crash, to the return of a runner, between pulses and of their way.
const (
	readTime    = 100 * time.Millisecond
	answerTime  = 600 * time.Millisecond
	crashTime   = 70 * time.Millisecond
	returnTime  = 5 * time.Second
	pulseTime   = 200 * time.Millisecond
	deliverTime = 150 * time.Millisecond
)

func newPartWorld(seed uint64, entries, runners int, decide func(*Table, []Part, time.Time) bool) *partWorld {
	w := &partWorld{random: rand.New(rand.NewPCG(seed, 0)), now: start, decide: decide}
	for range runners {
		r := &partRunner{runs: map[*partRun]bool{}}
		w.restart(r)
		w.runners = append(w.runners, r)
	}
	for i := range entries {
		t := New(nil)
		w.tables = append(w.tables, t)
		w.after(time.Duration(w.random.Int64N(int64(pulseTime))), func() { w.pulse(i) })
	}
	return w
}

func (w *partWorld) restart(r *partRunner) {
	w.nextID++
	r.instance, r.down = fleet.Instance{ID: fmt.Sprintf("i-%d", w.nextID), Born: int64(w.nextID)}, false
}

func (w *partWorld) pulse(i int) {
	w.tables[i].Sweep(w.now)
	if reports := w.tables[i].NextReports(w.now); len(reports) > 0 {
		for _, r := range reports {
			w.bytes += r.bytes()
		}
		for j := range w.tables {
			if j != i {
				w.after(deliverTime+time.Duration(w.random.Int64N(int64(deliverTime))), func() { w.tables[j].ApplyReports(reports, w.now) })
			}
		}
	}
	w.after(pulseTime, func() { w.pulse(i) })
}

// request sends one request to a random entry, and from there to a random runner.
func (w *partWorld) request(bad bool, ids ...string) {
	w.nextID++
	run := &partRun{table: w.random.IntN(len(w.tables)), c: caseOf(fmt.Sprint("request ", w.nextID)), parts: partsOf(ids...)}
	if !bad {
		w.sent++
	}
	if w.decide(w.tables[run.table], run.parts, w.now) {
		if !bad {
			w.refused++
		}
		return
	}
	if run.runner = w.chooseRunner(); run.runner == nil {
		if !bad {
			w.lost++
		}
		return
	}
	run.runner.runs[run] = true
	if bad && len(w.crashes) >= 5 && w.now.Sub(w.crashes[4]) > 3*time.Second {
		w.late++
	}
	tracked := w.tables[run.table].Track(run.c.Content, run.parts...)
	tracked.SentTo(run.runner.instance)
	w.after(readTime, func() { w.begin(run, bad) })
	w.after(readTime+answerTime, func() {
		if run.runner.runs[run] {
			delete(run.runner.runs, run)
			w.tables[run.table].RecordPartsServed(run.parts, run.runner.instance, w.now)
		}
		tracked.Finish()
	})
}

// chooseRunner returns a random runner that is up, or nil.
func (w *partWorld) chooseRunner() *partRunner {
	for _, i := range w.random.Perm(len(w.runners)) {
		if !w.runners[i].down {
			return w.runners[i]
		}
	}
	return nil
}

func (w *partWorld) begin(run *partRun, bad bool) {
	if !run.runner.runs[run] {
		return
	}
	run.began = w.now
	if bad {
		w.after(crashTime, func() { w.crash(run.runner, run) })
		return
	}
	w.after(SurvivalTime, func() {
		if run.runner.runs[run] {
			run.survived = true
			w.tables[run.table].RecordPartsSurvived(run.parts, w.now)
		}
	})
}

// crash ends a runner; cause is the run that did it, or nil.
func (w *partWorld) crash(r *partRunner, cause *partRun) {
	if r.down || cause != nil && !r.runs[cause] {
		return
	}
	if cause != nil {
		w.crashes = append(w.crashes, w.now)
	}
	r.down = true
	for run := range r.runs {
		if run != cause {
			w.lost++
		}
		var accused []Case
		if !run.survived {
			for _, p := range run.parts {
				a := run.c
				a.Content, a.Part = p.Fingerprint, p.ID
				accused = append(accused, a)
			}
		}
		w.tables[run.table].RecordBrokenResponse(run.c, r.instance, w.now.Add(-readTime), w.now, accused...)
	}
	tables, instance := map[int]bool{}, r.instance
	for run := range r.runs {
		tables[run.table] = true
	}
	r.runs = map[*partRun]bool{}
	for i := range tables {
		w.after(2*time.Millisecond, func() { w.tables[i].RecordCrash(instance, w.now) })
	}
	w.after(returnTime, func() { w.restart(r) })
}

// partPlay is one way at one size.
type partPlay struct {
	entries, runners int
	soundPerSecond   float64
	badPerSecond     float64
}

const partSeconds = 20

func (p partPlay) play(seed uint64, decide func(*Table, []Part, time.Time) bool) *partWorld {
	w := newPartWorld(seed, p.entries, p.runners, decide)
	groups := 20 * p.runners
	w.every(p.soundPerSecond, func() {
		w.request(false, fmt.Sprintf("head%d", w.random.IntN(4)), fmt.Sprintf("group%d", w.random.IntN(groups)))
	})
	// Runners crash for other reasons, too, now and then a rack at once.
	w.every(0.3, func() { w.crash(w.runners[w.random.IntN(p.runners)], nil) })
	w.every(0.1, func() {
		first := w.random.IntN(p.runners)
		for i := range min(6, p.runners/3) {
			w.crash(w.runners[(first+i)%p.runners], nil)
		}
	})
	w.after(3*time.Second, func() {
		// Half of them share one head and one group.
		w.every(p.badPerSecond/2, func() { w.request(true, "head0", "bad", "group0") })
		w.every(p.badPerSecond/2, func() {
			w.request(true, fmt.Sprintf("head%d", w.random.IntN(4)), "bad", fmt.Sprintf("group%d", w.random.IntN(groups)))
		})
	})
	w.run(start.Add(partSeconds * time.Second))
	return w
}

// refuseByParts is the way that requests are decided by.
func refuseByParts(t *Table, parts []Part, now time.Time) bool {
	status := t.EvaluateParts(parts, now).Status
	return status == Refused || status == Waiting
}

// refuseAt refuses any part with a number of crashes, whatever else explains them.
func refuseAt(threshold int) func(*Table, []Part, time.Time) bool {
	return func(t *Table, parts []Part, _ time.Time) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, p := range parts {
			if r := t.records[p.Fingerprint]; r != nil && r.countedCrashes() >= threshold {
				return true
			}
		}
		return false
	}
}

// Guards against bounds on a bad part that hold for few entries alone, and against refusing
// sound requests beside it, under crashes for other reasons.
func TestPartVerdictsAtAnySize(t *testing.T) {
	const seeds = 2
	for _, p := range []partPlay{{3, 18, 140, 1}, {3, 18, 140, 20}, {22, 38, 480, 4}} {
		for seed := range uint64(seeds) {
			w := p.play(seed, refuseByParts)
			if w.late > 3 {
				t.Errorf("%+v, seed %d: %d requests with the bad part were sent later than 3 s after the fifth crash", p, seed, w.late)
			}
			if 20*w.refused > w.sent {
				t.Errorf("%+v, seed %d: %d of %d sound requests were refused", p, seed, w.refused, w.sent)
			}
		}
	}
}

// BenchmarkPartVerdicts compares ways to decide at several sizes: crashes that the bad part
// caused, requests sent too late, the share of sound requests refused and lost, and the bytes
// a second that an entry tells each other one.
func BenchmarkPartVerdicts(b *testing.B) {
	ways := []struct {
		name   string
		decide func(*Table, []Part, time.Time) bool
	}{
		{"parts", refuseByParts}, {"count2", refuseAt(2)}, {"count3", refuseAt(3)}, {"count5", refuseAt(5)},
		{"contents", func(*Table, []Part, time.Time) bool { return false }},
	}
	for _, p := range []partPlay{{3, 18, 140, 1}, {3, 18, 140, 4}, {3, 18, 140, 20}, {22, 38, 480, 1}, {22, 38, 480, 4}, {22, 38, 480, 20}, {103, 160, 1300, 4}, {370, 2100, 4800, 1}, {370, 2100, 4800, 4}, {370, 2100, 4800, 20}} {
		for _, way := range ways {
			b.Run(fmt.Sprintf("%d/%v/%s", p.entries, p.badPerSecond, way.name), func(b *testing.B) {
				var crashes, late, refused, lost, sent, bytes float64
				for i := range b.N {
					w := p.play(uint64(i), way.decide)
					crashes, late = crashes+float64(len(w.crashes)), late+float64(w.late)
					refused, lost, sent, bytes = refused+float64(w.refused), lost+float64(w.lost), sent+float64(w.sent), bytes+float64(w.bytes)
				}
				n := float64(b.N)
				b.ReportMetric(crashes/n, "crashes")
				b.ReportMetric(late/n, "late")
				b.ReportMetric(refused/sent, "refused/sound")
				b.ReportMetric(lost/sent, "lost/sound")
				b.ReportMetric(bytes/n/partSeconds/float64(p.entries), "B/s/entry")
			})
		}
	}
}
