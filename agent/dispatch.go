package agent

import (
	"time"

	"acaciakeel/admission"
)

// estimateCost updates the number of tokens that the engine would have to compute for j
// now.
func (r *runner) estimateCost(j *job, now time.Time) {
	j.cachedTokens = tokensAt(j.req.BoundaryTokens, r.cache.deepestCached(j.req.Root, j.req.BoundaryHash, now))
	j.uncachedTokens = max(1, int(j.req.PromptTokens)-j.cachedTokens)
	j.item.Cost = r.estimator.prefillTime(j.uncachedTokens)
}

func tokensAt(tokens []uint32, i int) int {
	if i < 0 {
		return 0
	}
	return int(tokens[i])
}

// expectedWait returns how long a new request would wait for its prefill to begin
// behind the backlog: for the prefills at the engine, the reservations and the backlog,
// and for a free slot.
func (r *runner) expectedWait(backlog admission.Backlog, now time.Time) time.Duration {
	prefill := r.estimator.prefillTime(r.prefillTokens) + r.reservations.Cost(now) + backlog.Cost
	over := r.running + backlog.Count - r.settings.Queue.Slots
	if over < 0 {
		return prefill
	}
	slot := r.meanSlotTime * time.Duration(over+1) / time.Duration(r.settings.Queue.Slots)
	return max(prefill, slot)
}

// dispatch sends queued requests to the engine until its slots or its prefill limit are
// full.
func (r *runner) dispatch(now time.Time) {
	r.expireQueued(now)
	for r.running < r.settings.Queue.Slots && r.state.up {
		item := r.queue.Next(func(item *admission.Item) admission.DispatchDecision { return r.dispatchDecision(item, now) })
		if item == nil {
			return
		}
		r.startJob(r.jobs[item.ID], now)
	}
}

// maxOvertakeTime is how long shorter requests may overtake a waiting one.
const maxOvertakeTime = 100 * time.Millisecond

// dispatchDecision holds a request back while the engine has enough prefill work, or
// while it computes a prefix of the same prompt: if both ran at once, the engine would
// compute the shared tokens twice.
func (r *runner) dispatchDecision(item *admission.Item, now time.Time) admission.DispatchDecision {
	j := r.jobs[item.ID]
	r.estimateCost(j, now)
	if shared := tokensAt(j.req.BoundaryTokens, r.cache.deepestPrefilling(item.PrefixHashes)); shared > j.cachedTokens {
		return admission.Skip
	}
	if r.prefillTokens == 0 || r.prefillTokens+j.uncachedTokens <= r.settings.Queue.PrefillTokens {
		return admission.Dispatch
	}
	if item.Waited(now) > maxOvertakeTime {
		return admission.Block
	}
	return admission.Skip
}

func (r *runner) startJob(j *job, now time.Time) {
	j.phase = prefilling
	j.dispatchedAt = now
	j.bootID = r.state.bootID
	r.running++
	r.prefillTokens += j.uncachedTokens
	r.estimator.begin(now)
	addCounts(r.cache.prefilling, j.item.PrefixHashes, 1)
	r.metrics.queueWait.Observe(j.item.Waited(now).Seconds())
	go r.runJob(j)
}
