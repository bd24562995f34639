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

// Reading is one request's way to its first token.
type Reading struct {
	// Missing is how many of its prompt's tokens were to be read there, Prompt
	// how many it has in all.
	Missing int
	Prompt  int
	// Ahead is how many tokens of other prompts were to be read before.
	Ahead int
	// Moved is what was to be moved there before.
	Moved Moved
	// Took is the time from sending it to its first token.
	Took time.Duration
}

// Moved is how many tokens are moved to a runner from another one or from a store
// of kept parts, each as often as its way takes longer than within one zone.
type Moved struct {
	Runner int
	Store  int
}

// Figures are what is known of a service's engines, in seconds.
type Figures struct {
	// Fixed is the time to the first token of a prompt that needs no reading.
	Fixed float64
	// Token is the time to read a thousand tokens, Pairs that by which a million
	// pairs of tokens, of which each attends to the other, prolongs it.
	Token float64
	Pairs float64
	// Runner and Store are the times to move a thousand tokens to a runner from
	// another one or from a store, with what waits there.
	Runner float64
	Store  float64
}

// guess is taken until something was observed: the order of the engines of
// today. Nobody is refused by it (Engine.Known).
var guess = Figures{Fixed: 0.05, Token: 0.016, Runner: 0.001, Store: 0.004}

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

// Engine is what is known of one service's engines; New returns one.
type Engine struct {
	own    Sums
	others map[string]heard
	fitted [terms]float64
	stale  bool
	seen   time.Time
	// runs is the time that runs held their slots after their first token, by the
	// tokens that they were allowed to generate.
	runs Ratio
	// held is the time that runs held their memory, each token of it counted.
	held Ratio
	// mix is the reading that this process brings, as of mixed, and begun when it
	// brought some first.
	mix   Mix
	mixed time.Time
	begun time.Time
	// Loads is what is known of loads of weights.
	Loads Loads
}

// heard is the sums of another process, or of a group of them.
type heard struct {
	sums  Sums
	runs  Ratio
	mix   Mix
	at    time.Time
	group bool
}

// New returns an engine of which nothing is known.
func New() *Engine {
	return &Engine{others: map[string]heard{}, fitted: guess.vector()}
}

func (f Figures) vector() [terms]float64 {
	return [terms]float64{f.Fixed, f.Token, f.Pairs, f.Runner, f.Store}
}

func (r Reading) features() [terms]float64 {
	return [terms]float64{1, float64(r.Missing+r.Ahead) / 1e3, pairs(r.Missing, r.Prompt), float64(r.Moved.Runner) / 1e3, float64(r.Moved.Store) / 1e3}
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

// Read takes one request's way to its first token.
func (e *Engine) Read(r Reading, now time.Time) {
	if r.Took <= 0 || float64(r.Ahead) > waitedMost*float64(r.Missing+r.Moved.Runner+r.Moved.Store) {
		return
	}
	features := r.features()
	expected := dot(e.current(now), features)
	observed := r.Took.Seconds()
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
func (e *Engine) age(now time.Time) {
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
func (e *Engine) current(now time.Time) [terms]float64 {
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

// Figures returns what is known.
func (e *Engine) Figures(now time.Time) Figures {
	f := e.current(now)
	return Figures{Fixed: f[0], Token: f[1], Pairs: f[2], Runner: f[3], Store: f[4]}
}

// knownFrom is from how many observations on somebody may be refused by what
// they say.
const knownFrom = 20

// Known reports whether enough was observed for a request to be refused by it.
func (e *Engine) Known() bool {
	weight := e.own.Weight
	for _, h := range e.others {
		weight += h.sums.Weight
	}
	return weight >= knownFrom
}

// Fixed returns the time to the first token of a prompt that needs no reading.
func (e *Engine) Fixed(now time.Time) time.Duration {
	return seconds(e.current(now)[0])
}

// Reading returns the time that reading the last missing of a prompt's tokens
// takes an engine that has nothing else to read.
func (e *Engine) Reading(missing, prompt int, now time.Time) time.Duration {
	f := e.current(now)
	return seconds(f[1]*float64(missing)/1e3 + f[2]*pairs(missing, prompt))
}

// Moving returns the time that moving parts of a prompt takes.
func (e *Engine) Moving(m Moved, now time.Time) time.Duration {
	f := e.current(now)
	return seconds((f[3]*float64(m.Runner) + f[4]*float64(m.Store)) / 1e3)
}

// Backlog returns the time that reading tokens of several prompts takes.
func (e *Engine) Backlog(tokens int, now time.Time) time.Duration {
	return seconds(e.current(now)[1] * float64(tokens) / 1e3)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Max(0, s) * float64(time.Second))
}

// Ran takes how long a run that was allowed to generate tokens held its slot
// after its first token.
func (e *Engine) Ran(allowed int, held time.Duration, now time.Time) {
	if allowed <= 0 || held < 0 {
		return
	}
	e.age(now)
	e.runs.Seconds += held.Seconds()
	e.runs.Tokens += float64(allowed)
}

// Held takes for how long a run held so many tokens of its target's memory.
func (e *Engine) Held(tokens int, held time.Duration, now time.Time) {
	if tokens <= 0 || held < 0 {
		return
	}
	e.age(now)
	e.held.Seconds += held.Seconds() * float64(tokens)
	e.held.Tokens += float64(tokens)
}

// guessHeld is how long memory is taken to be held before a run was seen.
const guessHeld = 500 * time.Millisecond

// HeldFor returns for how long a token of memory is held by a run in the mean.
func (e *Engine) HeldFor() time.Duration {
	if e.held.Tokens <= 0 {
		return guessHeld
	}
	return seconds(e.held.Seconds / e.held.Tokens)
}

// Ratio is a time by the tokens that it was for.
type Ratio struct {
	Seconds float64
	Tokens  float64
}

func (r *Ratio) add(other Ratio) {
	r.Seconds += other.Seconds
	r.Tokens += other.Tokens
}

func (r *Ratio) fade(share float64) {
	r.Seconds *= share
	r.Tokens *= share
}

// Hold returns the time for which a run that may generate tokens is expected to
// hold its slot after its first token; ok is false where no run was seen yet.
func (e *Engine) Hold(allowed int) (held time.Duration, ok bool) {
	all := e.runs
	for _, h := range e.others {
		all.add(h.runs)
	}
	if all.Tokens <= 0 {
		return 0, false
	}
	return seconds(all.Seconds / all.Tokens * float64(allowed)), true
}
