package agent

import (
	"time"

	"acaciakeel/admission"
)

// estimateCost works out what the engine would have to compute for j now.
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

// expectedWait is how long a new request would expectedWait for its prefill to begin behind a
// line: for the prefill that the engine has, what is reserved, the line, and
// a slot to come free.
func (r *runner) expectedWait(backlog admission.Backlog, now time.Time) time.Duration {
	prefill := r.estimator.prefillTime(r.prefillTokens) + r.reservations.Cost(now) + backlog.Cost
	over := r.running + backlog.Count - r.settings.Queue.Slots
	if over < 0 {
		return prefill
	}
	slot := r.meanSlotTime * time.Duration(over+1) / time.Duration(r.settings.Queue.Slots)
	return max(prefill, slot)
}

// dispatch gives the engine as much as it should have.
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

// maxOvertakeTime is how long a request may be passed by shorter ones.
const maxOvertakeTime = 100 * time.Millisecond

// dispatchDecision keeps a request waiting while the engine has enough prefill ahead,
// or while it computes a prefix of this very request: given both at once, the
// engine would compute the shared tokens twice.
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
