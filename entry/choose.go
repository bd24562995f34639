package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/placement"
	"acaciakeel/prefix"
	"acaciakeel/refusal"
	"acaciakeel/resource"
	"acaciakeel/settings"
)

// placementQuery holds the parameters of choosing a target for one request.
type placementQuery struct {
	customer   string
	priority   int
	model      string
	weights    string
	root       uint64
	chain      prefix.Chain
	preference resource.Preference
	// excluded lists the targets that were already tried.
	excluded []string
	// bound is set where a stream is continued, which needs an engine of software version
	// build.
	bound bool
	build string
	// waits is set where a stream waits for a runner.
	waits bool
}

// chosenTarget is the target of one attempt.
type chosenTarget struct {
	name        string
	url         string
	reservation uint64
	estimate    placement.Estimate
}

// Limits of target selection.
const (
	maxQueriedAgents = 12
	// noTargetRetryAfter is the Retry-After value while no runner is ready.
	noTargetRetryAfter = time.Second
	// maxLoadRatio limits the load of a target, relative to the mean, under the
	// prefix-hash baseline policy.
	maxLoadRatio = 1.25
)

// targetSelection is the state of choosing a target for one request.
type targetSelection struct {
	entry     *Entry
	table     *routingTable
	query     placementQuery
	runners   []placement.Runner
	ranked    []int32
	estimates []placement.Estimate
	// reservation identifies the reservations that agents make for this request.
	reservation uint64
}

// chooseTarget selects the target of a request by the policy of its preference.
func (e *Entry) chooseTarget(ctx context.Context, q placementQuery) (chosenTarget, *refusal.Error) {
	began := time.Now()
	defer func() { e.metrics.chooseDuration.Observe(time.Since(began).Seconds()) }()
	t := e.table.Load()
	s := &targetSelection{entry: e, table: t, query: q, reservation: rand.Uint64() | 1}
	if set := t.models[q.model]; set != nil {
		s.runners = set.runners
	}
	s.rank()
	best := s.selectTarget(ctx)
	if best < 0 {
		return chosenTarget{}, refusal.New(refusal.NoTarget, "come back after the time in Retry-After",
			"none of the %d runners of model %q is ready", len(s.runners), q.model).WithRetryAfter(noTargetRetryAfter)
	}
	name := s.runners[s.ranked[best]].Name
	c := chosenTarget{name: name, url: t.agentURL[name], reservation: s.reservation}
	if best < len(s.estimates) {
		c.estimate = s.estimates[best]
	}
	return c, nil
}

var rankers = sync.Pool{New: func() any { return &placement.Ranker{} }}

// rank orders the usable runners by policy. Runners of other regions are considered
// only if the entry's own region has none.
func (s *targetSelection) rank() {
	q := s.query
	filters := []placement.Filter{placement.NotDraining, placement.Except(q.excluded), s.usable}
	ownRegion := placement.InRegion(s.entry.settings.Self.Region)
	indices := placement.Apply(s.runners, nil, append(filters, ownRegion)...)
	if len(indices) == 0 {
		indices = placement.Apply(s.runners, nil, filters...)
	}
	switch q.preference.Policy {
	case policyRandom, policyLeastLoad:
		rand.Shuffle(len(indices), func(i, j int) { indices[i], indices[j] = indices[j], indices[i] })
		s.ranked = indices
		return
	}
	levels, limit := q.chain.Levels, maxQueriedAgents
	switch q.preference.Policy {
	case policyOracle:
		limit = len(indices)
	case policyPrefixHash:
		limit = len(indices)
		levels = levels[:min(1, len(levels))]
	}
	ranker := rankers.Get().(*placement.Ranker)
	defer rankers.Put(ranker)
	s.ranked = ranker.Rank(s.runners, indices, levels, q.preference.LevelWidths, limit)
}

func (s *targetSelection) usable(r *placement.Runner) bool {
	if s.query.waits {
		return s.entry.health.allowWaiting(r.Name)
	}
	return s.entry.health.allowRequest(r.Name)
}

// Baseline policies for comparison with the default one.
const (
	policyRandom     = "random"
	policyLeastLoad  = "least-load"
	policyPrefixHash = "prefix-hash"
	policyOracle     = "oracle"
)

// selectTarget returns the index in ranked of the runner to use, or -1.
func (s *targetSelection) selectTarget(ctx context.Context) int {
	if len(s.ranked) == 0 {
		return -1
	}
	p := s.query.preference
	weights := placement.CostWeights{Miss: p.MissWeight, Wait: p.WaitWeight}
	switch p.Policy {
	case policyRandom:
		return 0
	case policyPrefixHash:
		return s.selectWithinLoadBound()
	case policyLeastLoad:
		s.queryFirst(ctx, len(s.ranked))
		return placement.Pick(s.estimates, 0, placement.CostWeights{Wait: 1})
	case policyOracle:
		s.queryFirst(ctx, len(s.ranked))
		placement.FillPrefillRates(s.estimates)
		return placement.Pick(s.estimates, s.query.chain.Tokens, weights)
	}
	return s.queryInBatches(ctx, weights)
}

// selectWithinLoadBound returns the first ranked runner whose load is near the mean.
func (s *targetSelection) selectWithinLoadBound() int {
	for i, at := range s.ranked {
		load, mean := s.entry.health.load(s.runners[at].Name, len(s.runners))
		if float64(load) <= maxLoadRatio*mean+1 {
			return i
		}
	}
	return 0
}

// queryInBatches queries the first ranked runners, and further ones while the best
// estimate exceeds WidenWaitMS because of queueing or prefill: a lower-ranked
// runner may have the prefix cached or be less loaded.
func (s *targetSelection) queryInBatches(ctx context.Context, weights placement.CostWeights) int {
	limit := float64(s.query.preference.WidenWaitMS) / 1000
	best := -1
	for len(s.estimates) < min(maxQueriedAgents, len(s.ranked)) {
		s.queryFirst(ctx, min(len(s.estimates)+s.query.preference.Candidates, len(s.ranked)))
		placement.FillPrefillRates(s.estimates)
		best = placement.Pick(s.estimates, s.query.chain.Tokens, weights)
		if best >= 0 && placement.TimeToFirstToken(s.estimates[best], s.query.chain.Tokens) <= limit {
			break
		}
	}
	return best
}

// queryFirst queries the agents up to the n-th ranked one that were not queried yet,
// in parallel.
func (s *targetSelection) queryFirst(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, settings.Millis(s.entry.settings.Routing.AskTimeoutMS))
	defer cancel()
	from := len(s.estimates)
	s.estimates = append(s.estimates, make([]placement.Estimate, n-from)...)
	request := s.newAskRequest()
	request.Asked = uint32(n - from)
	var wg sync.WaitGroup
	for i := from; i < n; i++ {
		wg.Go(func() { s.estimates[i] = s.queryAgent(ctx, s.runners[s.ranked[i]], request) })
	}
	wg.Wait()
}

func (s *targetSelection) newAskRequest() *keelv1.AskRequest {
	q := s.query
	req := &keelv1.AskRequest{
		PromptTokens:   uint32(q.chain.Tokens),
		Priority:       uint32(q.priority),
		Reservation:    s.reservation,
		ConfigRevision: uint64(s.table.snapshot().Revision),
		Weights:        prefix.NameHash(q.weights),
		Root:           q.root,
		Customer:       q.customer,
		Truth:          q.preference.Policy == policyOracle,
		Bound:          q.bound,
		Build:          q.build,
	}
	req.BoundaryHash, req.BoundaryTokens = encodeChain(q.chain)
	return req
}

func encodeChain(c prefix.Chain) ([]uint64, []uint32) {
	hashes := make([]uint64, len(c.Boundaries))
	tokens := make([]uint32, len(c.Boundaries))
	for i, b := range c.Boundaries {
		hashes[i] = b.Hash
		tokens[i] = uint32(b.Tokens)
	}
	return hashes, tokens
}

func (s *targetSelection) queryAgent(ctx context.Context, r placement.Runner, request *keelv1.AskRequest) placement.Estimate {
	e := s.entry
	peer := e.links.Peer(s.table.agentURL[r.Name])
	clients := peer.Clients()
	response, err := clients.Agent.Ask(ctx, connect.NewRequest(request))
	if errors.Is(ctx.Err(), context.Canceled) {
		// The request was canceled; this says nothing about the health of the agent.
		return placement.Estimate{}
	}
	if err != nil {
		e.metrics.askFailures.Inc()
		e.health.recordFailure(r.Name)
		peer.Reconnect(clients)
		return placement.Estimate{}
	}
	e.health.recordSuccess(r.Name)
	e.rollouts.recordWeights(r.Name, response.Msg.Weights)
	e.follower.Hint(int64(response.Msg.ConfigRevision))
	estimate := placement.Estimate{
		Ready:           response.Msg.Ready,
		CachedTokens:    int(response.Msg.CachedTokens),
		WaitSeconds:     float64(response.Msg.WaitUs) / 1e6,
		PrefillRate:     float64(response.Msg.PrefillRate),
		LifetimeSeconds: float64(response.Msg.LifetimeMs) / 1000,
		PenaltySeconds:  e.health.penalty(r.Name).Seconds(),
	}
	if r.DataCentre != e.settings.Self.DataCentre {
		estimate.NetworkSeconds = e.settings.Routing.OtherDataCentreMS / 1000
	}
	return estimate
}
