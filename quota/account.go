package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"acaciakeel/policy"
)

// account is one customer's use at one process. Amounts are in the limit's unit.
type account struct {
	name  string
	limit Limit
	// refilledAt is when the level was brought forward, sliceUpdatedAt when the slice and the demand.
	refilledAt, sliceUpdatedAt time.Time
	// level is what the limit has left over all processes, as far as is known here;
	// below 0 where more was let in.
	level float64
	// maxDebt bounds how far below 0 it goes: beyond the margin, more would only keep the
	// customer out for longer, also where what was told was wrong.
	maxDebt float64
	// levelKnown is set once the level is not that of a process that has just started.
	levelKnown bool
	// slice is what this process may let in by itself where the level tells little.
	slice float64
	// admittedHere is what this process let in since its start.
	admittedHere float64
	// demand is what was asked lately here, let in or not, fading over demandTime.
	demand float64
	// pendingRetries is what was refused here and told to come back, less what came in since.
	pendingRetries float64
	// peerUsage is what each other process, and each other group, told last.
	peerUsage map[*sender]*peerUsage
	// admittedInGroup is what this process's admittedInGroup let in, as far as is known here.
	admittedInGroup float64

	reported         reportState
	reportedToGroups map[int]*reportState
	overLimit        bool
	lastRefusedAt    time.Time
	// admitted and refused count requests.
	admitted, refused int64
}

// peerUsage is what another process told of a customer.
type peerUsage struct {
	admitted   float64
	demand     float64
	reportedAt time.Time
	// partitioned is set where the sender was silent since: what it let in meanwhile was its own
	// part of the limit.
	partitioned bool
}

// demandRate returns how much the other process is taken to be demandRate for a second now.
func (u *peerUsage) demandRate(now time.Time) float64 {
	return u.demand * decay(now.Sub(u.reportedAt)) / demandDecay.Seconds()
}

// decay returns what is left of a demand after a while.
func decay(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / demandDecay.Seconds())
}

// Figures of accounts.
const (
	// demandDecay is over how long demand fades: long enough to hold several requests of
	// a customer, short enough to follow one that turns hot.
	demandDecay = 500 * time.Millisecond
	// maxSliceAge bounds what a process saves up of its slice.
	maxSliceAge = 250 * time.Millisecond
	// unreportedMarginShare is the part of the margin that covers what is not heard yet; the rest
	// is kept for what can't be foreseen, such as cuts that nobody has noticed.
	unreportedMarginShare = 0.5
	// quorumShare is the part of the processes below which those that hear each other let
	// nothing in that is not saved up.
	quorumShare = 0.5
)

func (lim *Limiter) newAccount(name string, l Limit, now time.Time) *account {
	a := &account{name: name, limit: l, refilledAt: now, sliceUpdatedAt: now, maxDebt: l.Burst + lim.tolerance.margin(l), peerUsage: map[*sender]*peerUsage{}}
	// Others may have spent all: were all killed at once, each would begin with a full
	// burst of its own.
	if !lim.warmingUp(now) {
		a.level, a.levelKnown = l.Burst, true
	}
	if lim.staggerCost > 0 {
		a.level, a.slice = 0, -lim.random.Float64()*lim.staggerCost
	}
	return a
}

// changeLimit puts another limit into force.
func (lim *Limiter) changeLimit(a *account, l Limit) {
	if l == a.limit {
		return
	}
	a.level *= l.Burst / a.limit.Burst
	if a.limit.Unit != l.Unit {
		a.level = 0
	}
	a.level = min(a.level, l.Burst)
	a.maxDebt = l.Burst + lim.tolerance.margin(l)
	a.slice = min(a.slice, 0)
	a.pendingRetries = 0
	a.limit = l
}

// refresh brings an account forward to now; the caller holds mu.
func (lim *Limiter) refresh(a *account, now time.Time) {
	fraction := lim.limitFraction(now)
	a.refill(fraction, now)
	elapsed := now.Sub(a.sliceUpdatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.demand *= decay(now.Sub(a.sliceUpdatedAt))
	a.sliceUpdatedAt = now
	growthRate := a.limit.Rate * fraction * lim.demandShare(a, now)
	if lim.disabled[policy.SharedUsage] {
		a.slice = min(growthRate*a.limit.Burst/a.limit.Rate, a.slice+growthRate*elapsed)
	} else {
		paceFactor := a.paceFactor(lim.unreportedMargin(a))
		if lim.staggerCost > 0 && a.level > 0 {
			// What is left of the burst is dealt out by the slices as well: the level alone
			// opens to all at once, and not where much is asked.
			paceFactor += a.level / a.limit.Burst
		}
		a.slice = min(growthRate*maxSliceAge.Seconds(), a.slice+growthRate*paceFactor*elapsed)
	}
	a.pendingRetries = max(0, a.pendingRetries-growthRate*elapsed)
}

// refill adds to the level what came with time, for the part of the limit that is left
// to the processes that are heard.
func (a *account) refill(fraction float64, now time.Time) {
	elapsed := now.Sub(a.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.refilledAt = now
	a.level = min(a.limit.Burst*fraction, a.level+a.limit.Rate*fraction*elapsed)
}

// unreportedMargin returns how far over its limit a customer may be known to be.
func (lim *Limiter) unreportedMargin(a *account) float64 {
	return unreportedMarginShare * lim.tolerance.margin(a.limit)
}

// paceFactor returns how fast the slice grows: less where more than the limit was let in, so
// that it is made up for.
func (a *account) paceFactor(margin float64) float64 {
	if margin <= 0 {
		margin = 1
	}
	return min(1, max(0, 1+a.level/margin))
}

// demandShare returns this process's part of what is asked of a customer's limit, among the
// processes that it hears.
func (lim *Limiter) demandShare(a *account, now time.Time) float64 {
	processes := float64(lim.reachableProcesses(now))
	if lim.disabled[policy.DemandShares] {
		return 1 / processes
	}
	all := a.totalDemandRate(now)
	if all <= 0 {
		return 1 / processes
	}
	return a.demandRate() / all
}

// totalDemandRate returns how much all processes that are heard are asked for a second.
func (a *account) totalDemandRate(now time.Time) float64 {
	all := a.demandRate()
	for s, u := range a.peerUsage {
		if s.reachable(now) {
			all += u.demandRate(now)
		}
	}
	return all
}

// demandRate returns how much this process is demandRate for a second.
func (a *account) demandRate() float64 { return a.demand / demandDecay.Seconds() }

// groupDemand returns what the processes of this one's group are asked together.
func (a *account) groupDemand(now time.Time) float64 {
	sum := a.demand
	for s, u := range a.peerUsage {
		if !s.group && s.reachable(now) {
			sum += u.demand * decay(now.Sub(u.reportedAt))
		}
	}
	return sum
}

// capacity is what an account has for one more request.
type capacity struct {
	available bool
	// shortfall is how much is missing where it is not open, and growthRate how fast it comes.
	shortfall, growthRate float64
}

// capacity returns whether one more request may be let in; the caller holds mu and has
// refreshed the account.
func (lim *Limiter) capacity(a *account, cost float64, now time.Time) capacity {
	fraction := lim.limitFraction(now)
	growthRate := a.limit.Rate * fraction
	if lim.disabled[policy.SharedUsage] {
		growthRate *= lim.demandShare(a, now)
		return capacity{available: a.slice > 0, shortfall: -a.slice, growthRate: growthRate}
	}
	if fraction < quorumShare {
		// Each of many that hear nobody could go into debt by a whole request.
		return capacity{available: a.level >= cost, shortfall: cost - a.level, growthRate: growthRate}
	}
	margin := lim.unreportedMargin(a)
	left := a.level - max(0, lim.estimateUnreported(a, now)-margin)
	if left > 0 {
		return capacity{available: true}
	}
	if lim.disabled[policy.Pacing] {
		return capacity{shortfall: -left, growthRate: growthRate}
	}
	shortfall := max(-left, -a.slice)
	if lim.staggerCost > 0 {
		// What the others may have let in unheard keeps the level closed, not the slice.
		shortfall = max(-margin-a.level, -a.slice)
	}
	return capacity{available: a.slice > 0 && a.level > -margin, shortfall: shortfall, growthRate: growthRate * lim.demandShare(a, now)}
}

// estimateUnreported returns what the others may have let in since they were heard last. One that
// is late may be cut off, and what it is asked may have grown with what is asked here.
func (lim *Limiter) estimateUnreported(a *account, now time.Time) float64 {
	sum, own := 0.0, a.demandRate()
	for _, s := range lim.senders {
		if !s.reachable(now) {
			continue
		}
		asked, age := 0.0, s.age(now)
		if u := a.peerUsage[s]; u != nil {
			asked = u.demandRate(now)
		}
		sum += asked*age.Seconds() + max(0, float64(s.processes)*own-asked)*max(0, age-s.timeout/4).Seconds()
	}
	return sum
}

func (a *account) addDemand(cost float64) {
	a.demand += cost
}

// debit counts what was let in, here or elsewhere, against the level.
func (a *account) debit(amount float64) {
	a.level = max(-a.maxDebt, min(a.limit.Burst, a.level-amount))
}

// admit lets a request in; a cost below 0 gives back.
func (a *account) admit(cost float64) {
	a.debit(cost)
	a.slice -= cost
	a.admittedHere += cost
	a.admittedInGroup += cost
	if cost > 0 {
		a.admitted++
	}
}

// Bounds of the time after which a refused client is asked back.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// refuse counts a request that is not let in, and returns when to come back: when the
// limit has room for it behind those that were told so before.
func (a *account) refuse(cost float64, c capacity) time.Duration {
	a.refused++
	a.reported.refusedSince = true
	wait := a.retryAfter(c)
	a.addPendingRetry(cost)
	return wait + minRetryAfter + rand.N(minRetryAfter)
}

// retryAfter returns when the limit has room behind those that were told to come back.
func (a *account) retryAfter(c capacity) time.Duration {
	if c.growthRate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration((max(0, c.shortfall)+a.pendingRetries)/c.growthRate*float64(time.Second)))
}

// addPendingRetry counts a request that was told to come back.
func (a *account) addPendingRetry(cost float64) {
	a.pendingRetries = min(a.pendingRetries+cost, a.limit.Rate*maxRetryAfter.Seconds())
}
