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

// engineState is the state of the engine as of its last load report.
type engineState struct {
	up             bool
	bootID         string
	weightsVersion string
	build          string
	loading        bool
	// fence is the highest fencing number that the engine had; 0 if it says none.
	fence int64
}

// runner decides when each model request is sent to the engine and keeps its stream. mu
// guards the fields after it.
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
	// eventDeadline is when the cache events of a computed prompt are due; it is zero
	// while none are expected.
	eventDeadline time.Time
	// running is the number of requests at the engine, and prefillTokens the prompt
	// tokens that the engine has yet to compute.
	running       int
	prefillTokens int
	// meanSlotTime is the mean time that a request occupies an engine slot.
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

// checkReady returns a refusal if the engine cannot take a request for the given
// weights now.
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

// otherBuildRefusal is the refusal of a request that continues a stream which another version of
// the engine's software began.
func otherBuildRefusal(got, want string) *refusal.Error {
	return refusal.New(refusal.TargetNotReady, "another runner takes the request", "the engine has software version %q, the stream began at %q", got, want)
}

// submit queues a new request and returns its job, or the existing job of the same
// attempt. A refusal is final: the request was never sent to the engine, so the outcome
// "not run" is correct.
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
	if req.Bound && r.state.build != req.Build {
		return nil, otherBuildRefusal(r.state.build, req.Build)
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

// minEventTokens is the number of computed tokens above which a cache event is certain:
// it covers several blocks.
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

// touchBlocks marks the blocks of a request as just used in the cache view.
func (r *runner) touchBlocks(j *job, now time.Time) {
	r.cache.view.SetNow(r.viewTime(now))
	if n := len(j.item.PrefixHashes); n > 0 {
		r.cache.view.Touch(j.req.Root, j.item.PrefixHashes[n-1])
	}
}

// viewTime returns the time for the cache view: milliseconds since the agent started,
// plus one.
func (r *runner) viewTime(now time.Time) uint32 {
	return uint32(now.Sub(r.startedAt).Milliseconds()) + 1
}

func (r *runner) endPrefill(j *job, completed bool, now time.Time) {
	r.estimator.end(j.uncachedTokens, completed, now)
	r.prefillTokens -= j.uncachedTokens
	addCounts(r.cache.prefilling, j.item.PrefixHashes, -1)
	addCounts(r.cache.pending, j.item.PrefixHashes, -1)
}

// finishAndDispatch ends a job that was sent to the engine.
func (r *runner) finishAndDispatch(j *job, f stream.Finish, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLocked(j, f, now)
	r.dispatch(now)
}

// slotTimeWeight is the weight of one request in meanSlotTime, an exponential moving
// average.
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

// recordClaimAccuracy compares the tokens that the agent expected to be cached with
// those that the engine reused.
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

// confirmCached tells the view that the engine has just reused the first tokens of a
// prompt, so that their blocks count as cached again after a gap in the events.
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

// claimTolerance is the part of the cached tokens that no engine can reuse: the
// prompt's last block is computed again to produce the first token.
func (Settings) claimTolerance() int {
	return 16
}

// expireQueued refuses the queued requests whose deadline has passed.
func (r *runner) expireQueued(now time.Time) {
	for _, item := range r.queue.RemoveExpired(now) {
		r.finishLocked(r.jobs[item.ID], stream.Finish{Err: queueRefusal(admission.DeadlineUnmet, r.queue.Cost())}, now)
	}
}

// canceledRefusal is the refusal of a job that nobody reads. Another entry may still ask for its
// stream, so it says "not run" only of a job that was not sent to the engine.
func canceledRefusal(j *job) *refusal.Error {
	e := queueRefusal(admission.Canceled, 0)
	if j.phase != waiting {
		e.Outcome = refusal.Unknown
	}
	return e
}

// abandon ends a job that its entry has given up.
func (r *runner) abandon(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		return
	}
	r.queue.Remove(id)
	r.finishLocked(j, stream.Finish{Err: canceledRefusal(j)}, now)
	r.dispatch(now)
}

// setEngineState records the engine's state from a load report. It resets the knowledge
// of the engine's cache when the engine is on a new boot or is up again after it was
// down.
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

// sweep deletes ended jobs after the retention period and ends jobs without a reader.
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
			r.finishLocked(j, stream.Finish{Err: canceledRefusal(j)}, now)
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

// active returns the number of jobs that have not ended or are still being read.
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

// setDraining stops or resumes the acceptance of new requests, for an order to load
// weights.
func (r *runner) setDraining(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = on
}

// engineStateAndIdle returns the engine's state and whether no request is queued or
// running.
func (r *runner) engineStateAndIdle() (engineState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.running == 0 && r.queue.Len() == 0
}
