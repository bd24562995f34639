package fleet

import (
	"slices"
	"time"

	"acaciakeel/forecast"
	"acaciakeel/health"
	"acaciakeel/placement"
	"acaciakeel/policy"
	"acaciakeel/prefix"
)

// Query is what a choice rests on.
type Query struct {
	Service string
	// Model is empty for plain requests; Chain is nil then.
	Model string
	Chain func(weights int64) prefix.Chain
	// InputTokens is the number of prompt tokens, Output the most that may be generated.
	InputTokens     int
	MaxOutputTokens int
	// Objective is the time to the first token that is asked for.
	Objective time.Duration
	// Tried are lives of targets that must not be chosen again; a later one may.
	Tried []Instance
	// Capacity is a target's memory for runs and cached parts, in tokens; 0 is unknown.
	Capacity int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// MaxStaleness is for how long after newer weights were named runners
	// with older ones may begin requests.
	MaxStaleness time.Duration
	CostWeights  placement.CostWeights
	// Isolate asks for the target at which the fewest others run, and Apart are targets
	// to be left out if any other may be used. AtAnyRate asks for that also where all
	// targets are among those.
	Isolate       bool
	AlwaysIsolate bool
	Avoid         []Instance

	long  bool
	light bool
}

// Choice is a target for one request.
type Choice struct {
	Target Target
	Model  string
	// WeightsVersion is the version that the runner is believed to have; 0 for plain requests.
	WeightsVersion int64
	Chain          prefix.Chain
	// SharedTokens is how many prompt tokens other requests have in common with it.
	SharedTokens int
	// CachedTokens is how many prompt tokens are believed to need no prefill there.
	CachedTokens int
	// Wait is the expected wait before the request begins, FirstToken that to
	// its first token.
	Wait       time.Duration
	FirstToken time.Duration
	// PrefillTime is the time that its runner takes to read what it lacks.
	PrefillTime time.Duration
	// Reliable is set where FirstToken rests on enough that was observed for a
	// request to be refused by it.
	Reliable bool
	// Source is the address of another runner or store for the chosen one to fetch
	// parts from; empty where there is none. Fetched is how many tokens more it is
	// believed to hold, 0 where it is asked on the chance, and Moved what that
	// takes.
	Source      string
	FetchTokens int
	Transfer    forecast.KVTransfer
	// Long is set for requests that are expected to hold a slot for longer than a
	// load of weights takes.
	Long bool
	// SaveTo is the address of a store that is to get the prompt's parts; empty
	// where it has them.
	SaveTo string
}

// Figures of the cost.
const (
	// otherZone is the cost of another zone: one millisecond there and back,
	// and bytes between zones are paid for.
	otherZone = 2 * time.Millisecond
	// oldWeightsGrace is for how long older weights cost nothing: an answer on
	// them is worth full credit until 1.5 s after newer ones were acknowledged.
	oldWeightsGrace = 1500 * time.Millisecond
	// oldWeightsCost is what older weights cost then: a fifth of the credit,
	// weighed as waiting for a good part of the usual objective.
	oldWeightsCost = 150 * time.Millisecond
	// displaced is the part of the time to read fetched tokens that they cost by
	// what they push out of the runner's cache, which others may ask for.
	displaced = 0.5
	// askedMost is how many of the ranked targets are compared: beyond these
	// the rank says nothing, and load evens out among them. askedLeast is how many
	// are compared however much is unseen.
	askedMost  = 24
	askedLeast = 6
)

// Choose picks a target; ok is false where none may be used.
func (f *Fleet) Choose(q Query, now time.Time) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(q.Service)
	if g == nil {
		return Choice{}, false
	}
	usable := func(r *placement.Runner) bool {
		s := f.states[r.Name]
		return s.rest.left(now) == 0 && f.open(s, now) && f.usable(q, s, now)
	}
	indices := placement.Apply(g.placed, nil, placement.NotDraining, placement.Except(f.present(q.Tried)), usable)
	if len(indices) == 0 {
		return Choice{}, false
	}
	indices = answering(g, indices)
	if q.Isolate && !f.off[policy.SuspectIsolation] {
		if c, ok := f.chooseAlone(q, g, indices, now); ok {
			return c, true
		}
	}
	if q.Model == "" {
		return f.chooseIdle(g, indices, now), true
	}
	q.long, q.light = f.long(q), f.light(q, now)
	if q.long {
		f.engine(q.Service).ObserveLongRun(now)
	}
	if q.long && !f.off[policy.Packing] {
		if s := f.chooseDense(q, g, indices, now); s != nil {
			return f.choice(q, s, map[int64]prefix.Chain{}, fetch{}, now), true
		}
	}
	return f.chooseCached(q, g, indices, now), true
}

// answering leaves out the targets that answer nothing, unless that is all of
// them: then it is more likely this process that is cut off for a moment.
func answering(g *group, indices []int32) []int32 {
	var out []int32
	for _, i := range indices {
		if !g.states[i].silent {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		return indices
	}
	return out
}

// usable reports whether a target may be asked. A dead one may now and then: then it has
// to be, as the next time comes later.
func (f *Fleet) usable(q Query, s *state, now time.Time) bool {
	return f.fits(q, s, now) && (s.health.State(now) != health.Dead || s.health.AllowRequest(now))
}

// healthy reports whether a target may be asked that is not dead.
func (f *Fleet) healthy(q Query, s *state, now time.Time) bool {
	return f.fits(q, s, now) && s.health.State(now) != health.Dead
}

// fits reports whether a target has weights that serve, and no order under way.
func (f *Fleet) fits(q Query, s *state, now time.Time) bool {
	if q.Model == "" {
		return true
	}
	return f.named[q.Model].behindFor(s.version(q.Model), now) <= q.MaxStaleness && !now.Before(s.busyUntil)
}

// chooseIdle picks the target with the least expected wait.
func (f *Fleet) chooseIdle(g *group, indices []int32, now time.Time) Choice {
	best, bestCost := g.states[indices[0]], time.Duration(-1)
	for _, i := range indices {
		s := g.states[i]
		cost := f.queueWait(s, now) + s.health.Penalty(now) + f.linkCost(s)
		cost += time.Duration(s.inflight) * time.Millisecond
		if bestCost < 0 || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return Choice{Target: best.runner, Wait: f.queueWait(best, now)}
}

// chooseAlone picks the target at which the fewest requests run, for a request that may
// end it: whatever it finds cached elsewhere is not worth the work of others. Targets
// where another such request is come last, so that it shows which of them it was. With
// one at each target keeping them apart is in vain, and ok is false, unless it has to be
// at any rate: when a dozen targets end together, hundreds are suspect for a moment, and
// prompts read anew for each would cost the others more.
func (f *Fleet) chooseAlone(q Query, g *group, indices []int32, now time.Time) (c Choice, ok bool) {
	apart := placement.Except(f.present(q.Avoid))
	rest := slices.DeleteFunc(slices.Clone(indices), func(i int32) bool { return !apart(&g.placed[i]) })
	if len(rest) == 0 {
		if !q.AlwaysIsolate {
			return Choice{}, false
		}
		rest = indices
	}
	best := slices.MinFunc(rest, func(a, b int32) int {
		return g.states[a].busy(now) - g.states[b].busy(now)
	})
	if q.Model == "" {
		return f.chooseIdle(g, []int32{best}, now), true
	}
	return f.choice(q, g.states[best], map[int64]prefix.Chain{}, fetch{}, now), true
}

func (f *Fleet) linkCost(s *state) time.Duration {
	if s.runner.Zone == f.zone {
		return 0
	}
	return otherZone
}

// chooseCached ranks the targets by rendezvous of the deepest part that other
// requests share, and takes the one with the least expected cost.
func (f *Fleet) chooseCached(q Query, g *group, indices []int32, now time.Time) Choice {
	newest := f.named[q.Model].newest()
	chain := q.Chain(newest)
	var o placement.Ranker
	order := o.Rank(g.placed, indices, chain.Levels, nil, min(f.compared(q, len(indices), now), len(indices)))
	answers := make([]placement.Estimate, len(order))
	fetches := make([]fetch, len(order))
	chains := map[int64]prefix.Chain{newest: chain}
	holdings := map[int64]holding{}
	kept := f.keptLight(q, g, indices, now)
	e := f.engine(q.Service)
	heavy := e.OfferedLoad(now).MeanHeavyPrefill()
	first := true
	for i, at := range order {
		s := g.states[at]
		answers[i], fetches[i] = f.answer(q, s, chains, f.holding(holdings, q, g, order, s, chains, now), now)
		reading := e.PrefillTime(chain.Tokens-answers[i].CachedTokens, chain.Tokens, now)
		answers[i].PenaltySeconds += apart(q, kept, at, reading, heavy).Seconds()
		if first && s.sum(now).Long == 0 && (len(kept) == 0 || kept[at] == q.light) {
			// Every process sends a prefix to the first in its order that has no
			// long runs, so what this one does not know of is likely to be there.
			answers[i].CachedTokens = max(answers[i].CachedTokens, sharedTokens(chain)/2)
			first = false
		}
	}
	best := placement.Pick(answers, chain.Tokens, q.CostWeights)
	c := f.choice(q, g.states[order[best]], chains, fetches[best], now)
	f.expect(&c, q, answers[best], chain.Tokens, now)
	return c
}

// expect fills in what is expected of a choice by its target's answer.
func (f *Fleet) expect(c *Choice, q Query, a placement.Estimate, tokens int, now time.Time) {
	e := f.engine(q.Service)
	c.Wait = time.Duration(a.WaitSeconds * float64(time.Second))
	c.FirstToken = e.BaseLatency(now) + time.Duration(placement.TimeToFirstToken(a, tokens)*float64(time.Second))
	c.PrefillTime = e.PrefillTime(max(0, tokens-a.CachedTokens), tokens, now)
	c.Reliable = e.HasEnoughSamples()
	e.ObserveArrival(c.PrefillTime, q.light, now)
}

// holding returns where a prompt's parts under a runner's weights are, worked out
// once for all runners with the same.
func (f *Fleet) holding(known map[int64]holding, q Query, g *group, order []int32, s *state, chains map[int64]prefix.Chain, now time.Time) holding {
	weights := s.version(q.Model)
	h, ok := known[weights]
	if !ok {
		h = f.holdingOf(g, order, q.Model, weights, q.chainOf(chains, weights), now)
		known[weights] = h
	}
	return h
}

// choice fills in what a request needs to know of its target; chains are those
// worked out before, by weights.
func (f *Fleet) choice(q Query, s *state, chains map[int64]prefix.Chain, from fetch, now time.Time) Choice {
	weights := s.version(q.Model)
	c := Choice{Target: s.runner, Model: q.Model, WeightsVersion: weights, Chain: q.chainOf(chains, weights), Long: q.long}
	c.SharedTokens = sharedTokens(c.Chain)
	c.CachedTokens = s.cache.tokens(c.Chain)
	c.Source, c.FetchTokens, c.Transfer = from.source, from.tokens, from.moved
	if c.Source == "" && c.SharedTokens >= movedLeast && c.CachedTokens < c.SharedTokens {
		// Nobody is known to hold more; another process may just have had the prompt
		// read and kept. A miss costs a millisecond.
		c.Source, _ = f.storeOf(c.Chain.Levels[len(c.Chain.Levels)-1].Hash)
	}
	c.SaveTo = f.saveTo(c.Chain, s.runner.ID, now)
	return c
}

func (q Query) chainOf(chains map[int64]prefix.Chain, weights int64) prefix.Chain {
	c, ok := chains[weights]
	if !ok {
		c = q.Chain(weights)
		chains[weights] = c
	}
	return c
}

// answer returns what is expected of a prompt at a runner, with the transfer that
// it would begin with.
func (f *Fleet) answer(q Query, s *state, chains map[int64]prefix.Chain, h holding, now time.Time) (placement.Estimate, fetch) {
	weights := s.version(q.Model)
	chain := q.chainOf(chains, weights)
	cached := s.cache.tokens(chain)
	e := f.engine(q.Service)
	var from fetch
	if !f.off[policy.CacheFetching] {
		from = f.bestFetch(h, e, s, cached, chain.Tokens, now)
	}
	a := placement.Estimate{
		Ready:          true,
		CachedTokens:   cached + from.tokens,
		PenaltySeconds: s.health.Penalty(now).Seconds(),
		NetworkSeconds: f.linkCost(s).Seconds(),
	}
	if from.moved.FromTarget == 0 {
		a.NetworkSeconds += f.farFetch(q, chain, s, cached).Seconds()
	}
	a.NetworkSeconds += displaced * e.BacklogTime(from.tokens, now).Seconds()
	if missing := chain.Tokens - a.CachedTokens; missing > 0 {
		a.PrefillRate = float64(missing) / e.PrefillTime(missing, chain.Tokens, now).Seconds()
	}
	total := s.sum(now)
	a.WaitSeconds = (e.TransferTime(from.moved, now) + e.BacklogTime(total.PrefillTokens, now) + f.queueWait(s, now)).Seconds()
	if f.named[q.Model].behindFor(weights, now) > oldWeightsGrace {
		a.PenaltySeconds += oldWeightsCost.Seconds()
	}
	a.WaitSeconds += f.memoryWait(q, total, EstimateHeldTokens(q.InputTokens, cached, q.MaxOutputTokens), now).Seconds()
	if !q.long {
		beside := time.Duration(total.Long) * besideLong
		a.PenaltySeconds += min(beside, besideMost).Seconds()
	}
	return a, from
}

func sharedTokens(chain prefix.Chain) int {
	if len(chain.Levels) == 0 {
		return 0
	}
	return chain.Levels[len(chain.Levels)-1].Tokens
}

// slotTime is how long one request is taken to hold a slot, where the wait for
// a full target is worked out: the order of the services' mean.
const slotTime = 300 * time.Millisecond

// queueWait returns the expected wait for a slot.
func (f *Fleet) queueWait(s *state, now time.Time) time.Duration {
	slots := s.runner.Slots
	if slots == 0 {
		return 0
	}
	busy := s.busy(now)
	if busy < slots {
		return 0
	}
	return slotTime * time.Duration(busy-slots+1) / time.Duration(slots)
}

// busy returns how many requests a target has, by the most that anybody says.
func (s *state) busy(now time.Time) int {
	return max(s.sum(now).Inflight, s.toldBusy(now))
}

// toldBusy returns how many requests a target has by its own last word and what this
// process sent since. A word of a queue holds until that is likely worked off: one
// process out of a hundred hears of a full target when it is turned away there, and
// would be again a moment later.
func (s *state) toldBusy(now time.Time) int {
	age := now.Sub(s.loadAt)
	queue := s.load.Running + s.load.Waiting - s.runner.Slots
	left := s.load.Running + s.load.Waiting
	if age >= loadValid {
		if queue <= 0 {
			return 0
		}
		left -= int(int64(s.runner.Slots) * int64(age) / int64(slotTime))
	}
	return s.inflight + max(0, left-s.ownAtLoad)
}
