package agent

import (
	"sync"
	"time"

	"acaciakeel/admission"
	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/refusal"
	"acaciakeel/settings"
	"acaciakeel/stream"
	"acaciakeel/target"
)

// engineState is what the agent's control goroutine knows of the engine.
type engineState struct {
	up             bool
	bootID         string
	weightsVersion string
	loading        bool
}

// runner decides when each model request goes to the engine and keeps its
// stream. Its mutex guards everything but settings and clients.
type runner struct {
	settings Settings
	engine   *target.Engine
	metrics  *metrics

	mu           sync.Mutex
	state        engineState
	stopping     bool
	draining     bool
	queue        *admission.Queue
	reservations *admission.Reservations
	cache        *cacheTracker
	estimator    rateEstimator
	jobs         map[string]*job
	startedAt    time.Time
	// eventDeadline is when the events of a computed prompt must have come; zero
	// while none are owed.
	eventDeadline time.Time
	// running and prefillTokens are what the engine was given.
	running       int
	prefillTokens int
	// meanSlotTime is the mean time that a request keeps its slot after its first token.
	meanSlotTime time.Duration
}

func newRunner(s Settings, engine *target.Engine, m *metrics) *runner {
	return &runner{
		settings:     s,
		engine:       engine,
		metrics:      m,
		queue:        admission.NewQueue(s.Queue.limits()),
		reservations: admission.NewReservations(settings.Millis(s.Queue.ReservationMS)),
		cache:        newCacheTracker(),
		estimator:    rateEstimator{rate: s.Queue.PrefillRate},
		jobs:         map[string]*job{},
		startedAt:    time.Now(),
	}
}

// checkReady reports whether a request for weights can be taken now.
func (r *runner) checkReady(weightsVersion string) *refusal.Error {
	switch {
	case r.stopping:
		return refusal.New(refusal.Stopping, "send to another entry or again at once", "the agent is stopping")
	case !r.state.up:
		return refusal.New(refusal.TargetNotReady, "another runner takes the request", "the engine does not answer")
	case r.state.loading || r.draining:
		return refusal.New(refusal.TargetNotReady, "another runner takes the request", "the engine loads weights")
	case r.state.weightsVersion != weightsVersion:
		return refusal.New(refusal.TargetNotReady, "another runner takes the request",
			"the engine has weights %q, not %q", r.state.weightsVersion, weightsVersion)
	}
	return nil
}

// submit takes a new request into the queue, or returns the job that it is
// already. A refusal is final and says "not run" truthfully: the request was
// never given to the engine.
func (r *runner) submit(req *keelv1.GenerateRequest, now time.Time) (*job, *refusal.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.jobs[jobID(req.Customer, req.RequestId, req.Attempt)]; j != nil {
		return j, nil
	}
	r.reservations.Release(req.Reservation)
	if err := r.checkReady(req.WeightsVersion); err != nil {
		return nil, err
	}
	j := newJob(req, 0, now)
	r.estimateCost(j, now)
	decision := r.queue.Push(j.item, r.expectedWait(r.queue.ExpectedBacklog(req.Customer, int(req.Priority)), now), now)
	if decision.Refused != admission.Admitted {
		return nil, queueRefusal(decision.Refused, decision.RetryAfter)
	}
	if decision.Evicted != nil {
		r.finishLocked(r.jobs[decision.Evicted.ID], stream.Finish{Err: queueRefusal(admission.QueueFull, decision.RetryAfter)}, now)
	}
	r.jobs[j.id] = j
	addCounts(r.cache.pending, req.BoundaryHash, 1)
	r.dispatch(now)
	return j, nil
}

func queueRefusal(reason admission.Reason, after time.Duration) *refusal.Error {
	remedy := "come back after the time in Retry-After"
	switch reason {
	case admission.DeadlineUnmet:
		return refusal.New(refusal.DeadlineUnmet, remedy, "the queue is longer than the caller's deadline").WithRetryAfter(after)
	case admission.Canceled:
		return refusal.New(refusal.Canceled, "nothing", "the caller left")
	}
	return refusal.New(refusal.QueueFull, remedy, "the target's queue is full").WithRetryAfter(after)
}

// minEventTokens is how many computed tokens surely make a cache event: several blocks.
const minEventTokens = 256

// firstToken records that the engine has computed j's prompt.
func (r *runner) firstToken(j *job, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.phase != prefilling {
		return
	}
	r.endPrefill(j, true, now)
	if j.uncachedTokens > minEventTokens && r.eventDeadline.IsZero() {
		r.eventDeadline = now.Add(eventTimeout)
	}
	j.phase = decoding
	if j.bootID == r.state.bootID {
		addCounts(r.cache.pinned, j.item.PrefixHashes, 1)
	}
	r.touchBlocks(j, now)
	r.dispatch(now)
}

// touchBlocks tells the view which blocks a request has used.
func (r *runner) touchBlocks(j *job, now time.Time) {
	r.cache.view.SetNow(r.viewTime(now))
	if n := len(j.item.PrefixHashes); n > 0 {
		r.cache.view.Touch(j.req.Root, j.item.PrefixHashes[n-1])
	}
}

// viewTime returns the milliseconds since the agent began.
func (r *runner) viewTime(now time.Time) uint32 {
	return uint32(now.Sub(r.startedAt).Milliseconds()) + 1
}

func (r *runner) endPrefill(j *job, completed bool, now time.Time) {
	r.estimator.end(j.uncachedTokens, completed, now)
	r.prefillTokens -= j.uncachedTokens
	addCounts(r.cache.prefilling, j.item.PrefixHashes, -1)
	addCounts(r.cache.pending, j.item.PrefixHashes, -1)
}

// finishAndDispatch ends a job that the engine had.
func (r *runner) finishAndDispatch(j *job, f stream.Finish, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLocked(j, f, now)
	r.dispatch(now)
}

// slotTimeWeight is the weight of one request in the mean time of a slot.
const slotTimeWeight = 0.1

func (r *runner) finishLocked(j *job, f stream.Finish, now time.Time) {
	switch j.phase {
	case ended:
		return
	case waiting:
		addCounts(r.cache.pending, j.item.PrefixHashes, -1)
	case prefilling:
		r.endPrefill(j, false, now)
		r.running--
	case decoding:
		r.running--
		r.meanSlotTime += time.Duration(slotTimeWeight * float64(now.Sub(j.dispatchedAt)-r.meanSlotTime))
		if j.bootID == r.state.bootID {
			addCounts(r.cache.pinned, j.item.PrefixHashes, -1)
			r.cache.addRecent(j.item.PrefixHashes, now)
		}
	}
	j.phase = ended
	j.endedAt = now
	j.buffer.Close(f)
	j.cancel()
	r.recordClaimAccuracy(j, f)
}

// recordClaimAccuracy compares what was believed cached with what the engine used.
func (r *runner) recordClaimAccuracy(j *job, f stream.Finish) {
	if f.Err != nil || f.PromptTokens == 0 {
		return
	}
	r.confirmCached(j, f.CachedTokens)
	over := max(0, j.cachedTokens-f.CachedTokens-r.settings.claimTolerance())
	under := max(0, f.CachedTokens-j.cachedTokens)
	r.metrics.claimedTokens.WithLabelValues("held").Add(float64(min(j.cachedTokens, f.CachedTokens)))
	r.metrics.claimedTokens.WithLabelValues("over").Add(float64(over))
	r.metrics.claimedTokens.WithLabelValues("under").Add(float64(under))
}

// confirmCached tells the view that the engine has just used a prompt's first
// tokens, so that they are claimed again after a gap in its events.
func (r *runner) confirmCached(j *job, cached int) {
	if j.bootID != r.cache.view.BootID() {
		return
	}
	for i := len(j.req.BoundaryTokens) - 1; i >= 0; i-- {
		if int(j.req.BoundaryTokens[i]) <= cached {
			r.cache.view.Confirm(j.req.Root, j.req.BoundaryHash[i])
			return
		}
	}
}

// claimTolerance is the part of a claim that no engine can use: the prompt's last
// block is computed again for its first token.
func (Settings) claimTolerance() int {
	return 16
}

// expireQueued refuses the waiting requests whose caller has stopped waiting.
func (r *runner) expireQueued(now time.Time) {
	for _, item := range r.queue.RemoveExpired(now) {
		r.finishLocked(r.jobs[item.ID], stream.Finish{Err: queueRefusal(admission.DeadlineUnmet, r.queue.Cost())}, now)
	}
}

// abandon ends a job that its entry gave up.
func (r *runner) abandon(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		return
	}
	r.queue.Remove(id)
	r.finishLocked(j, stream.Finish{Err: queueRefusal(admission.Canceled, 0)}, now)
	r.dispatch(now)
}

// setEngineState takes the control goroutine's news of the engine. A new boot, or
// an engine that is away, ends all belief about its cache at once.
func (r *runner) setEngineState(s engineState, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.up && s.bootID != r.state.bootID {
		r.cache.view.ResetOnBoot(s.bootID)
		r.cache.resetOnBoot()
	}
	r.state = s
	r.dispatch(now)
}

// sweep forgets old jobs and ends those that nobody reads.
func (r *runner) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := settings.Millis(r.settings.Stream.KeptMS)
	orphan := settings.Millis(r.settings.Stream.OrphanMS)
	for id, j := range r.jobs {
		switch {
		case j.phase == ended && j.readers == 0 && now.Sub(j.endedAt) > kept:
			delete(r.jobs, id)
		case j.phase != ended && j.readers == 0 && now.Sub(j.unreadSince) > orphan:
			r.queue.Remove(id)
			r.finishLocked(j, stream.Finish{Err: queueRefusal(admission.Canceled, 0)}, now)
			r.metrics.orphans.Inc()
		}
	}
	r.dispatch(now)
}

func (r *runner) attach(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.readers++
}

func (r *runner) detach(j *job, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.readers--
	j.unreadSince = now
}

// active returns how many jobs have not ended or are still being read.
func (r *runner) active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, j := range r.jobs {
		if j.phase != ended || j.readers > 0 {
			n++
		}
	}
	return n
}

func (r *runner) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

func (r *runner) engineUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.up
}

// setDraining stops or takes up again the taking of new requests, for an order.
func (r *runner) setDraining(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = on
}

// engineStateAndIdle returns the engine's state, and whether nothing waits or runs.
func (r *runner) engineStateAndIdle() (engineState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.running == 0 && r.queue.Len() == 0
}
