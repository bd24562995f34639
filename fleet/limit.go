package fleet

import (
	"math/rand/v2"
	"time"

	"acaciakeel/policy"
	"acaciakeel/quota"
)

// Limit is how many requests a second a target takes from all processes together; the
// zero Limit is none.
type Limit struct {
	Declared bool
	Rate     float64
}

// LimitChange is a limit that a target named, changed or no longer names.
type LimitChange struct {
	Target   Instance
	New, Old Limit
}

// LimitUpdate is a target's word on its limit as one process tells it to others.
type LimitUpdate struct {
	Limit
	// Age is for how long the process has known it.
	Age time.Duration
}

// limitWord is a target's newest word on its limit.
type limitWord struct {
	Limit
	// at is when it was said to whichever process met it, metAt when to this one.
	at, metAt time.Time
	// requests and readings count what this process sent there since they were asked
	// for: clients' requests, and questions after cache events.
	requests, readings int
}

// Figures of targets' limits.
const (
	// requestUnits is how much one request counts, so that shares of one do.
	requestUnits = 1000
	// leastLimit is the limit of a target that takes nothing, in requests a second:
	// nothing but an answer tells that it takes more again.
	leastLimit = 0.1
	// limitBurst is how many requests may come at once at least.
	limitBurst = 2
)

// oneRequest is what a request counts against its target's limit.
var oneRequest = quota.Size{Tokens: requestUnits, Known: true}

// LimitTolerance are what targets that name limits put up with beyond these: half as much
// again in four seconds, and five requests.
var LimitTolerance = quota.Tolerance{Window: 4 * time.Second, Overrun: 0.5, Slack: 5 * requestUnits}

// EnforceLimits has the limits that targets name be kept by b, before the view is used.
// What is random in it is drawn from r.
func (f *Fleet) EnforceLimits(b *quota.Limiter, r *rand.Rand) {
	b.Stagger(requestUnits, r)
	f.rates = b
}

// setLimit puts a target's word on its limit into force.
func (f *Fleet) setLimit(s *state, l Limit, at time.Time) (c LimitChange, changed bool) {
	c = LimitChange{Target: s.runner.Instance(), New: l, Old: s.limit.Limit}
	s.limit.Limit, s.limit.at = l, at
	f.relimit = f.relimit || c.New != c.Old
	return c, c.New != c.Old
}

// heardLimit takes what another process was told by a target; the newer word holds.
func (f *Fleet) heardLimit(s *state, told *LimitUpdate, now time.Time) (c LimitChange, changed bool) {
	if told == nil {
		return LimitChange{}, false
	}
	at := now.Add(-told.Age)
	if !at.After(s.limit.at) || !told.Declared && !s.limit.Declared {
		return LimitChange{}, false
	}
	return f.setLimit(s, told.Limit, at)
}

// toldLimit returns what the target lately said to this process. Were it to pass on what
// it heard of others, a word would go round for good.
func (s *state) toldLimit(now time.Time) *LimitUpdate {
	if s.limit.metAt.IsZero() || s.limit.metAt.Before(s.limit.at) || now.Sub(s.limit.metAt) >= newsFor {
		return nil
	}
	return &LimitUpdate{Limit: s.limit.Limit, Age: now.Sub(s.limit.at)}
}

// keepsLimit reports whether there is a limit to be kept to at a target.
func (f *Fleet) keepsLimit(s *state, now time.Time) bool {
	if f.relimit && f.rates != nil {
		f.relimit = false
		f.rates.SetLimits(f.namedLimits(), now)
	}
	return s.limit.Declared && f.rates != nil && !f.off[policy.TargetLimits]
}

func (f *Fleet) namedLimits() map[string]quota.Limit {
	out := map[string]quota.Limit{}
	for id, s := range f.states {
		if s.limit.Declared {
			rate := max(s.limit.Rate, leastLimit)
			out[id] = quota.Limit{Rate: rate * requestUnits, Burst: max(rate/limitBurstParts, limitBurst) * requestUnits, Unit: quota.Tokens}
		}
	}
	return out
}

// limitBurstParts is which part of a second's requests may come at once.
const limitBurstParts = 4

// open reports whether a target's limit has room for one more request, which counts as
// asked of it.
func (f *Fleet) open(s *state, now time.Time) bool {
	return !f.keepsLimit(s, now) || f.rates.CanAdmit(s.runner.ID, oneRequest, now)
}

// takeLimit counts a request against its target's limit.
func (f *Fleet) takeLimit(s *state, now time.Time) *quota.Charge {
	s.limit.requests++
	if !f.keepsLimit(s, now) {
		return nil
	}
	return f.rates.Consume(s.runner.ID, oneRequest, now)
}

// Limit returns the limit that a target names.
func (f *Fleet) Limit(l Instance) Limit {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.about(l); s != nil {
		return s.limit.Limit
	}
	return Limit{}
}

// LimitUsage is what this process sent to a target with a limit.
type LimitUsage struct {
	Target Instance
	// Rate is the limit, in requests a second.
	Rate float64
	// Requests are clients', CacheReads questions after cache events.
	Requests, CacheReads int
}

// TakeLimitUsage returns what was sent to targets with limits since it was asked last.
func (f *Fleet) TakeLimitUsage() []LimitUsage {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []LimitUsage
	for _, s := range f.states {
		if s.limit.Declared {
			out = append(out, LimitUsage{Target: s.runner.Instance(), Rate: s.limit.Rate, Requests: s.limit.requests, CacheReads: s.limit.readings})
		}
		s.limit.requests, s.limit.readings = 0, 0
	}
	return out
}
