// Package sharing decides which requests are admitted when more target time is asked for
// than the usable targets have. Each entry decides by itself, from its own demand and the
// totals that the entries exchange, so no request waits for another entry. The package does
// no I/O and has no clock: times are arguments.
//
// Target time is given out by priority class, and within a class by max-min fairness
// between customers, after a guaranteed part for each. docs/design/sharing.md has the
// reasons.
package sharing

import (
	"fmt"
	"sync"
	"time"
)

// Cost is the target time that a request takes, as a part of the time of a whole target:
// the time for which it holds a slot, divided by the target's slots, and the time to
// prefill its prompt.
type Cost struct{ Slot, Prefill time.Duration }

func (c Cost) seconds() float64 { return (c.Slot + c.Prefill).Seconds() }

// Request is a request to be decided on.
type Request struct {
	Service string
	Class   int
	// Customer is empty for requests without a key.
	Customer string
	Cost     Cost
	Content  Content
	// Targets is the number of targets that could take the request, each counted by its speed.
	Targets float64
	// Wait is its expected wait at the best one. Up to FreeWait it is admitted whatever the
	// totals say, as targets that are not busy must not stay so.
	Wait, FreeWait time.Duration
	// LateWait is FreeWait for the first Patience of a contention: a burst is then served
	// late, not refused. Neither matters if it is less than FreeWait.
	LateWait, Patience time.Duration
	// OnTimeWait is the wait up to which it is on time. In a contention that lasts longer
	// than Patience, waits above it are worked off; 0 disables that.
	OnTimeWait time.Duration
	// Remaining is for how long the client still waits; 0 if it is not known.
	Remaining time.Duration
	// Refused is set if the request is refused for another reason, with RetryAfter. It
	// counts as demand.
	Refused    bool
	RetryAfter time.Duration
}

// Decision is the decision on a request.
type Decision struct {
	Admitted bool
	// RetryAfter is when a refused request may be retried.
	RetryAfter time.Duration
	// Early is set if the request was refused because it was retried too early.
	Early bool
	// Fraction is the part of its customer's and class's requests that is admitted.
	Fraction float64
	// FirstClass and FirstCustomer have the most admitted target time of those that take
	// precedence. The name of a customer unknown to this entry is the hash of it.
	FirstClass    int
	FirstCustomer string
	// OldestTotal is the age of the oldest report of another entry that the decision is
	// based on.
	OldestTotal time.Duration
}

// Parameters of decisions.
const (
	// startPeriod is the time after the start in which requests are admitted by their
	// waits alone if no other entry has reported its demand.
	startPeriod = time.Second
	// minComputeInterval is the least time between two renewals of the fractions, which take
	// a millisecond with a thousand customers; maxComputeInterval is the age from which a
	// decision renews them itself.
	minComputeInterval = 150 * time.Millisecond
	maxComputeInterval = 500 * time.Millisecond
	// drainShare is the part of the capacity that is held back to work off waits of twice
	// OnTimeWait or more: those of 6 s that a burst of drafts leaves, in 20 s. drainSmoothing
	// is the weight of one request in the mean of waits.
	drainShare     = 0.25
	drainSmoothing = 0.05
	// maxCredit bounds what a running count gathers while requests are admitted for other
	// reasons, and maxOverdraft what retries may borrow from it.
	maxCredit    = 1.0
	maxOverdraft = 2.0
	// debtPeriod is how much of what an entry admits of a class in a second its retries may
	// borrow together. Without this bound, 103 entries admitted 7 s of work on credit at
	// once: two requests for each of 16 customers at each entry.
	debtPeriod = 0.5
	// minRetry is the retry time of the most urgent class with demand; each further one has
	// twice as long, so that more urgent requests find room first.
	minRetry = 200 * time.Millisecond
	// maxRetry bounds retry times: contention mostly changes within a few seconds.
	maxRetry = 4 * time.Second
	// maxRetryShare bounds a retry time to a part of the time that the client still waits;
	// the rest is for its request to be served.
	maxRetryShare = 0.4
)

// Sharer decides for one entry. It is safe for concurrent use.
type Sharer struct {
	mu       sync.Mutex
	name     string
	seed     uint64
	started  time.Time
	members  func() int
	services map[string]*service
	senders  map[string]*sender
	relays   map[string]relayUptime
	// retired are earlier starts of nodes, by name, whose late reports are ignored.
	retired map[string]time.Time
	names   map[uint64]string
	heard   bool
	refused refusedTable
	// spread is the last element of the sequence by which retry times are spread.
	spread float64
	hash   func(string) uint64
}

// New returns a sharer for the entry with a name. members returns the number of serving
// entries, hash the hash of a customer's name that all entries use.
func New(name string, members func() int, hash func(string) uint64, now time.Time) *Sharer {
	return &Sharer{
		name: name, seed: hash(name), started: now, members: members, hash: hash,
		services: map[string]*service{}, senders: map[string]*sender{}, retired: map[string]time.Time{}, names: map[uint64]string{},
		spread: float64(hash(name)>>11) / (1 << 53),
	}
}

// service returns the state of a service; nil if there are too many.
func (s *Sharer) service(name string) *service {
	svc := s.services[name]
	if svc == nil && len(s.services) < maxServices {
		svc = &service{name: name, totals: map[key]*total{}, rest: allAdmitted(), guarantee: 1}
		s.services[name] = svc
	}
	return svc
}

// Decide counts a request as demand and decides on it.
func (s *Sharer) Decide(r Request, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(r.Service)
	if svc == nil || r.Cost.Slot < 0 || r.Cost.Prefill < 0 || r.Cost.seconds() <= 0 {
		return Decision{Admitted: true, Fraction: 1}
	}
	r.Class = min(max(r.Class, 0), Classes-1)
	svc.noteTargets(r.Targets, now)
	if now.Sub(svc.computedAt) > maxComputeInterval {
		s.compute(svc, now)
	}
	t := svc.total(key{class: uint8(r.Class), customer: s.customerHash(r.Customer)}, s.seed)
	t.lastAsked = now
	retryAt, returning := s.refused.lookup(r.Content, now)
	if returning && svc.contended && now.Before(retryAt.Add(-retryTolerance)) {
		d := s.decision(svc, t, r, now)
		d.Early, d.RetryAfter = true, retryAt.Sub(now)
		return d
	}
	bucket := svc.costs[r.Class].bucket(r.Cost)
	if !returning {
		svc.costs[r.Class].add(r.Cost)
		t.asked.add(r.Cost.seconds(), now)
	}
	svc.noteWait(r, now)
	d := s.decision(svc, t, r, now)
	if r.Refused {
		if d.RetryAfter = r.RetryAfter; svc.contended {
			s.refused.add(r.Content, now.Add(r.RetryAfter))
		}
		return d
	}
	if !s.takeCredit(svc, t, bucket, returning, r, &d, now) {
		d.RetryAfter = s.retryDelay(r, d.Fraction)
		s.refused.add(r.Content, now.Add(d.RetryAfter))
		return d
	}
	d.Admitted = true
	t.admitted.add(r.Cost.seconds(), now)
	svc.admitted[r.Class].add(1, now)
	if returning {
		s.refused.remove(r.Content)
	}
	return d
}

// takeCredit decides on a request by the running count of its size, and updates it.
func (s *Sharer) takeCredit(svc *service, t *total, bucket int, returning bool, r Request, d *Decision, now time.Time) bool {
	if !svc.contended || s.starting(now) {
		return true
	}
	free := r.FreeWait
	if now.Sub(svc.contendedSince) < r.Patience {
		free = max(free, r.LateWait)
	}
	credit, threshold := t.credits[bucket], t.threshold(bucket, d.Fraction)
	if !returning {
		credit = min(credit, max(maxCredit, threshold)) + d.Fraction
	}
	admitted := true
	switch {
	case r.Wait <= free:
		// Time that nobody else could use leaves no debt.
		credit = max(credit-1, min(credit, 0))
	case credit >= threshold, returning && credit >= 1-maxOverdraft && svc.mayBorrow(r.Class, now):
		credit--
		t.nextThreshold(bucket)
	default:
		admitted = false
	}
	svc.setCredit(t, bucket, credit)
	return admitted
}

// bucket returns the range of sizes of a request, by its cost relative to the mean of its
// class.
func (c classCost) bucket(cost Cost) int {
	ratio := cost.seconds() / max(c.mean(), 1e-9)
	switch {
	case c.requests == 0 || ratio >= 0.75 && ratio < 1.5:
		return 1
	case ratio < 0.75:
		return 0
	case ratio < 4:
		return 2
	}
	return 3
}

// starting reports whether this entry has not heard of any other since its recent start.
func (s *Sharer) starting(now time.Time) bool {
	return !s.heard && s.members() > 1 && now.Sub(s.started) < startPeriod
}

// decision returns a refusal with what explains it.
func (s *Sharer) decision(svc *service, t *total, r Request, now time.Time) Decision {
	d := Decision{Fraction: t.fraction, FirstClass: r.Class}
	if !svc.contended {
		d.Fraction = 1
		return d
	}
	first, _ := svc.first(r.Class)
	d.FirstClass, d.FirstCustomer, d.OldestTotal = int(first.class), s.customerName(first.customer), s.oldest(now)
	return d
}

// retryDelay returns when a refused request may be retried: the sooner the more urgent it
// is and the more of its class is admitted. Successive delays are spread evenly over a
// factor of two.
func (s *Sharer) retryDelay(r Request, fraction float64) time.Duration {
	const goldenRatio = 0.6180339887498949
	if s.spread += goldenRatio; s.spread >= 1 {
		s.spread--
	}
	base := float64(minRetry<<s.moreUrgent(r.Service, r.Class)) * (1.5 - min(1, fraction))
	delay := time.Duration(base * (1 + s.spread))
	if r.Remaining > 0 {
		delay = min(delay, time.Duration(maxRetryShare*float64(r.Remaining)*(1+s.spread)/2))
	}
	return min(max(delay, minRetry/4), maxRetry)
}

// maxNames bounds the customers' names that are kept for log lines.
const maxNames = 8192

func (s *Sharer) customerHash(name string) uint64 {
	h := s.hash(name)
	if _, known := s.names[h]; !known && len(s.names) < maxNames {
		s.names[h] = name
	}
	return h
}

func (s *Sharer) customerName(hash uint64) string {
	if name, known := s.names[hash]; known {
		return name
	}
	if hash == 0 {
		return "(others)"
	}
	return fmt.Sprintf("%016x", hash)
}

// Update drops what has expired, and renews the fractions where that is due.
func (s *Sharer) Update(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for name, svc := range s.services {
		if now.Sub(svc.computedAt) >= minComputeInterval {
			s.compute(svc, now)
		}
		if len(svc.totals) == 0 {
			delete(s.services, name)
		}
	}
}

func (s *Sharer) compute(svc *service, now time.Time) {
	s.expire(now)
	svc.compute(s.part(), now)
}

// part returns the part of the targets' capacity that the demand known here may take: all
// of it if all entries report, otherwise that of the entries that do.
func (s *Sharer) part() float64 {
	entries := 1
	for _, other := range s.senders {
		entries += other.entries
	}
	return min(1, float64(entries)/float64(max(1, s.members())))
}

// MoreUrgent reports whether there is demand of a class more urgent than the given one.
func (s *Sharer) MoreUrgent(service string, class int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moreUrgent(service, class) > 0
}

// moreUrgent returns how many classes more urgent than the given one have demand; the
// caller holds mu.
func (s *Sharer) moreUrgent(service string, class int) int {
	svc := s.services[service]
	if svc == nil {
		return 0
	}
	n := 0
	for i := range min(class, Classes) {
		if svc.demands[i].demand > minDemand {
			n++
		}
	}
	return n
}

// allAdmitted returns the fractions of a service without contention.
func allAdmitted() (fractions [Classes]float64) {
	for i := range fractions {
		fractions[i] = 1
	}
	return fractions
}
