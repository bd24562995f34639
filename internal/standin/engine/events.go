package engine

import (
	"math/rand/v2"
	"sync"
	"time"
)

// CacheEvent is one message of the cache event stream. Seq grows by one with
// every event made, so that a reader sees where some were lost.
type CacheEvent struct {
	BootID string `json:"boot_id"`
	Seq    uint64 `json:"seq"`
	// Stored are new blocks, in the order of a chain that begins after Parent.
	Parent  uint64   `json:"parent,omitempty"`
	Stored  []uint64 `json:"stored,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
}

type delayedEvent struct {
	event CacheEvent
	due   time.Time
}

// eventLog delays and loses events, and wakes their readers.
type eventLog struct {
	mu      sync.Mutex
	delay   time.Duration
	loss    float64
	rng     *rand.Rand
	seq     uint64
	events  []delayedEvent
	changed chan struct{}
}

const keptCacheEvents = 4096

func newEventLog(delay time.Duration, loss float64) *eventLog {
	return &eventLog{
		delay:   delay,
		loss:    loss,
		rng:     rand.New(rand.NewPCG(1, 2)),
		changed: make(chan struct{}),
	}
}

func (l *eventLog) add(e CacheEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	e.Seq = l.seq
	if l.rng.Float64() < l.loss {
		return
	}
	l.events = append(l.events, delayedEvent{event: e, due: time.Now().Add(l.delay)})
	if len(l.events) > 2*keptCacheEvents {
		l.events = append([]delayedEvent{}, l.events[keptCacheEvents:]...)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *eventLog) sequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seq
}

// ready returns the events after seq that are due, the time until the next
// one is due (0: none waits), and a channel that closes when one is added.
func (l *eventLog) ready(seq uint64) ([]CacheEvent, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var due []CacheEvent
	for _, d := range l.events {
		if d.event.Seq <= seq {
			continue
		}
		if d.due.After(now) {
			return due, d.due.Sub(now), l.changed
		}
		due = append(due, d.event)
	}
	return due, 0, l.changed
}

// reset begins the log of a new boot.
func (l *eventLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq = 0
	l.events = nil
	close(l.changed)
	l.changed = make(chan struct{})
}
