package sharing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// demandDecay is the time constant of the measured rates. Loads rise within seconds; the
// demand of one customer at one entry is too irregular over shorter times.
const demandDecay = time.Second

// Bounds of memory and of recomputation.
const (
	// maxServices and maxKeys bound the services, and the pairs of class and customer per
	// service, that are accounted for. What is beyond counts as demand of customers that
	// are not listed.
	maxServices = 64
	maxKeys     = 4096
	// idleRetention is how long a key without demand is kept.
	idleRetention = 10 * time.Second
	// sizeBuckets is the number of ranges of cost that have a running count of their own.
	sizeBuckets = 4
)

// key identifies the demand of one customer in one class. Customer 0 stands for all that
// are not listed.
type key struct {
	class    uint8
	customer uint64
}

// rate is a decayed sum of target time over the last seconds.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(amount float64, now time.Time) {
	r.sum = r.perSecond(now)*demandDecay.Seconds() + amount
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-max(0, now.Sub(r.at).Seconds())/demandDecay.Seconds()) / demandDecay.Seconds()
}

// total is the demand of one key.
type total struct {
	key key
	// asked and admitted are what clients asked of this entry and what it admitted.
	asked, admitted rate
	// peers and groups are the demands that other entries of the group and other groups
	// reported, in microseconds per second.
	peers, groups amounts
	lastAsked     time.Time
	// fraction is the part of new requests that is admitted.
	fraction float64
	// credits are the running counts by size: each new request adds the fraction, and each
	// admitted one takes 1.
	credits [sizeBuckets]float64
	// offsets move the counts at which the next requests are admitted, from -0.5 to 0.5, and random
	// is the state from which they are drawn.
	offsets [sizeBuckets]float64
	random  uint64
}

// threshold returns the running count at which the next request of a size is admitted. It varies
// around 1: sizes that come in turn could otherwise keep in step with the count, which would then
// reach 1 always at the same one. It varies by the part that is refused, so that no request is refused
// where all are to be admitted.
func (t *total) threshold(bucket int, fraction float64) float64 {
	return 1 + t.offsets[bucket]*(1-fraction)
}

// nextThreshold draws the next threshold of a size.
func (t *total) nextThreshold(bucket int) {
	t.random = mix(t.random)
	t.offsets[bucket] = unit(t.random) - 0.5
}

// amounts are target times per second, in microseconds.
type amounts struct{ asked, admitted int64 }

func (a *amounts) add(other amounts, sign int64) {
	a.asked += sign * other.asked
	a.admitted += sign * other.admitted
}

// demand returns the target time per second that clients of all entries ask for.
func (t *total) demand(now time.Time) float64 {
	return t.asked.perSecond(now) + float64(t.peers.asked+t.groups.asked)/1e6
}

// admittedTime returns the target time per second that all entries admit.
func (t *total) admittedTime(now time.Time) float64 {
	return t.admitted.perSecond(now) + float64(t.peers.admitted+t.groups.admitted)/1e6
}

// classCost is what requests of a class cost, as decayed sums.
type classCost struct{ requests, slot, prefill float64 }

// costDecay is the weight that earlier requests keep with each new one.
const costDecay = 0.98

func (c *classCost) add(cost Cost) {
	c.requests = c.requests*costDecay + 1
	c.slot = c.slot*costDecay + cost.Slot.Seconds()
	c.prefill = c.prefill*costDecay + cost.Prefill.Seconds()
}

// parts returns the parts of target time that are slot time and prefill time. A class
// without requests here is assumed to need both for all of its time.
func (c classCost) parts() (slot, prefill float64) {
	sum := c.slot + c.prefill
	if sum <= 0 {
		return 1, 1
	}
	return c.slot / sum, c.prefill / sum
}

func (c classCost) mean() float64 {
	if c.requests <= 0 {
		return 0
	}
	return (c.slot + c.prefill) / c.requests
}

// service is the demand and the capacity of one service.
type service struct {
	name   string
	totals map[key]*total
	costs  [Classes]classCost
	// admitted counts the requests that this entry admits, and debts the sum of the running
	// counts below 0, by class.
	admitted [Classes]rate
	debts    [Classes]float64
	// targets are the numbers of usable targets seen in the current and the previous
	// capacityWindow: the higher counts, as a full target is unusable for moments.
	targets      [2]float64
	targetsSince time.Time
	contended    bool
	// contendedAt is when the demand last exceeded the capacity, contendedSince when that
	// began.
	contendedSince time.Time
	contendedAt    time.Time
	computedAt     time.Time
	// backlog is the mean excess of waits over OnTimeWait in the least urgent class, from 0
	// to 1.
	backlog float64
	// urgent is the key with the most admitted time by class.
	urgent [Classes]key
	// rest are the fractions of customers that are not listed; guarantee is the lower limit
	// of all.
	rest      [Classes]float64
	guarantee float64
	demands   [Classes]classDemand
}

// contentionPause is how long the demand must stay below the capacity for a contention to
// have ended: the waits that it left are mostly worked off by then.
const contentionPause = 2 * time.Second

// capacityWindow is the period over which the highest number of usable targets counts. A
// target that refused because its queue was full is unusable for 30 ms, while a lost
// target must be noticed within a second.
const capacityWindow = 400 * time.Millisecond

func (s *service) noteTargets(n float64, now time.Time) {
	if elapsed := now.Sub(s.targetsSince); elapsed >= capacityWindow {
		s.targets[1] = s.targets[0]
		if elapsed >= 2*capacityWindow {
			s.targets[1] = 0
		}
		s.targets[0], s.targetsSince = 0, now
	}
	s.targets[0] = max(s.targets[0], n)
}

// noteWait records the expected wait of a request in a lasting contention. More urgent
// classes wait less, so only those of the least urgent class with demand count.
func (s *service) noteWait(r Request, now time.Time) {
	for _, c := range s.demands[r.Class+1:] {
		if c.demand > minDemand {
			return
		}
	}
	excess := 0.0
	if s.contended && r.OnTimeWait > 0 && now.Sub(s.contendedSince) >= r.Patience {
		excess = min(1, max(0, r.Wait.Seconds()/r.OnTimeWait.Seconds()-1))
	}
	s.backlog += drainSmoothing * (excess - s.backlog)
}

func (s *service) capacity() float64 {
	return max(s.targets[0], s.targets[1])
}

// total returns the demand of a key, which it creates; beyond maxKeys it returns that of
// the customers that are not listed.
func (s *service) total(k key, seed uint64) *total {
	if t := s.totals[k]; t != nil {
		return t
	}
	if len(s.totals) >= maxKeys && k.customer != 0 {
		return s.total(key{class: k.class}, seed)
	}
	t := &total{key: k, fraction: s.rest[k.class]}
	if !s.contended {
		t.fraction = 1
	}
	// The counts of the entries start at different values, or customers of whom each entry
	// gets a few requests would be refused by all.
	for i := range t.credits {
		seed = mix(seed ^ k.customer ^ uint64(k.class)<<8 ^ uint64(i))
		t.credits[i] = unit(seed)
	}
	t.random = seed
	s.totals[k] = t
	return t
}

// setCredit sets a running count.
func (s *service) setCredit(t *total, bucket int, credit float64) {
	s.debts[t.key.class] += max(0, -credit) - max(0, -t.credits[bucket])
	t.credits[bucket] = credit
}

// mayBorrow reports whether a retry of a class may be admitted on credit.
func (s *service) mayBorrow(class int, now time.Time) bool {
	return s.debts[class] < max(1, debtPeriod*s.admitted[class].perSecond(now))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a hash to the interval from 0 to 1.
func unit(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// compute sets the fractions of all keys for a part of the targets' capacity.
func (s *service) compute(part float64, now time.Time) {
	s.computedAt = now
	s.collect(now)
	guarantee, contended := 1.0, false
	if capacity := part * s.capacity() * (1 - drainShare*s.backlog); capacity > 0 {
		guarantee, contended = allocate(&s.demands, capacity)
	}
	if contended {
		if now.Sub(s.contendedAt) > contentionPause {
			s.contendedSince = now
		}
		s.contendedAt = now
	}
	s.contended, s.guarantee = contended, guarantee
	for i := range s.demands {
		c := &s.demands[i]
		s.rest[i] = 1
		for _, d := range c.customers {
			f := 1.0
			if contended {
				f = d.fraction(guarantee, c.level)
			}
			d.total.fraction = f
			if d.total.key.customer == 0 {
				s.rest[i] = f
			}
		}
	}
}

// collect gathers the demands by class, and drops keys that have been idle.
func (s *service) collect(now time.Time) {
	var busiest [Classes]float64
	for i := range s.demands {
		c := &s.demands[i]
		*c = classDemand{customers: c.customers[:0], cost: s.costs[i].mean()}
		c.slot, c.prefill = s.costs[i].parts()
		s.urgent[i] = key{class: uint8(i)}
	}
	for k, t := range s.totals {
		demand := t.demand(now)
		if demand < minDemand {
			if now.Sub(t.lastAsked) > idleRetention {
				for i := range t.credits {
					s.setCredit(t, i, 0)
				}
				delete(s.totals, k)
			}
			t.fraction = 1
			continue
		}
		c := &s.demands[k.class]
		c.customers = append(c.customers, customerDemand{total: t, demand: demand, weight: 1})
		c.demand += demand
		if admitted := t.admittedTime(now); admitted > busiest[k.class] {
			busiest[k.class], s.urgent[k.class] = admitted, k
		}
	}
	for i := range s.demands {
		s.demands[i].weighRest()
	}
}

// first returns the key with the most admitted time of the most urgent class with demand,
// up to the given one.
func (s *service) first(class int) (key, bool) {
	for i := range class {
		if len(s.demands[i].customers) > 0 {
			return s.urgent[i], true
		}
	}
	return s.urgent[class], len(s.demands[class].customers) > 0
}

// minDemand is the target time per second below which a key has no demand: one request of
// a millisecond in a thousand seconds.
const minDemand = 1e-6

// weighRest sets for how many customers the demand of those not listed counts: each of
// them asks for at most as much as the least of those listed.
func (c *classDemand) weighRest() {
	least := math.Inf(1)
	for _, d := range c.customers {
		if d.total.key.customer != 0 {
			least = min(least, d.demand)
		}
	}
	for i := range c.customers {
		if d := &c.customers[i]; d.total.key.customer == 0 && !math.IsInf(least, 1) {
			d.weight = math.Ceil(d.demand / least)
		}
	}
}

// largest returns the keys with the highest demands, those of unlisted customers excluded.
func largest(rows []Row, n int) []Row {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Service, b.Service))
	})
	return rows[:min(n, len(rows))]
}
