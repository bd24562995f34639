package agent

import (
	"time"

	"acaciakeel/admission"
)

// estimate works out what the engine would have to compute for j now.
func (r *runner) estimate(j *job, now time.Time) {
	j.claimed = tokensAt(j.req.BoundaryTokens, r.belief.cached(j.req.Root, j.req.BoundaryHash, now))
	j.missing = max(1, int(j.req.PromptTokens)-j.claimed)
	j.item.Cost = r.pace.cost(j.missing)
}

func tokensAt(tokens []uint32, i int) int {
	if i < 0 {
		return 0
	}
	return int(tokens[i])
}

// wait is how long a new request would wait for its prefill to begin behind a
// line: for the prefill that the engine has, what is reserved, the line, and
// a slot to come free.
func (r *runner) wait(line admission.Backlog, now time.Time) time.Duration {
	prefill := r.pace.cost(r.prefillTokens) + r.reservations.Cost(now) + line.Cost
	over := r.running + line.Count - r.settings.Queue.Slots
	if over < 0 {
		return prefill
	}
	slot := r.hold * time.Duration(over+1) / time.Duration(r.settings.Queue.Slots)
	return max(prefill, slot)
}

// dispatch gives the engine as much as it should have.
func (r *runner) dispatch(now time.Time) {
	r.expire(now)
	for r.running < r.settings.Queue.Slots && r.state.up {
		item := r.queue.Next(func(item *admission.Item) admission.DispatchDecision { return r.holdBack(item, now) })
		if item == nil {
			return
		}
		r.begin(r.jobs[item.ID], now)
	}
}

// passedFor is how long a request may be passed by shorter ones.
const passedFor = 100 * time.Millisecond

// holdBack keeps a request waiting while the engine has enough prefill ahead,
// or while it computes a prefix of this very request: given both at once, the
// engine would compute the shared tokens twice.
func (r *runner) holdBack(item *admission.Item, now time.Time) admission.DispatchDecision {
	j := r.jobs[item.ID]
	r.estimate(j, now)
	if shared := tokensAt(j.req.BoundaryTokens, r.belief.beingComputed(item.PrefixHashes)); shared > j.claimed {
		return admission.Skip
	}
	if r.prefillTokens == 0 || r.prefillTokens+j.missing <= r.settings.Queue.PrefillTokens {
		return admission.Dispatch
	}
	if item.Waited(now) > passedFor {
		return admission.Block
	}
	return admission.Skip
}

func (r *runner) begin(j *job, now time.Time) {
	j.phase = prefilling
	j.dispatched = now
	j.bootID = r.state.bootID
	r.running++
	r.prefillTokens += j.missing
	r.pace.begin(now)
	count(r.belief.computing, j.item.PrefixHashes, 1)
	r.metrics.queueWait.Observe(j.item.Waited(now).Seconds())
	go r.run(j)
}
