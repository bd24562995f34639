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

// decayTime is after what time of observing an observation counts for a third: an
// engine that is replaced by another is known within two or three times that,
// and the few long prompts of a fleet still add up.
const decayTime = 4 * time.Second

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

// defaultCoefficients is taken until something was observed: the order of the engines of
// today. Nobody is refused by it (Engine.Known).
var defaultCoefficients = Coefficients{Base: 0.05, PerKiloToken: 0.016, TargetTransfer: 0.001, StoreTransfer: 0.004}

// Bounds of a fit.
const (
	// minPerKiloToken is the least time for a thousand tokens: no engine reads two
	// million a second.
	minPerKiloToken = 0.0005
	// basePriorWeight, tokenWeight, pairsWeight and movedWeight say how firmly the
	// figures of before stand against what is observed, in the units of the sums:
	// like a few short prompts, and like one of 15,000 tokens that takes half a
	// second. Ten prompts of 300 tokens, whose times differ by 20 ms for other
	// reasons, say nothing of how long one of 40,000 takes.
	basePriorWeight     = 100
	tokenPriorWeight    = 1000
	pairsPriorWeight    = 50000
	transferPriorWeight = 1000
	// minTransfer is the least time to move a thousand tokens.
	minTransfer = 0.00002
)

// Estimator is what is known of one service's engines; New returns one.
type Estimator struct {
	local  Sums
	peers  map[string]peerReport
	fitted [coefficientCount]float64
	stale  bool
	agedAt time.Time
	// slotHold is the time that slotHold held their slots after their first token, by the
	// tokens that they were allowed to generate.
	slotHold TimePerToken
	// memoryHold is the time that runs memoryHold their memory, each token of it counted.
	memoryHold TimePerToken
	// offered is the reading that this process brings, as of mixed, and begun when it
	// brought some first.
	offered      OfferedLoad
	offeredAt    time.Time
	firstArrival time.Time
	// WeightLoads is what is known of loads of weights.
	WeightLoads WeightLoads
}

// peerReport is the sums of another process, or of a group of them.
type peerReport struct {
	sums        Sums
	slotHold    TimePerToken
	offeredLoad OfferedLoad
	receivedAt  time.Time
	fromGroup   bool
}

// New returns an engine of which nothing is known.
func New() *Estimator {
	return &Estimator{peers: map[string]peerReport{}, fitted: defaultCoefficients.vector()}
}

func (f Coefficients) vector() [coefficientCount]float64 {
	return [coefficientCount]float64{f.Base, f.PerKiloToken, f.PerMegaPair, f.TargetTransfer, f.StoreTransfer}
}

func (r PrefillSample) features() [coefficientCount]float64 {
	return [coefficientCount]float64{1, float64(r.UncachedTokens+r.QueuedTokens) / 1e3, tokenPairs(r.UncachedTokens, r.PromptTokens), float64(r.Transferred.FromTarget) / 1e3, float64(r.Transferred.FromStore) / 1e3}
}

// tokenPairs returns how many millions of tokenPairs of tokens reading the last missing
// of a prompt's tokens takes.
func tokenPairs(missing, prompt int) float64 {
	return float64(missing) * (float64(max(prompt, missing)) - float64(missing)/2) / 1e6
}

// Figures of which observations count how much.
const (
	// maxQueuedRatio is how many times its own tokens may have waited before a
	// request that says something of reading: beyond, its time is a matter of
	// what others know better.
	maxQueuedRatio = 1.0
	// outlierFactor is from how many times the expectation on, up or down, a request
	// counts less, with the square: it met a runner that stood still, or one that
	// had its prompt already.
	outlierFactor = 2.0
	// noiseFloor is added to the expectation where errors are weighed by it: what
	// links, timers and single steps of a batch add.
	noiseFloor = 0.03
)

// ObservePrefill takes one request's way to its first token.
func (e *Estimator) ObservePrefill(r PrefillSample, now time.Time) {
	if r.TimeToFirstToken <= 0 || float64(r.QueuedTokens) > maxQueuedRatio*float64(r.UncachedTokens+r.Transferred.FromTarget+r.Transferred.FromStore) {
		return
	}
	features := r.features()
	expected := dot(e.current(now), features)
	observed := r.TimeToFirstToken.Seconds()
	weight := 1 / ((expected + noiseFloor) * (expected + noiseFloor))
	ratio := observed / max(expected, noiseFloor)
	if ratio > outlierFactor {
		weight *= (outlierFactor / ratio) * (outlierFactor / ratio)
	}
	if ratio < 1/outlierFactor {
		weight *= (outlierFactor * ratio) * (outlierFactor * ratio)
	}
	e.decayLocal(now)
	e.local.add(features, observed, weight)
	e.stale = true
}

func dot(a, b [coefficientCount]float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// decayLocal makes what was observed before count less.
func (e *Estimator) decayLocal(now time.Time) {
	factor := observationDecay(now.Sub(e.agedAt))
	if e.agedAt.IsZero() {
		factor = 1
	}
	e.local.scale(factor)
	e.memoryHold.scale(factor)
	e.slotHold.scale(factor)
	e.agedAt = now
}

// current returns the figures fitted to all that was observed and heard.
func (e *Estimator) current(now time.Time) [coefficientCount]float64 {
	if !e.stale {
		return e.fitted
	}
	e.stale = false
	all := e.local
	for sender, p := range e.peers {
		if now.Sub(p.receivedAt) > reportTTL {
			delete(e.peers, sender)
			continue
		}
		all.Merge(p.sums)
	}
	weight := [coefficientCount]float64{basePriorWeight, tokenPriorWeight, pairsPriorWeight, transferPriorWeight, transferPriorWeight}
	floor := [coefficientCount]float64{0, minPerKiloToken, 0, minTransfer, minTransfer}
	e.fitted = all.fit(e.fitted, e.fitted, floor, weight)
	return e.fitted
}

// Coefficients returns what is known.
func (e *Estimator) Coefficients(now time.Time) Coefficients {
	f := e.current(now)
	return Coefficients{Base: f[0], PerKiloToken: f[1], PerMegaPair: f[2], TargetTransfer: f[3], StoreTransfer: f[4]}
}

// minSamples is from how many observations on somebody may be refused by what
// they say.
const minSamples = 20

// HasEnoughSamples reports whether enough was observed for a request to be refused by it.
func (e *Estimator) HasEnoughSamples() bool {
	weight := e.local.Weight
	for _, p := range e.peers {
		weight += p.sums.Weight
	}
	return weight >= minSamples
}

// BaseLatency returns the time to the first token of a prompt that needs no reading.
func (e *Estimator) BaseLatency(now time.Time) time.Duration {
	return seconds(e.current(now)[0])
}

// PrefillTime returns the time that reading the last missing of a prompt's tokens
// takes an engine that has nothing else to read.
func (e *Estimator) PrefillTime(missing, prompt int, now time.Time) time.Duration {
	f := e.current(now)
	return seconds(f[1]*float64(missing)/1e3 + f[2]*tokenPairs(missing, prompt))
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
func (e *Estimator) ObserveRun(maxTokens int, held time.Duration, now time.Time) {
	if maxTokens <= 0 || held < 0 {
		return
	}
	e.decayLocal(now)
	e.slotHold.Seconds += held.Seconds()
	e.slotHold.Tokens += float64(maxTokens)
}

// ObserveMemoryHold takes for how long a run held so many tokens of its target's memory.
func (e *Estimator) ObserveMemoryHold(tokens int, held time.Duration, now time.Time) {
	if tokens <= 0 || held < 0 {
		return
	}
	e.decayLocal(now)
	e.memoryHold.Seconds += held.Seconds() * float64(tokens)
	e.memoryHold.Tokens += float64(tokens)
}

// defaultMemoryHold is how long memory is taken to be held before a run was seen.
const defaultMemoryHold = 500 * time.Millisecond

// MeanMemoryHold returns for how long a token of memory is held by a run in the mean.
func (e *Estimator) MeanMemoryHold() time.Duration {
	if e.memoryHold.Tokens <= 0 {
		return defaultMemoryHold
	}
	return seconds(e.memoryHold.Seconds / e.memoryHold.Tokens)
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

func (r *TimePerToken) scale(factor float64) {
	r.Seconds *= factor
	r.Tokens *= factor
}

// ExpectedSlotHold returns the time for which a run that may generate tokens is expected to
// hold its slot after its first token; ok is false where no run was seen yet.
func (e *Estimator) ExpectedSlotHold(maxTokens int) (held time.Duration, ok bool) {
	all := e.slotHold
	for _, p := range e.peers {
		all.add(p.slotHold)
	}
	if all.Tokens <= 0 {
		return 0, false
	}
	return seconds(all.Seconds / all.Tokens * float64(maxTokens)), true
}
