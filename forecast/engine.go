// Package forecast learns, from what a service's answers show, how fast its
// engines read prompts, how long runs hold a slot, and how long a load of
// weights takes, and works out from that what is to be expected of the next
// request. It has no clock of its own and is not safe for concurrent use.
//
// Rates measured for each runner alone feed back on themselves: a runner that
// is taken for slow gets less to do and is measured at other moments than one
// that is taken for fast. Here one set of figures is fitted to all runners of a
// service, what waits before a request counts among what is read, and a request
// that mostly waited says nothing.
package forecast

import (
	"math"
	"time"
)

// memory is after what time of observing an observation counts for a third: an
// engine that is replaced by another is known within two or three times that,
// and the few long prompts of a fleet still add up.
const memory = 4 * time.Second

// PrefillSample is one request's way to its first token.
type PrefillSample struct {
	// UncachedTokens is how many of its prompt's tokens were to be read there, Prompt
	// how many it has in all.
	UncachedTokens int
	PromptTokens   int
	// QueuedTokens is how many tokens of other prompts were to be read before.
	QueuedTokens int
	// Transferred is what was to be moved there before.
	Transferred KVTransfer
	// TimeToFirstToken is the time from sending it to its first token.
	TimeToFirstToken time.Duration
}

// KVTransfer is how many tokens are moved to a runner from another one or from a store
// of kept parts, each as often as its way takes longer than within one zone.
type KVTransfer struct {
	FromTarget int
	FromStore  int
}

// Coefficients are what is known of a service's engines, in seconds.
type Coefficients struct {
	// Base is the time to the first token of a prompt that needs no reading.
	Base float64
	// PerKiloToken is the time to read a thousand tokens, Pairs that by which a million
	// pairs of tokens, of which each attends to the other, prolongs it.
	PerKiloToken float64
	PerMegaPair  float64
	// TargetTransfer and Store are the times to move a thousand tokens to a runner from
	// another one or from a store, with what waits there.
	TargetTransfer float64
	StoreTransfer  float64
}

// guess is taken until something was observed: the order of the engines of
// today. Nobody is refused by it (Engine.Known).
var guess = Coefficients{Base: 0.05, PerKiloToken: 0.016, TargetTransfer: 0.001, StoreTransfer: 0.004}

// Bounds of a fit.
const (
	// leastToken is the least time for a thousand tokens: no engine reads two
	// million a second.
	leastToken = 0.0005
	// fixedWeight, tokenWeight, pairsWeight and movedWeight say how firmly the
	// figures of before stand against what is observed, in the units of the sums:
	// like a few short prompts, and like one of 15,000 tokens that takes half a
	// second. Ten prompts of 300 tokens, whose times differ by 20 ms for other
	// reasons, say nothing of how long one of 40,000 takes.
	fixedWeight = 100
	tokenWeight = 1000
	pairsWeight = 50000
	movedWeight = 1000
	// leastMoved is the least time to move a thousand tokens.
	leastMoved = 0.00002
)

// Estimator is what is known of one service's engines; New returns one.
type Estimator struct {
	own    Sums
	others map[string]heard
	fitted [terms]float64
	stale  bool
	seen   time.Time
	// runs is the time that runs held their slots after their first token, by the
	// tokens that they were allowed to generate.
	runs TimePerToken
	// held is the time that runs held their memory, each token of it counted.
	held TimePerToken
	// mix is the reading that this process brings, as of mixed, and begun when it
	// brought some first.
	mix   OfferedLoad
	mixed time.Time
	begun time.Time
	// WeightLoads is what is known of loads of weights.
	WeightLoads WeightLoads
}

// heard is the sums of another process, or of a group of them.
type heard struct {
	sums  Sums
	runs  TimePerToken
	mix   OfferedLoad
	at    time.Time
	group bool
}

// New returns an engine of which nothing is known.
func New() *Estimator {
	return &Estimator{others: map[string]heard{}, fitted: guess.vector()}
}

func (f Coefficients) vector() [terms]float64 {
	return [terms]float64{f.Base, f.PerKiloToken, f.PerMegaPair, f.TargetTransfer, f.StoreTransfer}
}

func (r PrefillSample) features() [terms]float64 {
	return [terms]float64{1, float64(r.UncachedTokens+r.QueuedTokens) / 1e3, pairs(r.UncachedTokens, r.PromptTokens), float64(r.Transferred.FromTarget) / 1e3, float64(r.Transferred.FromStore) / 1e3}
}

// pairs returns how many millions of pairs of tokens reading the last missing
// of a prompt's tokens takes.
func pairs(missing, prompt int) float64 {
	return float64(missing) * (float64(max(prompt, missing)) - float64(missing)/2) / 1e6
}

// Figures of which observations count how much.
const (
	// waitedMost is how many times its own tokens may have waited before a
	// request that says something of reading: beyond, its time is a matter of
	// what others know better.
	waitedMost = 1.0
	// farOff is from how many times the expectation on, up or down, a request
	// counts less, with the square: it met a runner that stood still, or one that
	// had its prompt already.
	farOff = 2.0
	// shortest is added to the expectation where errors are weighed by it: what
	// links, timers and single steps of a batch add.
	shortest = 0.03
)

// ObservePrefill takes one request's way to its first token.
func (e *Estimator) ObservePrefill(r PrefillSample, now time.Time) {
	if r.TimeToFirstToken <= 0 || float64(r.QueuedTokens) > waitedMost*float64(r.UncachedTokens+r.Transferred.FromTarget+r.Transferred.FromStore) {
		return
	}
	features := r.features()
	expected := dot(e.current(now), features)
	observed := r.TimeToFirstToken.Seconds()
	weight := 1 / ((expected + shortest) * (expected + shortest))
	off := observed / max(expected, shortest)
	if off > farOff {
		weight *= (farOff / off) * (farOff / off)
	}
	if off < 1/farOff {
		weight *= (farOff * off) * (farOff * off)
	}
	e.age(now)
	e.own.add(features, observed, weight)
	e.stale = true
}

func dot(a, b [terms]float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// age makes what was observed before count less.
func (e *Estimator) age(now time.Time) {
	share := fadeShare(now.Sub(e.seen))
	if e.seen.IsZero() {
		share = 1
	}
	e.own.fade(share)
	e.held.fade(share)
	e.runs.fade(share)
	e.seen = now
}

// current returns the figures fitted to all that was observed and heard.
func (e *Estimator) current(now time.Time) [terms]float64 {
	if !e.stale {
		return e.fitted
	}
	e.stale = false
	all := e.own
	for sender, h := range e.others {
		if now.Sub(h.at) > heardValid {
			delete(e.others, sender)
			continue
		}
		all.Merge(h.sums)
	}
	weight := [terms]float64{fixedWeight, tokenWeight, pairsWeight, movedWeight, movedWeight}
	floor := [terms]float64{0, leastToken, 0, leastMoved, leastMoved}
	e.fitted = all.fit(e.fitted, e.fitted, floor, weight)
	return e.fitted
}

// Coefficients returns what is known.
func (e *Estimator) Coefficients(now time.Time) Coefficients {
	f := e.current(now)
	return Coefficients{Base: f[0], PerKiloToken: f[1], PerMegaPair: f[2], TargetTransfer: f[3], StoreTransfer: f[4]}
}

// knownFrom is from how many observations on somebody may be refused by what
// they say.
const knownFrom = 20

// HasEnoughSamples reports whether enough was observed for a request to be refused by it.
func (e *Estimator) HasEnoughSamples() bool {
	weight := e.own.Weight
	for _, h := range e.others {
		weight += h.sums.Weight
	}
	return weight >= knownFrom
}

// BaseLatency returns the time to the first token of a prompt that needs no reading.
func (e *Estimator) BaseLatency(now time.Time) time.Duration {
	return seconds(e.current(now)[0])
}

// PrefillTime returns the time that reading the last missing of a prompt's tokens
// takes an engine that has nothing else to read.
func (e *Estimator) PrefillTime(missing, prompt int, now time.Time) time.Duration {
	f := e.current(now)
	return seconds(f[1]*float64(missing)/1e3 + f[2]*pairs(missing, prompt))
}

// TransferTime returns the time that moving parts of a prompt takes.
func (e *Estimator) TransferTime(m KVTransfer, now time.Time) time.Duration {
	f := e.current(now)
	return seconds((f[3]*float64(m.FromTarget) + f[4]*float64(m.FromStore)) / 1e3)
}

// BacklogTime returns the time that reading tokens of several prompts takes.
func (e *Estimator) BacklogTime(tokens int, now time.Time) time.Duration {
	return seconds(e.current(now)[1] * float64(tokens) / 1e3)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Max(0, s) * float64(time.Second))
}

// ObserveRun takes how long a run that was allowed to generate tokens held its slot
// after its first token.
func (e *Estimator) ObserveRun(allowed int, held time.Duration, now time.Time) {
	if allowed <= 0 || held < 0 {
		return
	}
	e.age(now)
	e.runs.Seconds += held.Seconds()
	e.runs.Tokens += float64(allowed)
}

// ObserveMemoryHold takes for how long a run held so many tokens of its target's memory.
func (e *Estimator) ObserveMemoryHold(tokens int, held time.Duration, now time.Time) {
	if tokens <= 0 || held < 0 {
		return
	}
	e.age(now)
	e.held.Seconds += held.Seconds() * float64(tokens)
	e.held.Tokens += float64(tokens)
}

// guessHeld is how long memory is taken to be held before a run was seen.
const guessHeld = 500 * time.Millisecond

// MeanMemoryHold returns for how long a token of memory is held by a run in the mean.
func (e *Estimator) MeanMemoryHold() time.Duration {
	if e.held.Tokens <= 0 {
		return guessHeld
	}
	return seconds(e.held.Seconds / e.held.Tokens)
}

// TimePerToken is a time by the tokens that it was for.
type TimePerToken struct {
	Seconds float64
	Tokens  float64
}

func (r *TimePerToken) add(other TimePerToken) {
	r.Seconds += other.Seconds
	r.Tokens += other.Tokens
}

func (r *TimePerToken) fade(share float64) {
	r.Seconds *= share
	r.Tokens *= share
}

// ExpectedSlotHold returns the time for which a run that may generate tokens is expected to
// hold its slot after its first token; ok is false where no run was seen yet.
func (e *Estimator) ExpectedSlotHold(allowed int) (held time.Duration, ok bool) {
	all := e.runs
	for _, h := range e.others {
		all.add(h.runs)
	}
	if all.Tokens <= 0 {
		return 0, false
	}
	return seconds(all.Seconds / all.Tokens * float64(allowed)), true
}
