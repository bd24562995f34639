package agent

import (
	"context"
	"time"

	"acaciakeel/cache"
)

// Times of watching an engine.
const (
	loadInterval = 100 * time.Millisecond
	loadTimeout  = 400 * time.Millisecond
	// maxLoadFailures is how many failed load reports in a row make an engine away.
	maxLoadFailures = 2
	// eventRetryDelay is the pause before the event stream is opened again.
	eventRetryDelay = 50 * time.Millisecond
	// minResyncInterval is the least time between two dumps of the engine's cache.
	minResyncInterval = 200 * time.Millisecond
	// resyncPauseFactor bounds the time spent on dumps: after one that took t, the
	// next waits for t * resyncPauseFactor.
	resyncPauseFactor = 50
	dumpTimeout       = 2 * time.Second
)

// watchLoad follows the engine's load report: which boot, which weights, or away.
func (r *runner) watchLoad(ctx context.Context) {
	failures := 0
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		failures = r.pollLoad(ctx, failures)
		r.sweep(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *runner) pollLoad(ctx context.Context, failures int) int {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := r.engine.Load(ctx)
	if err == nil {
		r.setEngineState(engineState{up: true, bootID: load.BootID, weightsVersion: load.WeightsVersion, loading: load.Loading}, time.Now())
		return 0
	}
	failures++
	if failures >= maxLoadFailures {
		r.setEngineState(engineState{}, time.Now())
	}
	return failures
}

// watchCache follows the engine's cache events, from a dump on.
func (r *runner) watchCache(ctx context.Context) {
	for ctx.Err() == nil {
		if r.resyncCache(ctx) == nil {
			r.followEvents(ctx)
		}
		select {
		case <-time.After(eventRetryDelay):
		case <-ctx.Done():
		}
	}
}

func (r *runner) resyncCache(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	dump, err := r.engine.CacheDump(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if dump.BootID != r.state.bootID && r.state.up {
		r.cache.resetOnBoot()
	}
	r.cache.view.Resync(dump)
	r.eventDeadline = time.Time{}
	r.metrics.resyncs.Inc()
	return nil
}

// eventTimeout is how long events may stay away after the engine has computed
// a prompt. A stream that has gone silent for good ends without an error; the
// view would then grow old unnoticed.
const eventTimeout = 2 * time.Second

// followEvents applies events until their connection ends, goes silent, or
// the engine is on another boot. A gap asks for a dump, at a bounded rate,
// beside the stream.
func (r *runner) followEvents(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.cancelStaleEvents(ctx, cancel)
	gaps := make(chan struct{}, 1)
	go r.resyncOnGaps(ctx, gaps)
	r.mu.Lock()
	seq := r.cache.view.Seq()
	r.mu.Unlock()
	err := r.engine.CacheEvents(ctx, seq, func(e cache.Event) {
		if r.applyEvent(e) {
			return
		}
		select {
		case gaps <- struct{}{}:
		default:
		}
	})
	if err != nil && ctx.Err() == nil {
		r.metrics.cacheEvents.WithLabelValues("disconnected").Inc()
	}
}

// cancelStaleEvents ends an event stream that can't be believed any more.
func (r *runner) cancelStaleEvents(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if r.eventsStale(time.Now()) {
			r.metrics.cacheEvents.WithLabelValues("silent").Inc()
			cancel()
			return
		}
	}
}

func (r *runner) eventsStale(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.up && r.state.bootID != r.cache.view.BootID() {
		return true
	}
	return !r.eventDeadline.IsZero() && now.After(r.eventDeadline)
}

// applyEvent reports whether the view is whole after the event.
func (r *runner) applyEvent(e cache.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventDeadline = time.Time{}
	r.cache.view.SetNow(r.viewTime(time.Now()))
	verdict := r.cache.view.Apply(e)
	r.metrics.cacheEvents.WithLabelValues(string(verdict)).Inc()
	return !r.cache.view.HasGaps()
}

func (r *runner) resyncOnGaps(ctx context.Context, gaps <-chan struct{}) {
	for {
		select {
		case <-gaps:
		case <-ctx.Done():
			return
		}
		began := time.Now()
		_ = r.resyncCache(ctx)
		pause := max(minResyncInterval, resyncPauseFactor*time.Since(began))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}
