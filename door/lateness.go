package door

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"
)

// Sampling of a process's lateness.
const (
	latenessInterval = 25 * time.Millisecond
	latenessSamples  = 16
	// maxSampleLateness bounds one sample: a process that was stopped for seconds and continues is
	// not short of processor time.
	maxSampleLateness = 250 * time.Millisecond
	// overloadShare is the share of the time spent waiting for the processor from which a
	// process counts as overloaded, until the share is below recoveredShare.
	overloadShare  = 0.5
	recoveredShare = 0.2
	// overloadQueue is the mean wait of ready goroutines from which a process counts as overloaded,
	// until it is below recoveredQueue. A client that leaves is noticed after a few such waits.
	overloadQueue  = 60 * time.Millisecond
	recoveredQueue = 20 * time.Millisecond
)

// Wait is for how long a process had to wait for the processor.
type Wait struct {
	// Late is by how much a timer was late.
	Late time.Duration
	// Queued is how long a goroutine that was ready then waited for others. The goroutine of a timer
	// does not: it runs next.
	Queued time.Duration
}

// Load is what a process's latest waits amount to.
type Load struct {
	// Share is the share of the time by which timers were late.
	Share float64
	// Queued is the mean wait of ready goroutines.
	Queued time.Duration
}

// Lateness measures how long a process waits for the processor, which shows that it gets less
// processor time than it has work for, whoever limits that time.
type Lateness struct {
	// samples is a ring of the latest ones; only Record uses it.
	samples    [latenessSamples]Wait
	next       int
	overloaded atomic.Bool
	// OnChange, if set, is called when the process becomes overloaded and when that ends.
	OnChange func(overloaded bool, load Load)
}

// Overloaded reports whether the process is overloaded.
func (l *Lateness) Overloaded() bool { return l.overloaded.Load() }

// Run samples until ctx ends.
func (l *Lateness) Run(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(latenessInterval)
		fired := time.Now()
		// The goroutine queues behind those that are ready, as one does that a connection wakes.
		runtime.Gosched()
		l.Record(Wait{Late: fired.Sub(before) - latenessInterval, Queued: time.Since(fired)})
	}
}

// Record adds a sample. It must not be called concurrently.
func (l *Lateness) Record(w Wait) {
	l.samples[l.next] = Wait{Late: boundSample(w.Late), Queued: boundSample(w.Queued)}
	l.next = (l.next + 1) % latenessSamples
	load := l.load()
	share, queue := overloadShare, overloadQueue
	if l.overloaded.Load() {
		share, queue = recoveredShare, recoveredQueue
	}
	if now := load.Share > share || load.Queued > queue; l.overloaded.Swap(now) != now && l.OnChange != nil {
		l.OnChange(now, load)
	}
}

func boundSample(d time.Duration) time.Duration { return min(max(0, d), maxSampleLateness) }

func (l *Lateness) load() Load {
	var late, queued time.Duration
	for _, s := range l.samples {
		late += s.Late
		queued += s.Queued
	}
	return Load{Share: float64(late) / float64(late+latenessSamples*latenessInterval), Queued: queued / latenessSamples}
}
