package agent

import (
	"context"
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/prefix"
	"acaciakeel/target"
)

// ask answers an entry's question about one prompt.
func (r *runner) ask(ctx context.Context, req *keelv1.AskRequest, now time.Time) *keelv1.AskResponse {
	if req.Truth && r.settings.Target.Oracle {
		return r.askTruth(ctx, req)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	expected := tokensAt(req.BoundaryTokens, r.belief.expected(req.Root, req.BoundaryHash, now))
	wait := r.wait(r.queue.Ahead(req.Customer, int(req.Priority)), now)
	answer := &keelv1.AskResponse{
		CachedTokens: uint32(expected),
		WaitUs:       uint32(wait.Microseconds()),
		PrefillRate:  uint32(r.pace.measured()),
		Ready:        r.readyFor(req.Weights),
		QueueLength:  uint32(r.queue.Len()),
		LifetimeMs:   uint32(r.belief.view.Lifetime()),
		Weights:      prefix.NameHash(r.state.weightsVersion),
	}
	if answer.Ready {
		// Only one of the agents asked will get the request: were each to
		// reserve its whole cost, the others would look busy without being so.
		cost := r.pace.cost(max(0, int(req.PromptTokens)-expected)) / time.Duration(max(1, req.Asked))
		r.reservations.Reserve(req.Reservation, cost, now)
	}
	return answer
}

func (r *runner) readyFor(weights uint64) bool {
	return !r.stopping && !r.draining && r.state.up && !r.state.loading &&
		prefix.NameHash(r.state.weightsVersion) == weights
}

// askTruth answers from a stand-in engine's true state, for the oracle policy
// of the bench.
func (r *runner) askTruth(ctx context.Context, req *keelv1.AskRequest) *keelv1.AskResponse {
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
	// What waits here, or is on its way to the engine, is as true as what the engine has.
	expected := tokensAt(req.BoundaryTokens, r.belief.expected(req.Root, req.BoundaryHash, time.Now()))
	wait := max(r.pace.cost(truth.PrefillTokens), r.wait(r.queue.Ahead(req.Customer, int(req.Priority)), time.Now()))
	return &keelv1.AskResponse{
		CachedTokens: uint32(max(truth.CachedTokens, expected)),
		WaitUs:       uint32(wait.Microseconds()),
		PrefillRate:  uint32(r.pace.measured()),
		Ready:        err == nil && r.readyFor(req.Weights),
	}
}
