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
	// at is when the level was brought forward, slicedAt when the slice and the demand.
	at, slicedAt time.Time
	// level is what the limit has left over all processes, as far as is known here;
	// below 0 where more was let in.
	level float64
	// debtMost bounds how far below 0 it goes: beyond the margin, more would only keep the
	// customer out for longer, also where what was told was wrong.
	debtMost float64
	// adopted is set once the level is not that of a process that has just started.
	adopted bool
	// slice is what this process may let in by itself where the level tells little.
	slice float64
	// own is what this process let in since its start.
	own float64
	// demand is what was asked lately here, let in or not, fading over demandTime.
	demand float64
	// promised is what was refused here and told to come back, less what came in since.
	promised float64
	// others is what each other process, and each other group, told last.
	others map[*sender]*use
	// group is what this process's group let in, as far as is known here.
	group float64

	told     toldUse
	toldFar  map[int]*toldUse
	over     bool
	lastOver time.Time
	// admitted and refused count requests.
	admitted, refused int64
}

// use is what another process told of a customer.
type use struct {
	total  float64
	demand float64
	at     time.Time
	// apart is set where the sender was silent since: what it let in meanwhile was its own
	// part of the limit.
	apart bool
}

// asked returns how much the other process is taken to be asked for a second now.
func (u *use) asked(now time.Time) float64 {
	return u.demand * fading(now.Sub(u.at)) / demandTime.Seconds()
}

// fading returns what is left of a demand after a while.
func fading(passed time.Duration) float64 {
	return math.Exp(-passed.Seconds() / demandTime.Seconds())
}

// Figures of accounts.
const (
	// demandTime is over how long demand fades: long enough to hold several requests of
	// a customer, short enough to follow one that turns hot.
	demandTime = 500 * time.Millisecond
	// sliceTime bounds what a process saves up of its slice.
	sliceTime = 250 * time.Millisecond
	// marginHeld is the part of the margin that covers what is not heard yet; the rest
	// is kept for what can't be foreseen, such as cuts that nobody has noticed.
	marginHeld = 0.5
	// minority is the part of the processes below which those that hear each other let
	// nothing in that is not saved up.
	minority = 0.5
)

func (b *Limiter) newAccount(name string, l Limit, now time.Time) *account {
	a := &account{name: name, limit: l, at: now, slicedAt: now, debtMost: l.Burst + b.bounds.margin(l), others: map[*sender]*use{}}
	// Others may have spent all: were all killed at once, each would begin with a full
	// burst of its own.
	if !b.settling(now) {
		a.level, a.adopted = l.Burst, true
	}
	if b.stagger > 0 {
		a.level, a.slice = 0, -b.random.Float64()*b.stagger
	}
	return a
}

// change puts another limit into force.
func (b *Limiter) change(a *account, l Limit) {
	if l == a.limit {
		return
	}
	a.level *= l.Burst / a.limit.Burst
	if a.limit.Unit != l.Unit {
		a.level = 0
	}
	a.level = min(a.level, l.Burst)
	a.debtMost = l.Burst + b.bounds.margin(l)
	a.slice = min(a.slice, 0)
	a.promised = 0
	a.limit = l
}

// refresh brings an account forward to now; the caller holds mu.
func (b *Limiter) refresh(a *account, now time.Time) {
	part := b.part(now)
	a.refill(part, now)
	passed := now.Sub(a.slicedAt).Seconds()
	if passed <= 0 {
		return
	}
	a.demand *= fading(now.Sub(a.slicedAt))
	a.slicedAt = now
	grows := a.limit.Rate * part * b.share(a, now)
	if b.off[policy.SharedUsage] {
		a.slice = min(grows*a.limit.Burst/a.limit.Rate, a.slice+grows*passed)
	} else {
		pace := a.pace(b.held(a))
		if b.stagger > 0 && a.level > 0 {
			// What is left of the burst is dealt out by the slices as well: the level alone
			// opens to all at once, and not where much is asked.
			pace += a.level / a.limit.Burst
		}
		a.slice = min(grows*sliceTime.Seconds(), a.slice+grows*pace*passed)
	}
	a.promised = max(0, a.promised-grows*passed)
}

// refill adds to the level what came with time, for the part of the limit that is left
// to the processes that are heard.
func (a *account) refill(part float64, now time.Time) {
	passed := now.Sub(a.at).Seconds()
	if passed <= 0 {
		return
	}
	a.at = now
	a.level = min(a.limit.Burst*part, a.level+a.limit.Rate*part*passed)
}

// held returns how far over its limit a customer may be known to be.
func (b *Limiter) held(a *account) float64 {
	return marginHeld * b.bounds.margin(a.limit)
}

// pace returns how fast the slice grows: less where more than the limit was let in, so
// that it is made up for.
func (a *account) pace(held float64) float64 {
	if held <= 0 {
		held = 1
	}
	return min(1, max(0, 1+a.level/held))
}

// share returns this process's part of what is asked of a customer's limit, among the
// processes that it hears.
func (b *Limiter) share(a *account, now time.Time) float64 {
	heard := float64(b.heardCount(now))
	if b.off[policy.DemandShares] {
		return 1 / heard
	}
	all := a.askedOfAll(now)
	if all <= 0 {
		return 1 / heard
	}
	return a.asked() / all
}

// askedOfAll returns how much all processes that are heard are asked for a second.
func (a *account) askedOfAll(now time.Time) float64 {
	all := a.asked()
	for s, u := range a.others {
		if s.fresh(now) {
			all += u.asked(now)
		}
	}
	return all
}

// asked returns how much this process is asked for a second.
func (a *account) asked() float64 { return a.demand / demandTime.Seconds() }

// groupDemand returns what the processes of this one's group are asked together.
func (a *account) groupDemand(now time.Time) float64 {
	sum := a.demand
	for s, u := range a.others {
		if !s.group && s.fresh(now) {
			sum += u.demand * fading(now.Sub(u.at))
		}
	}
	return sum
}

// room is what an account has for one more request.
type room struct {
	open bool
	// lacks is how much is missing where it is not open, and grows how fast it comes.
	lacks, grows float64
}

// room returns whether one more request may be let in; the caller holds mu and has
// refreshed the account.
func (b *Limiter) room(a *account, cost float64, now time.Time) room {
	part := b.part(now)
	grows := a.limit.Rate * part
	if b.off[policy.SharedUsage] {
		grows *= b.share(a, now)
		return room{open: a.slice > 0, lacks: -a.slice, grows: grows}
	}
	if part < minority {
		// Each of many that hear nobody could go into debt by a whole request.
		return room{open: a.level >= cost, lacks: cost - a.level, grows: grows}
	}
	held := b.held(a)
	left := a.level - max(0, b.unheard(a, now)-held)
	if left > 0 {
		return room{open: true}
	}
	if b.off[policy.Pacing] {
		return room{lacks: -left, grows: grows}
	}
	lacks := max(-left, -a.slice)
	if b.stagger > 0 {
		// What the others may have let in unheard keeps the level closed, not the slice.
		lacks = max(-held-a.level, -a.slice)
	}
	return room{open: a.slice > 0 && a.level > -held, lacks: lacks, grows: grows * b.share(a, now)}
}

// unheard returns what the others may have let in since they were heard last. One that
// is late may be cut off, and what it is asked may have grown with what is asked here.
func (b *Limiter) unheard(a *account, now time.Time) float64 {
	sum, own := 0.0, a.asked()
	for _, s := range b.senders {
		if !s.fresh(now) {
			continue
		}
		asked, age := 0.0, s.age(now)
		if u := a.others[s]; u != nil {
			asked = u.asked(now)
		}
		sum += asked*age.Seconds() + max(0, float64(s.count)*own-asked)*max(0, age-s.patience/4).Seconds()
	}
	return sum
}

func (a *account) offer(cost float64) {
	a.demand += cost
}

// spend counts what was let in, here or elsewhere, against the level.
func (a *account) spend(amount float64) {
	a.level = max(-a.debtMost, min(a.limit.Burst, a.level-amount))
}

// take lets a request in; a cost below 0 gives back.
func (a *account) take(cost float64) {
	a.spend(cost)
	a.slice -= cost
	a.own += cost
	a.group += cost
	if cost > 0 {
		a.admitted++
	}
}

// Bounds of the time after which a refused client is asked back.
const (
	leastWait = 200 * time.Millisecond
	mostWait  = 30 * time.Second
)

// refuse counts a request that is not let in, and returns when to come back: when the
// limit has room for it behind those that were told so before.
func (a *account) refuse(cost float64, r room) time.Duration {
	a.refused++
	a.told.refused = true
	wait := a.wait(r)
	a.promise(cost)
	return wait + leastWait + rand.N(leastWait)
}

// wait returns when the limit has room behind those that were told to come back.
func (a *account) wait(r room) time.Duration {
	if r.grows <= 0 {
		return mostWait
	}
	return min(mostWait, time.Duration((max(0, r.lacks)+a.promised)/r.grows*float64(time.Second)))
}

// promise counts a request that was told to come back.
func (a *account) promise(cost float64) {
	a.promised = min(a.promised+cost, a.limit.Rate*mostWait.Seconds())
}
