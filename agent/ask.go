package agent

import (
	"context"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/prefix"
	"acaciakeel/target"
)

// ask answers an entry's query about one prompt: what is cached and how long the
// request would wait.
func (r *runner) ask(ctx context.Context, req *keelv1.AskRequest, now time.Time) *keelv1.AskResponse {
	if req.Truth && r.settings.Target.Oracle {
		return r.askOracle(ctx, req)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireQueued(now)
	expected := tokensAt(req.BoundaryTokens, r.cache.deepestExpected(req.Root, req.BoundaryHash, now))
	wait := r.expectedWait(r.queue.Ahead(req.Customer, int(req.Priority)), now)
	answer := &keelv1.AskResponse{
		CachedTokens: uint32(expected),
		WaitUs:       uint32(wait.Microseconds()),
		PrefillRate:  uint32(r.estimator.measuredRate()),
		Ready:        r.readyFor(req),
		QueueLength:  uint32(r.queue.Len()),
		LifetimeMs:   uint32(r.cache.view.Lifetime()),
		Weights:      prefix.NameHash(r.state.weightsVersion),
	}
	if answer.Ready {
		// Several agents are asked, but only one gets the request. If each reserved the
		// whole cost, the others would appear busy.
		cost := r.estimator.prefillTime(max(0, int(req.PromptTokens)-expected)) / time.Duration(max(1, req.Asked))
		r.reservations.Reserve(req.Reservation, cost, now)
	}
	return answer
}

// readyFor reports whether the engine takes requests and has the weights, and for the continuation
// of a stream the software version, that a request needs.
func (r *runner) readyFor(req *keelv1.AskRequest) bool {
	return !r.stopping && !r.draining && r.state.up && !r.state.loading &&
		prefix.NameHash(r.state.weightsVersion) == req.Weights && (!req.Bound || r.state.build == req.Build)
}

// askOracle answers from the true state of a stand-in engine, for the oracle policy of
// the benchmark.
func (r *runner) askOracle(ctx context.Context, req *keelv1.AskRequest) *keelv1.AskResponse {
	tokens := make([]int, len(req.BoundaryTokens))
	for i, t := range req.BoundaryTokens {
		tokens[i] = int(t)
	}
	truth, err := r.engine.Lookup(ctx, req.BoundaryHash, tokens)
	if err != nil {
		truth = target.LookupResult{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// Requests that are queued here or on their way to the engine count as well: their
	// prompts will be cached.
	expected := tokensAt(req.BoundaryTokens, r.cache.deepestExpected(req.Root, req.BoundaryHash, time.Now()))
	wait := max(r.estimator.prefillTime(truth.PrefillTokens), r.expectedWait(r.queue.Ahead(req.Customer, int(req.Priority)), time.Now()))
	return &keelv1.AskResponse{
		CachedTokens: uint32(max(truth.CachedTokens, expected)),
		WaitUs:       uint32(wait.Microseconds()),
		PrefillRate:  uint32(r.estimator.measuredRate()),
		Ready:        err == nil && r.readyFor(req),
	}
}
