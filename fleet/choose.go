package fleet

import (
	"time"

	"acaciakeel/forecast"
	"acaciakeel/placement"
	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// Query describes a request for which a target is chosen.
type Query struct {
	Service string
	// Model is empty for plain requests, for which Chain is nil. Chain returns the
	// prompt's chain of parts under a version of the weights.
	Model string
	Chain func(weights int64) prefix.Chain
	// InputTokens is the number of prompt tokens, MaxOutputTokens the most that may be
	// generated.
	InputTokens     int
	MaxOutputTokens int
	// Objective is the requested time to first token.
	Objective time.Duration
	// Class is the request's priority class; see PriorityClass.
	Class int
	// MaxEventGap is the longest pause between two events of a stream for which its
	// response is on time; 0 if the route sets none.
	MaxEventGap time.Duration
	// Tried are instances that must not be chosen again; a later one of the same target
	// may.
	Tried []Instance
	// BuildBound limits the choice to targets whose software version is Build: the request
	// continues a stream that one of them began.
	BuildBound bool
	Build      string
	// Builds limits the choice to targets of these software versions; empty allows all. It does
	// not apply to a request that is bound to one.
	Builds []string
	// ListOutdated is set if the list of targets has not been confirmed recently. A request
	// that is bound to a software version then only goes to targets that were heard from.
	ListOutdated bool
	// Capacity is a target's memory for runs and cached parts, in tokens; 0 is unknown.
	Capacity int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// MaxStaleness is for how long targets with older weights may start requests after
	// newer ones became desired.
	MaxStaleness time.Duration
	CostWeights  placement.CostWeights
	// Isolate asks for the target with the fewest requests outside of Avoid. If all
	// targets are in Avoid, the request is placed as usual, unless AlwaysIsolate is set.
	Isolate       bool
	AlwaysIsolate bool
	Avoid         []Instance

	// long and light are set by Choose; see isLong and isLight.
	long  bool
	light bool
	// targets is how many targets the service has that could take the request; set by
	// Choose.
	targets int
}

// Choice is the target chosen for one request.
type Choice struct {
	Target Target
	Model  string
	// WeightsVersion is the version that the target is assumed to have; 0 for plain
	// requests.
	WeightsVersion int64
	Chain          prefix.Chain
	// SharedTokens is the length of the prefix that the prompt shares with other
	// requests.
	SharedTokens int
	// CachedTokens is how many prompt tokens are assumed to need no prefill at the
	// target.
	CachedTokens int
	// Wait is the expected wait before the request starts, FirstToken the expected time
	// to its first token.
	Wait       time.Duration
	FirstToken time.Duration
	// PrefillTime is the expected time to prefill the tokens that are not cached.
	PrefillTime time.Duration
	// ExpectedPause is the expected time between two events of the stream at the target; 0 if
	// its route sets no bound.
	ExpectedPause time.Duration
	// Pace is the target's pace as the choice assumed it.
	Pace Pace
	// Reliable is set if FirstToken rests on enough samples to refuse a request because
	// of it.
	Reliable bool
	// Source is the address of another target or store from which the chosen one should
	// fetch parts; empty for none. FetchTokens is how many more tokens the source is
	// assumed to hold, 0 if it is asked without being known to hold any, and Transfer is
	// what has to be moved.
	Source      string
	FetchTokens int
	Transfer    forecast.KVTransfer
	// Long is set for requests that are expected to hold a slot for longer than a load of
	// weights takes.
	Long bool
	// SaveTo is the address of the store that should get the prompt's parts; empty if it
	// has them.
	SaveTo string
	// Targets is how many targets could take the request; 0 for plain requests.
	Targets int
}

// Costs and bounds of the choice.
const (
	// crossDataCentreCost is the cost of a target in another data centre: a round trip
	// takes 1 ms, and the traffic is billed.
	crossDataCentreCost = 2 * time.Millisecond
	// staleWeightsGrace is for how long older weights cost nothing: an answer computed
	// with them earns full credit until 1.5 s after newer ones were acknowledged.
	staleWeightsGrace = 1500 * time.Millisecond
	// staleWeightsCost is the cost of older weights after that: the answer loses a fifth
	// of its credit, which counts as much as waiting for a large part of the usual
	// objective.
	staleWeightsCost = 150 * time.Millisecond
	// evictionCostFactor is the fraction of the prefill time of fetched tokens that is
	// charged for the parts that they evict from the target's cache and that other
	// requests may need.
	evictionCostFactor = 0.5
	// maxCompared is how many of the ranked targets are compared at most: the ranking says
	// nothing about targets further down, and the load evens out among this many.
	// minCompared is the least number compared, however many recent choices of other
	// processes are unknown here; see comparedCount.
	maxCompared = 24
	minCompared = 6
)

// Choose picks a target; ok is false if none may be used.
func (f *Fleet) Choose(q Query, now time.Time) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(q.Service)
	if g == nil {
		return Choice{}, false
	}
	indices := f.usableTargets(q, g, now)
	if len(indices) == 0 {
		return Choice{}, false
	}
	if indices = responsive(g, indices, now); len(indices) == 0 {
		return Choice{}, false
	}
	q.targets = len(indices)
	if q.Isolate && !f.disabled[policy.SuspectIsolation] {
		if c, ok := f.chooseIsolated(q, g, indices, now); ok {
			return c, true
		}
	}
	if q.Model == "" {
		return f.chooseLeastLoaded(q, g, indices, now), true
	}
	q.long, q.light = f.isLong(q), f.isLight(q, now)
	f.engine(q.Service).ObserveStreamBound(q.MaxEventGap, now)
	if q.long {
		f.engine(q.Service).ObserveLongRun(now)
	}
	if q.long && !f.disabled[policy.Packing] {
		if s := f.choosePacked(q, g, indices, now); s != nil {
			return f.newChoice(q, s, map[int64]prefix.Chain{}, fetch{}, now), true
		}
	}
	return f.chooseByCache(q, g, indices, now), true
}

// chooseLeastLoaded picks the target with the least expected wait.
func (f *Fleet) chooseLeastLoaded(q Query, g *group, indices []int32, now time.Time) Choice {
	best, bestCost := g.states[indices[0]], time.Duration(-1)
	for _, i := range indices {
		s := g.states[i]
		// The millisecond for each of this process's requests, and for this one, spreads
		// requests over idle targets by their pace.
		work := f.queueWait(q, s, now) + time.Duration(s.inflight+1)*time.Millisecond
		cost := f.pace(s, now).Stretch(work) + s.health.Penalty(now) + f.linkCost(s)
		if bestCost < 0 || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	pace := f.pace(best, now)
	return Choice{Target: best.target, Wait: pace.Stretch(f.queueWait(q, best, now)), Pace: pace}
}

func (f *Fleet) linkCost(s *targetState) time.Duration {
	if s.target.Zone == f.zone {
		return 0
	}
	return crossDataCentreCost
}

// chooseByCache ranks the targets by rendezvous hashing of the deepest shared part, and
// picks the one with the least expected cost.
func (f *Fleet) chooseByCache(q Query, g *group, indices []int32, now time.Time) Choice {
	reserved := f.reservedForLight(q, g, indices, now)
	own := f.division(q, indices, reserved)
	c := f.chooseAmong(q, g, own, reserved, now)
	if len(own) < len(indices) && c.Wait.Seconds() > maxDivisionWait*q.Objective.Seconds() {
		if all := f.chooseAmong(q, g, indices, reserved, now); all.Wait < c.Wait {
			c = all
		}
	}
	f.engine(q.Service).ObserveArrival(c.PrefillTime, q.light, now)
	return c
}

// chooseAmong is chooseByCache for some of the targets.
func (f *Fleet) chooseAmong(q Query, g *group, indices []int32, reserved map[int32]bool, now time.Time) Choice {
	newest := f.desired[q.Model].newest()
	chain := q.Chain(newest)
	var o placement.Ranker
	order := o.Rank(g.candidates, indices, chain.Levels, nil, min(f.comparedCount(q, len(indices), now), len(indices)))
	estimates := make([]placement.Estimate, len(order))
	fetches := make([]fetch, len(order))
	chains := map[int64]prefix.Chain{newest: chain}
	locations := map[int64]partLocations{}
	e := f.engine(q.Service)
	heavy := e.OfferedLoad(now).MeanHeavyPrefill()
	first := true
	for i, at := range order {
		s := g.states[at]
		estimates[i], fetches[i] = f.estimate(q, s, chains, f.cachedLocations(locations, q, g, order, s, chains, now), now)
		prefill := e.PrefillTime(chain.Tokens-estimates[i].CachedTokens, chain.Tokens, now)
		mismatch := mismatchCost(q, reserved, at, prefill, heavy)
		if q.MaxEventGap > 0 && !f.disabled[policy.EventPauses] {
			mismatch /= boundedMismatchDivisor
		}
		estimates[i].PenaltySeconds += mismatch.Seconds()
		if first && s.totalOccupancy(now).Long == 0 && (len(reserved) == 0 || reserved[at] == q.light) {
			// Every process sends a prefix to the first target of its ranking that has no
			// long runs, so part of the prefix is likely cached there even if this process
			// has not learned of it. Half of it is assumed.
			estimates[i].CachedTokens = max(estimates[i].CachedTokens, sharedTokens(chain)/2)
			first = false
		}
	}
	best := placement.Pick(estimates, chain.Tokens, q.CostWeights)
	c := f.newChoice(q, g.states[order[best]], chains, fetches[best], now)
	f.fillEstimates(&c, q, estimates[best], chain.Tokens, now)
	return c
}

// fillEstimates sets the expected times of a choice from the estimate for its target.
func (f *Fleet) fillEstimates(c *Choice, q Query, a placement.Estimate, tokens int, now time.Time) {
	e := f.engine(q.Service)
	c.Wait = time.Duration(a.WaitSeconds * float64(time.Second))
	c.FirstToken = c.Pace.Stretch(e.BaseLatency(now)) + time.Duration(placement.TimeToFirstToken(a, tokens)*float64(time.Second))
	c.PrefillTime = e.PrefillTime(max(0, tokens-a.CachedTokens), tokens, now)
	c.Reliable = e.HasEnoughSamples()
}

// cachedLocations returns where a prompt's parts are cached under a target's weights,
// computed once for all targets with the same version.
func (f *Fleet) cachedLocations(known map[int64]partLocations, q Query, g *group, order []int32, s *targetState, chains map[int64]prefix.Chain, now time.Time) partLocations {
	weights := s.version(q.Model)
	h, ok := known[weights]
	if !ok {
		h = f.locateParts(g, order, q.Model, weights, q.chainFor(chains, weights), now)
		known[weights] = h
	}
	return h
}

// newChoice returns the choice of a target for a request. The prompt's chains are
// computed once for each version of the weights and kept in chains.
func (f *Fleet) newChoice(q Query, s *targetState, chains map[int64]prefix.Chain, from fetch, now time.Time) Choice {
	weights := s.version(q.Model)
	c := Choice{Target: s.target, Model: q.Model, WeightsVersion: weights, Chain: q.chainFor(chains, weights), Long: q.long, Pace: f.pace(s, now), Targets: q.targets}
	if q.MaxEventGap > 0 {
		c.ExpectedPause = f.expectedPause(q, s, c.Pace, now)
	}
	c.SharedTokens = sharedTokens(c.Chain)
	c.CachedTokens = s.cache.cachedTokens(c.Chain)
	c.Source, c.FetchTokens, c.Transfer = from.source, from.tokens, from.transfer
	if c.Source == "" && c.SharedTokens >= minTransferTokens && c.CachedTokens < c.SharedTokens {
		// No target is known to hold more, but another process may just have had the
		// prompt prefilled and saved in a store. Asking a store that lacks it costs a
		// millisecond.
		c.Source, _ = f.storeFor(c.Chain.Levels[len(c.Chain.Levels)-1].Hash)
	}
	c.SaveTo = f.saveTo(c.Chain, s.target.ID, now)
	return c
}

func (q Query) chainFor(chains map[int64]prefix.Chain, weights int64) prefix.Chain {
	c, ok := chains[weights]
	if !ok {
		c = q.Chain(weights)
		chains[weights] = c
	}
	return c
}

// estimate returns what a prompt is expected to cost at a target, and the transfer of
// cached parts that it would start with.
func (f *Fleet) estimate(q Query, s *targetState, chains map[int64]prefix.Chain, locations partLocations, now time.Time) (placement.Estimate, fetch) {
	weights := s.version(q.Model)
	chain := q.chainFor(chains, weights)
	cached := s.cache.cachedTokens(chain)
	e := f.engine(q.Service)
	var from fetch
	if !f.disabled[policy.CacheFetching] {
		from = f.bestFetch(locations, e, s, cached, chain.Tokens, now)
	}
	a := placement.Estimate{
		Ready:          true,
		CachedTokens:   cached + from.tokens,
		PenaltySeconds: s.health.Penalty(now).Seconds(),
		NetworkSeconds: f.linkCost(s).Seconds(),
	}
	if from.transfer.FromTarget == 0 {
		a.NetworkSeconds += f.crossDataCentreFetchCost(q, chain, s, cached).Seconds()
	}
	a.NetworkSeconds += evictionCostFactor * e.BacklogTime(from.tokens, now).Seconds()
	pace := f.pace(s, now)
	wait := f.expectedWait(q, s, cached, now)
	if missing := chain.Tokens - a.CachedTokens; missing > 0 {
		prefill := pace.Stretch(wait+e.PrefillTime(missing, chain.Tokens, now)) - pace.Stretch(wait)
		a.PrefillRate = float64(missing) / prefill.Seconds()
	}
	a.WaitSeconds = (e.TransferTime(from.transfer, now) + pace.Stretch(wait)).Seconds()
	a.PenaltySeconds += (pace.Stretch(e.BaseLatency(now)) - e.BaseLatency(now)).Seconds()
	if f.desired[q.Model].staleFor(weights, now) > staleWeightsGrace {
		a.PenaltySeconds += staleWeightsCost.Seconds()
	}
	a.PenaltySeconds += f.pauseCost(q, s, max(0, chain.Tokens-a.CachedTokens), pace, now).Seconds() + f.displacementCost(q, s, cached, now).Seconds()
	return a, from
}

func sharedTokens(chain prefix.Chain) int {
	if len(chain.Levels) == 0 {
		return 0
	}
	return chain.Levels[len(chain.Levels)-1].Tokens
}
