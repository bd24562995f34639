package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"acaciakeel/policy"
)

// account is one customer's, or one target's, usage as known at this process. Amounts are
// in the limit's unit.
type account struct {
	name  string
	limit Limit
	// refilledAt is when the level was last refilled, sliceUpdatedAt when the slice and the
	// demand were last updated.
	refilledAt, sliceUpdatedAt time.Time
	// level is the remaining amount of the limit over all processes, as far as is known
	// here; negative if more than the limit was admitted.
	level float64
	// maxDebt bounds how far the level goes below 0. Debt beyond the margin would only
	// block the customer for longer, also if a peer reported a wrong total.
	maxDebt float64
	// levelKnown is set once the level is more than the initial guess of a starting
	// process.
	levelKnown bool
	// slice is what this process may admit on its own when the shared level is used up or
	// uncertain.
	slice float64
	// admittedHere is the amount admitted by this process since its start.
	admittedHere float64
	// demand is the amount requested here lately, admitted or not. It decays over
	// demandDecay.
	demand float64
	// pendingRetries is the amount refused here with a retry time, less what the limit has
	// granted since.
	pendingRetries float64
	// peerUsage is the last report of each other process and of each other group.
	peerUsage map[*sender]*peerUsage
	// admittedInGroup is the amount admitted by this process's group, as far as is known
	// here, and history its recent values.
	admittedInGroup float64
	history         totalHistory
	// discarded is the amount by which the level would have exceeded the burst, and
	// discardedHistory its recent values.
	discarded        float64
	discardedHistory totalHistory

	reported         reportState
	reportedToGroups map[int]*reportState
	overLimit        bool
	lastRefusedAt    time.Time
	// admitted and refused are numbers of requests.
	admitted, refused int64
}

// peerUsage is the usage of an account as another process or group reported it.
type peerUsage struct {
	admitted   float64
	demand     float64
	reportedAt time.Time
	// group is set instead of admitted if the sender reports for a group.
	group groupUsage
	// isolated is the part of the sender's isolation that was taken into account.
	isolated time.Duration
	// discarded is the discarded amount of the account when the sender was last heard from
	// before its present isolation.
	discarded float64
	// recent is the amount admitted lately; it decays over demandDecay.
	recent float64
	// assumed is what was debited for the time before the present silence was detected.
	assumed float64
}

// recentRate returns the rate at which the sender admitted requests at the given time, after its
// last report, per second.
func (u *peerUsage) recentRate(at time.Time) float64 {
	return max(0, u.recent) * decay(max(0, at.Sub(u.reportedAt))) / demandDecay.Seconds()
}

// takeDiscarded reduces usage that becomes known late by what was discarded since: had it been
// known, the level would have been refilled instead.
func (a *account) takeDiscarded(amount, since float64) float64 {
	used := max(0, min(amount, a.discarded-since))
	a.discarded -= used
	return amount - used
}

// sharedPart returns the part of an amount that came out of the shared limit, if its sender was
// isolated for the given time of the time since its last report. Before its silence was detected
// the sender used the shared limit, and afterwards its own share; what exceeds that share came
// out of the shared limit as well.
func sharedPart(amount, share float64, isolated, elapsed time.Duration) float64 {
	if amount <= 0 {
		return amount
	}
	connected := 1 - isolated.Seconds()/max(isolated, elapsed).Seconds()
	return max(amount*connected, amount-share)
}

// demandRate returns the estimated current demand at the other process, per second.
func (u *peerUsage) demandRate(now time.Time) float64 {
	return u.demand * decay(now.Sub(u.reportedAt)) / demandDecay.Seconds()
}

// decay returns the factor by which a demand has decayed after the elapsed time.
func decay(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / demandDecay.Seconds())
}

// Parameters of accounts.
const (
	// demandDecay is the time constant of the demand: long enough to cover several requests
	// of a customer, short enough to follow a customer whose demand rises.
	demandDecay = 500 * time.Millisecond
	// maxSliceAge bounds the slice: a process saves up at most its share of the limit over
	// this time.
	maxSliceAge = 250 * time.Millisecond
	// unreportedMarginShare is the part of the margin that covers usage not reported yet.
	// The rest is kept for the unforeseen, such as network partitions not detected yet.
	unreportedMarginShare = 0.5
	// quorumShare is the fraction of the processes below which those that reach each other
	// admit only what is saved up.
	quorumShare = 0.5
)

func (lim *Limiter) newAccount(name string, l Limit, now time.Time) *account {
	a := &account{name: name, limit: l, refilledAt: now, sliceUpdatedAt: now, maxDebt: l.Burst + lim.tolerance.margin(l), peerUsage: map[*sender]*peerUsage{}}
	// A starting process assumes that the burst is spent. If all processes were killed at
	// once, each would otherwise grant a full burst.
	if !lim.warmingUp(now) {
		a.level, a.levelKnown = l.Burst, true
	}
	if lim.staggerCost > 0 {
		a.level, a.slice = 0, -lim.random.Float64()*lim.staggerCost
	}
	return a
}

// changeLimit replaces the limit of an account and scales the level in proportion.
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

// refresh updates an account to now. The caller holds mu.
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
			// The remaining burst is also handed out through the slices. The level alone
			// would admit requests at all processes at once, regardless of where the demand
			// is.
			paceFactor += a.level / a.limit.Burst
		}
		a.slice = min(growthRate*maxSliceAge.Seconds(), a.slice+growthRate*paceFactor*elapsed)
	}
	a.pendingRetries = max(0, a.pendingRetries-growthRate*elapsed)
}

// refill adds the amount accrued since the last refill to the level, for the fraction of
// the limit that belongs to the reachable processes.
func (a *account) refill(fraction float64, now time.Time) {
	elapsed := now.Sub(a.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.refilledAt = now
	full := a.level + a.limit.Rate*fraction*elapsed
	a.level = min(a.limit.Burst*fraction, full)
	a.discarded += full - a.level
}

// unreportedMargin returns how far over its limit an account may go because of usage that
// is not reported yet.
func (lim *Limiter) unreportedMargin(a *account) float64 {
	return unreportedMarginShare * lim.tolerance.margin(a.limit)
}

// paceFactor returns the relative growth of the slice. It falls below 1 when more than the
// limit was admitted, so that the excess is made up for.
func (a *account) paceFactor(margin float64) float64 {
	if margin <= 0 {
		margin = 1
	}
	return min(1, max(0, 1+a.level/margin))
}

// demandShare returns this process's part of the demand for an account at all reachable
// processes.
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

// totalDemandRate returns the demand at all reachable processes, per second.
func (a *account) totalDemandRate(now time.Time) float64 {
	all := a.demandRate()
	for s, u := range a.peerUsage {
		if s.reachable(now) {
			all += u.demandRate(now)
		}
	}
	return all
}

// demandRate returns the demand at this process, per second.
func (a *account) demandRate() float64 { return a.demand / demandDecay.Seconds() }

// groupDemand returns the demand at all processes of this process's group.
func (a *account) groupDemand(now time.Time) float64 {
	sum := a.demand
	for s, u := range a.peerUsage {
		if !s.group && s.reachable(now) {
			sum += u.demand * decay(now.Sub(u.reportedAt))
		}
	}
	return sum
}

// capacity tells whether an account has room for one more request.
type capacity struct {
	available bool
	// shortfall is the amount missing if the request is not admitted, growthRate the rate
	// at which the account gains it.
	shortfall, growthRate float64
}

// capacity returns whether one more request may be admitted. The caller holds mu and has
// refreshed the account.
func (lim *Limiter) capacity(a *account, cost float64, now time.Time) capacity {
	fraction := lim.limitFraction(now)
	growthRate := a.limit.Rate * fraction
	if lim.disabled[policy.SharedUsage] {
		growthRate *= lim.demandShare(a, now)
		return capacity{available: a.slice > 0, shortfall: -a.slice, growthRate: growthRate}
	}
	if fraction < quorumShare {
		// With many isolated processes, each could otherwise overdraw by a whole request.
		return capacity{available: a.level >= cost, shortfall: cost - a.level, growthRate: growthRate}
	}
	margin := lim.unreportedMargin(a)
	remaining := a.level - max(0, lim.estimateUnreported(a, now)-margin)
	if remaining > 0 {
		return capacity{available: true}
	}
	if lim.disabled[policy.Pacing] {
		return capacity{shortfall: -remaining, growthRate: growthRate}
	}
	shortfall := max(-remaining, -a.slice)
	if lim.staggerCost > 0 {
		// Unreported usage of peers limits the level, not the slice, so it does not count
		// here.
		shortfall = max(-margin-a.level, -a.slice)
	}
	return capacity{available: a.slice > 0 && a.level > -margin, shortfall: shortfall, growthRate: growthRate * lim.demandShare(a, now)}
}

// estimateUnreported returns the amount that the other processes may have admitted since
// their last reports. A late sender may be partitioned, and its demand may have grown with
// the demand here.
func (lim *Limiter) estimateUnreported(a *account, now time.Time) float64 {
	sum, own := 0.0, a.demandRate()
	for _, s := range lim.senders {
		if !s.reachable(now) {
			continue
		}
		demand, age := 0.0, s.age(now)
		if u := a.peerUsage[s]; u != nil {
			demand = u.demandRate(now)
		}
		sum += demand*age.Seconds() + max(0, float64(s.processes)*own-demand)*max(0, age-s.timeout/4).Seconds()
	}
	return sum
}

func (a *account) addDemand(cost float64) {
	a.demand += cost
}

// debit subtracts an amount admitted here or elsewhere from the level.
func (a *account) debit(amount float64) {
	a.level = max(-a.maxDebt, min(a.limit.Burst, a.level-amount))
}

// admit counts an admitted request; a negative cost is a refund.
func (a *account) admit(cost float64) {
	a.debit(cost)
	a.slice -= cost
	a.admittedHere += cost
	a.admittedInGroup += cost
	if cost > 0 {
		a.admitted++
	}
}

// Bounds of the retry time for refused requests.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// refuse counts a refused request and returns when the client may retry: once the limit has
// room behind earlier refused requests. The random part spreads the retries.
func (a *account) refuse(cost float64, c capacity) time.Duration {
	a.refused++
	a.reported.refusedSince = true
	wait := a.retryAfter(c)
	a.addPendingRetry(cost)
	return wait + minRetryAfter + rand.N(minRetryAfter)
}

// retryAfter returns when the limit has room behind the pending retries.
func (a *account) retryAfter(c capacity) time.Duration {
	if c.growthRate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration((max(0, c.shortfall)+a.pendingRetries)/c.growthRate*float64(time.Second)))
}

// addPendingRetry counts a refused request that is expected to be retried.
func (a *account) addPendingRetry(cost float64) {
	a.pendingRetries = min(a.pendingRetries+cost, a.limit.Rate*maxRetryAfter.Seconds())
}
