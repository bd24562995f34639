// Package forecast estimates, from the responses of a service, how fast its engines prefill
// prompts, how long runs hold a slot and how long loading weights takes, and predicts the
// latency of the next request. It has no clock of its own and is not safe for concurrent
// use.
//
// Rates estimated for each target separately feed back on themselves: a target estimated as
// slow gets less work and is sampled at other moments than one estimated as fast. Therefore
// one set of coefficients is fitted to all targets of a service, prompts queued ahead of a
// request count as part of its prefill, and requests that mostly waited are ignored.
package forecast

import (
	"math"
	"time"
)

// decayTime is the observed time after which the weight of a sample has decayed to about a
// third. A replaced engine is recognised within two or three times that, and the few long
// prompts of a fleet still add up.
const decayTime = 4 * time.Second

// PrefillSample is the observation of one request up to its first token.
type PrefillSample struct {
	// UncachedTokens is the number of prompt tokens that had to be prefilled, PromptTokens
	// the length of the prompt.
	UncachedTokens int
	PromptTokens   int
	// QueuedTokens is the number of tokens of other prompts to be prefilled before.
	QueuedTokens int
	// Transferred is the KV cache data to be transferred before.
	Transferred KVTransfer
	// TimeToFirstToken is measured from the sending of the request.
	TimeToFirstToken time.Duration
}

// KVTransfer is the number of tokens whose KV cache is transferred to a target from another
// one or from a store, each weighted by the cost of its path relative to one within a zone.
type KVTransfer struct {
	FromTarget int
	FromStore  int
}

// Coefficients are the fitted parameters of a service's engines, in seconds.
type Coefficients struct {
	// Base is the time to the first token of a prompt that needs no prefill.
	Base float64
	// PerKiloToken is the time to prefill a thousand tokens, PerMegaPair the additional
	// time for each million pairs of tokens of which one attends to the other.
	PerKiloToken float64
	PerMegaPair  float64
	// TargetTransfer and StoreTransfer are the times to transfer a thousand tokens from
	// another target or from a store, including queueing there.
	TargetTransfer float64
	StoreTransfer  float64
}

// defaultCoefficients are used until there are samples; they have the order of magnitude of
// current engines. No request is refused because of them (Estimator.HasEnoughSamples).
var defaultCoefficients = Coefficients{Base: 0.05, PerKiloToken: 0.016, TargetTransfer: 0.001, StoreTransfer: 0.004}

// Bounds and prior weights of a fit.
const (
	// minPerKiloToken is the least time for a thousand tokens: no engine prefills two
	// million tokens per second.
	minPerKiloToken = 0.0005
	// The prior weights say how strongly the previous coefficients resist new samples, in
	// the units of the sums: like a few short prompts, and like one of 15,000 tokens that
	// takes half a second. Ten prompts of 300 tokens whose times vary by 20 ms for other
	// reasons say nothing about a prompt of 40,000 tokens.
	basePriorWeight     = 100
	tokenPriorWeight    = 1000
	pairsPriorWeight    = 50000
	transferPriorWeight = 1000
	// minTransfer is the least time to transfer a thousand tokens.
	minTransfer = 0.00002
)

// Estimator holds the estimates for one service; New returns one.
type Estimator struct {
	local  Sums
	peers  map[string]peerReport
	fitted [coefficientCount]float64
	stale  bool
	agedAt time.Time
	// slotHold is the time that runs held their slots after the first token, per token that
	// they were allowed to generate.
	slotHold TimePerToken
	// classHold is slotHold by priority class.
	classHold [ClassCount]TimePerToken
	// memoryHold is the time that runs held memory, weighted by tokens.
	memoryHold TimePerToken
	// offered is the load that arrives at this process, as of offeredAt; firstArrival is
	// the time of the first arrival.
	offered      OfferedLoad
	offeredAt    time.Time
	firstArrival time.Time
	// WeightLoads is the estimate of the duration of weight loads.
	WeightLoads WeightLoads
}

// peerReport is the last report of another process or of a group of processes.
type peerReport struct {
	sums        Sums
	slotHold    TimePerToken
	classHold   [ClassCount]TimePerToken
	offeredLoad OfferedLoad
	receivedAt  time.Time
	fromGroup   bool
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{peers: map[string]peerReport{}, fitted: defaultCoefficients.vector()}
}

func (f Coefficients) vector() [coefficientCount]float64 {
	return [coefficientCount]float64{f.Base, f.PerKiloToken, f.PerMegaPair, f.TargetTransfer, f.StoreTransfer}
}

func (r PrefillSample) features() [coefficientCount]float64 {
	return [coefficientCount]float64{1, float64(r.UncachedTokens+r.QueuedTokens) / 1e3, tokenPairs(r.UncachedTokens, r.PromptTokens), float64(r.Transferred.FromTarget) / 1e3, float64(r.Transferred.FromStore) / 1e3}
}

// tokenPairs returns the number of token pairs, in millions, in the prefill of the last
// missing tokens of a prompt.
func tokenPairs(missing, prompt int) float64 {
	return float64(missing) * (float64(max(prompt, missing)) - float64(missing)/2) / 1e6
}

// Weights of samples.
const (
	// maxQueuedRatio is the largest ratio of queued tokens to the request's own tokens at
	// which a sample is used. Beyond it the time depends mostly on the queue, which other
	// processes know better.
	maxQueuedRatio = 1.0
	// maxSpeedQueuedRatio is the same for samples of a target's speed: the queue of a slow
	// target is counted in full though part of it is done, which hides that it is slow.
	maxSpeedQueuedRatio = 0.2
	// outlierFactor is the ratio to the prediction, up or down, from which the weight of a
	// sample falls with the square: the target stood still, or had the prompt cached.
	outlierFactor = 2.0
	// noiseFloor is added to the prediction when errors are weighted by it, in seconds: the
	// noise of links, timers and batch steps.
	noiseFloor = 0.03
)

// ObservePrefill adds the sample of one request up to its first token.
func (e *Estimator) ObservePrefill(r PrefillSample, now time.Time) {
	if !r.usable(maxQueuedRatio) {
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

// PrefillRatio returns the ratio of the observed to the predicted time of a sample, and its
// weight as a sample of its target's speed; 0 if it says nothing of that. The noise of links
// and timers does not depend on the target, so samples of short times weigh less.
func (e *Estimator) PrefillRatio(r PrefillSample, now time.Time) (ratio, weight float64) {
	if !e.HasEnoughSamples() || !r.usable(maxSpeedQueuedRatio) {
		return 0, 0
	}
	expected := dot(e.current(now), r.features())
	weight = expected / (expected + noiseFloor)
	return r.TimeToFirstToken.Seconds() / max(expected, noiseFloor), weight * weight
}

// usable reports whether the queue before the request was at most the given ratio of it.
func (r PrefillSample) usable(ratio float64) bool {
	return r.TimeToFirstToken > 0 && float64(r.QueuedTokens) <= ratio*float64(r.UncachedTokens+r.Transferred.FromTarget+r.Transferred.FromStore)
}

func dot(a, b [coefficientCount]float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// decayLocal reduces the weight of earlier samples of this process.
func (e *Estimator) decayLocal(now time.Time) {
	factor := observationDecay(now.Sub(e.agedAt))
	if e.agedAt.IsZero() {
		factor = 1
	}
	e.local.scale(factor)
	e.memoryHold.scale(factor)
	e.slotHold.scale(factor)
	for i := range e.classHold {
		e.classHold[i].scale(factor)
	}
	e.agedAt = now
}

// current returns the coefficients fitted to all samples of this process and its peers.
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

// Coefficients returns the coefficients fitted so far.
func (e *Estimator) Coefficients(now time.Time) Coefficients {
	f := e.current(now)
	return Coefficients{Base: f[0], PerKiloToken: f[1], PerMegaPair: f[2], TargetTransfer: f[3], StoreTransfer: f[4]}
}

// minSamples is the number of samples from which predictions may be used to refuse
// requests.
const minSamples = 20

// HasEnoughSamples reports whether there are enough samples to refuse requests by the
// predictions.
func (e *Estimator) HasEnoughSamples() bool {
	weight := e.local.Weight
	for _, p := range e.peers {
		weight += p.sums.Weight
	}
	return weight >= minSamples
}

// BaseLatency returns the time to the first token of a prompt that needs no prefill.
func (e *Estimator) BaseLatency(now time.Time) time.Duration {
	return seconds(e.current(now)[0])
}

// PrefillTime returns the time to prefill the last missing tokens of a prompt on an engine
// that has no other prefill to do.
func (e *Estimator) PrefillTime(missing, prompt int, now time.Time) time.Duration {
	f := e.current(now)
	return seconds(f[1]*float64(missing)/1e3 + f[2]*tokenPairs(missing, prompt))
}

// TransferTime returns the time of a KV cache transfer.
func (e *Estimator) TransferTime(m KVTransfer, now time.Time) time.Duration {
	f := e.current(now)
	return seconds((f[3]*float64(m.FromTarget) + f[4]*float64(m.FromStore)) / 1e3)
}

// BacklogTime returns the time to prefill the given number of tokens of several prompts.
func (e *Estimator) BacklogTime(tokens int, now time.Time) time.Duration {
	return seconds(e.current(now)[1] * float64(tokens) / 1e3)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Max(0, s) * float64(time.Second))
}

// ObserveRun adds the time that a run held its slot after its first token. maxTokens is the
// number of tokens that the run was allowed to generate.
func (e *Estimator) ObserveRun(maxTokens int, held time.Duration, now time.Time) {
	if maxTokens <= 0 || held < 0 {
		return
	}
	e.decayLocal(now)
	e.slotHold.Seconds += held.Seconds()
	e.slotHold.Tokens += float64(maxTokens)
}

// ObserveMemoryHold adds the time that a run held the memory of the given number of tokens.
func (e *Estimator) ObserveMemoryHold(tokens int, held time.Duration, now time.Time) {
	if tokens <= 0 || held < 0 {
		return
	}
	e.decayLocal(now)
	e.memoryHold.Seconds += held.Seconds() * float64(tokens)
	e.memoryHold.Tokens += float64(tokens)
}

// defaultMemoryHold is used until a run was observed.
const defaultMemoryHold = 500 * time.Millisecond

// MeanMemoryHold returns the mean time for which a run holds a token of memory.
func (e *Estimator) MeanMemoryHold() time.Duration {
	if e.memoryHold.Tokens <= 0 {
		return defaultMemoryHold
	}
	return seconds(e.memoryHold.Seconds / e.memoryHold.Tokens)
}

// TimePerToken is a total time and the number of tokens it is for.
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

// ExpectedSlotHold returns the expected time for which a run that may generate maxTokens
// holds its slot after its first token. ok is false until a run was observed.
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
