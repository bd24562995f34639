package door

import (
	"context"
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
)

// Lateness measures by how much a process's timers are late, which shows that it gets less
// processor time than it has work for, whoever limits that time.
type Lateness struct {
	// samples is a ring of the latest ones; only Record uses it.
	samples    [latenessSamples]time.Duration
	next       int
	overloaded atomic.Bool
	// OnChange, if set, is called when the process becomes overloaded and when that ends.
	OnChange func(overloaded bool, share float64)
}

// Overloaded reports whether the process is overloaded.
func (l *Lateness) Overloaded() bool { return l.overloaded.Load() }

// Run samples until ctx ends.
func (l *Lateness) Run(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(latenessInterval)
		l.Record(time.Since(before) - latenessInterval)
	}
}

// Record adds a sample. It must not be called concurrently.
func (l *Lateness) Record(late time.Duration) {
	l.samples[l.next] = min(max(0, late), maxSampleLateness)
	l.next = (l.next + 1) % latenessSamples
	var sum time.Duration
	for _, s := range l.samples {
		sum += s
	}
	share := float64(sum) / float64(sum+latenessSamples*latenessInterval)
	threshold := overloadShare
	if l.overloaded.Load() {
		threshold = recoveredShare
	}
	if now := share > threshold; l.overloaded.Swap(now) != now && l.OnChange != nil {
		l.OnChange(now, share)
	}
}
