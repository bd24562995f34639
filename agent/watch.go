package agent

import (
	"context"
	"errors"
	"time"

	"acaciakeel/cache"
	"acaciakeel/order"
	"acaciakeel/target"
)

const (
	loadInterval = 100 * time.Millisecond
	loadTimeout  = 400 * time.Millisecond
	// maxLoadFailures is the number of consecutive failed load reports after which the
	// engine counts as down.
	maxLoadFailures = 2
	// eventRetryDelay is the delay before the event stream is opened again.
	eventRetryDelay = 50 * time.Millisecond
	// minResyncInterval is the minimum pause between two dumps of the engine's cache.
	minResyncInterval = 200 * time.Millisecond
	// resyncPauseFactor limits the share of time spent on dumps: after a dump that took
	// t, the next waits for at least t * resyncPauseFactor.
	resyncPauseFactor = 50
	dumpTimeout       = 2 * time.Second
)

// watchLoad polls the engine's load report for its boot, its weights and whether it is
// up, and sweeps the jobs.
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
	switch {
	case err == nil:
		r.metrics.loadReports.WithLabelValues("read").Inc()
		r.setEngineState(engineState{up: true, bootID: load.BootID, weightsVersion: load.WeightsVersion, build: load.Build, loading: load.Loading, fence: knownFence(load.Fence)}, time.Now())
		return 0
	case errors.Is(err, target.ErrOldConnection):
		r.metrics.loadReports.WithLabelValues("old_connection").Inc()
		return 0
	}
	r.metrics.loadReports.WithLabelValues("failed").Inc()
	failures++
	if failures >= maxLoadFailures {
		r.setEngineState(engineState{}, time.Now())
	}
	return failures
}

// knownFence returns the highest fencing number that the engine says it had, or 0 if that is none
// of the numbers that agents give out.
func knownFence(fence uint64) int64 {
	if fence > order.MaxToken || !order.ValidToken(int64(fence)) {
		return 0
	}
	return int64(fence)
}

// watchCache keeps the cache view up to date: it takes a dump of the engine's cache and
// then follows its events.
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

// eventTimeout is the maximum delay of cache events after the engine has computed a
// prompt. A dead event stream ends without an error, and the view would become stale
// unnoticed.
const eventTimeout = 2 * time.Second

// followEvents applies cache events until the connection ends, the events are overdue,
// or the engine has restarted. After a gap it takes a dump, at a limited rate, while
// the stream continues.
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

// cancelStaleEvents cancels the event stream once it is stale.
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

// applyEvent applies an event to the view and reports whether the view has no gaps
// afterwards.
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
