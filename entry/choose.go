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

// question is what placement has to know of one request.
type question struct {
	customer   string
	priority   int
	model      string
	weights    string
	root       uint64
	chain      prefix.Chain
	preference resource.Preference
	// tried are the targets that must not be chosen again.
	tried []string
}

// chosen is the target of one attempt.
type chosen struct {
	name        string
	url         string
	reservation uint64
	answer      placement.Estimate
}

// Bounds of the asking.
const (
	maxAsked = 12
	// noTargetRetry is when to come back while no runner is ready.
	noTargetRetry = time.Second
	// loadBound is how far above the mean the baseline prefix-hash loads a target.
	loadBound = 1.25
)

// selection is the work of choosing for one request.
type selection struct {
	entry    *Entry
	table    *table
	question question
	runners  []placement.Runner
	order    []int32
	answers  []placement.Estimate
	// reservation is the number that agents hold time under.
	reservation uint64
}

// choose picks the target of a request by the policy of its preference.
func (e *Entry) choose(ctx context.Context, q question) (chosen, *refusal.Error) {
	began := time.Now()
	defer func() { e.metrics.choose.Observe(time.Since(began).Seconds()) }()
	t := e.table.Load()
	s := &selection{entry: e, table: t, question: q, reservation: rand.Uint64() | 1}
	if set := t.models[q.model]; set != nil {
		s.runners = set.runners
	}
	s.rank()
	best := s.decide(ctx)
	if best < 0 {
		return chosen{}, refusal.New(refusal.NoTarget, "come back after the time in Retry-After",
			"none of the %d runners of model %q is ready", len(s.runners), q.model).WithRetryAfter(noTargetRetry)
	}
	name := s.runners[s.order[best]].Name
	c := chosen{name: name, url: t.agentURL[name], reservation: s.reservation}
	if best < len(s.answers) {
		c.answer = s.answers[best]
	}
	return c, nil
}

var orderers = sync.Pool{New: func() any { return &placement.Ranker{} }}

// rank puts the usable runners into the policy's order: those of the entry's
// own region, and all where the region has none.
func (s *selection) rank() {
	q := s.question
	filters := []placement.Filter{placement.NotDraining, placement.Except(q.tried), s.usable}
	own := placement.InRegion(s.entry.settings.Self.Region)
	indices := placement.Apply(s.runners, nil, append(filters, own)...)
	if len(indices) == 0 {
		indices = placement.Apply(s.runners, nil, filters...)
	}
	switch q.preference.Policy {
	case policyRandom, policyLeastLoad:
		rand.Shuffle(len(indices), func(i, j int) { indices[i], indices[j] = indices[j], indices[i] })
		s.order = indices
		return
	}
	levels, m := q.chain.Levels, maxAsked
	switch q.preference.Policy {
	case policyOracle:
		m = len(indices)
	case policyPrefixHash:
		m = len(indices)
		levels = levels[:min(1, len(levels))]
	}
	o := orderers.Get().(*placement.Ranker)
	defer orderers.Put(o)
	s.order = o.Rank(s.runners, indices, levels, q.preference.LevelWidths, m)
}

func (s *selection) usable(r *placement.Runner) bool {
	return s.entry.opinions.usable(r.Name)
}

// The policies that are measured beside the product's own.
const (
	policyRandom     = "random"
	policyLeastLoad  = "least-load"
	policyPrefixHash = "prefix-hash"
	policyOracle     = "oracle"
)

// decide returns the index in order of the runner to use, or -1.
func (s *selection) decide(ctx context.Context) int {
	if len(s.order) == 0 {
		return -1
	}
	p := s.question.preference
	weights := placement.CostWeights{Miss: p.MissWeight, Wait: p.WaitWeight}
	switch p.Policy {
	case policyRandom:
		return 0
	case policyPrefixHash:
		return s.bounded()
	case policyLeastLoad:
		s.ask(ctx, len(s.order))
		return placement.Pick(s.answers, 0, placement.CostWeights{Wait: 1})
	case policyOracle:
		s.ask(ctx, len(s.order))
		placement.FillPrefillRates(s.answers)
		return placement.Pick(s.answers, s.question.chain.Tokens, weights)
	}
	return s.widen(ctx, weights)
}

// bounded returns the first runner in order whose load is near the mean.
func (s *selection) bounded() int {
	for i, at := range s.order {
		load, mean := s.entry.opinions.load(s.runners[at].Name, len(s.runners))
		if float64(load) <= loadBound*mean+1 {
			return i
		}
	}
	return 0
}

// widen asks the first runners in order, and the next ones as long as the
// best answer would make the caller wait, for the queue or for its prefill:
// somebody further down may hold the prefix, or have room for it.
func (s *selection) widen(ctx context.Context, weights placement.CostWeights) int {
	limit := float64(s.question.preference.WidenWaitMS) / 1000
	best := -1
	for len(s.answers) < min(maxAsked, len(s.order)) {
		s.ask(ctx, min(len(s.answers)+s.question.preference.Candidates, len(s.order)))
		placement.FillPrefillRates(s.answers)
		best = placement.Pick(s.answers, s.question.chain.Tokens, weights)
		if best >= 0 && placement.TimeToFirstToken(s.answers[best], s.question.chain.Tokens) <= limit {
			break
		}
	}
	return best
}

// ask puts the question to the agents up to the n-th in order, all at once.
func (s *selection) ask(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, settings.Millis(s.entry.settings.Routing.AskTimeoutMS))
	defer cancel()
	from := len(s.answers)
	s.answers = append(s.answers, make([]placement.Estimate, n-from)...)
	request := s.askRequest()
	request.Asked = uint32(n - from)
	var wg sync.WaitGroup
	for i := from; i < n; i++ {
		wg.Go(func() { s.answers[i] = s.askOne(ctx, s.runners[s.order[i]], request) })
	}
	wg.Wait()
}

func (s *selection) askRequest() *keelv1.AskRequest {
	q := s.question
	req := &keelv1.AskRequest{
		PromptTokens:   uint32(q.chain.Tokens),
		Priority:       uint32(q.priority),
		Reservation:    s.reservation,
		ConfigRevision: uint64(s.table.snapshot().Revision),
		Weights:        prefix.NameHash(q.weights),
		Root:           q.root,
		Customer:       q.customer,
		Truth:          q.preference.Policy == policyOracle,
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

func (s *selection) askOne(ctx context.Context, r placement.Runner, request *keelv1.AskRequest) placement.Estimate {
	e := s.entry
	peer := e.links.Peer(s.table.agentURL[r.Name])
	clients := peer.Clients()
	response, err := clients.Agent.Ask(ctx, connect.NewRequest(request))
	if errors.Is(ctx.Err(), context.Canceled) {
		// The caller left, or another answer was enough: no sign of the agent.
		return placement.Estimate{}
	}
	if err != nil {
		e.metrics.askFailures.Inc()
		e.opinions.failed(r.Name)
		peer.Reconnect(clients)
		return placement.Estimate{}
	}
	e.opinions.succeeded(r.Name)
	e.rollouts.note(r.Name, response.Msg.Weights)
	e.follower.Hint(int64(response.Msg.ConfigRevision))
	a := placement.Estimate{
		Ready:           response.Msg.Ready,
		CachedTokens:    int(response.Msg.CachedTokens),
		WaitSeconds:     float64(response.Msg.WaitUs) / 1e6,
		PrefillRate:     float64(response.Msg.PrefillRate),
		LifetimeSeconds: float64(response.Msg.LifetimeMs) / 1000,
		PenaltySeconds:  e.opinions.penalty(r.Name).Seconds(),
	}
	if r.DataCentre != e.settings.Self.DataCentre {
		a.NetworkSeconds = e.settings.Routing.OtherDataCentreMS / 1000
	}
	return a
}
