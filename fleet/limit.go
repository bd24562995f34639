package fleet

import (
	"math/rand/v2"
	"time"

	"acaciakeel/policy"
	"acaciakeel/quota"
)

// Limit is how many requests per second a target takes from all processes together; the
// zero Limit is none.
type Limit struct {
	Declared bool
	Rate     float64
}

// LimitChange is a limit that a target declared, changed or lifted.
type LimitChange struct {
	Target   Instance
	New, Old Limit
}

// LimitUpdate is a target's limit as one process shares it with others.
type LimitUpdate struct {
	Limit
	// Age is how long ago the target declared the limit.
	Age time.Duration
}

// limitState is the limit that a target last declared, and the requests sent to it.
type limitState struct {
	Limit
	// declaredAt is when the target declared it to any process, observedAt when to this
	// one.
	declaredAt, observedAt time.Time
	// requests and cacheReads count what this process sent there since the last
	// TakeLimitUsage: clients' requests, and reads of cache events.
	requests, cacheReads int
}

// Constants of targets' limits.
const (
	// requestUnits is the charge of one request, so that it can be divided among
	// processes.
	requestUnits = 1000
	// minLimit is the limit used for a target that takes nothing, in requests per second:
	// only a response can show that it takes requests again.
	minLimit = 0.1
	// minLimitBurst is the smallest number of requests that may come at once.
	minLimitBurst = 2
)

// oneRequest is the charge of a request against its target's limit.
var oneRequest = quota.Size{Tokens: requestUnits, Known: true}

// LimitTolerance is what targets tolerate beyond the limits that they declare: half as
// much again in four seconds, and five requests.
var LimitTolerance = quota.Tolerance{Window: 4 * time.Second, Overrun: 0.5, Slack: 5 * requestUnits}

// EnforceLimits has b enforce the limits that targets declare, with r as the source of
// randomness. It must be called before the view is used.
func (f *Fleet) EnforceLimits(b *quota.Limiter, r *rand.Rand) {
	b.Stagger(requestUnits, r)
	f.limiter = b
}

// setLimit applies a limit that a target declared.
func (f *Fleet) setLimit(s *targetState, l Limit, at time.Time) (c LimitChange, changed bool) {
	c = LimitChange{Target: s.target.Instance(), New: l, Old: s.limit.Limit}
	s.limit.Limit, s.limit.declaredAt = l, at
	f.limitsChanged = f.limitsChanged || c.New != c.Old
	return c, c.New != c.Old
}

// mergeLimit applies a limit that a target declared to another process; the newer
// declaration wins.
func (f *Fleet) mergeLimit(s *targetState, update *LimitUpdate, now time.Time) (c LimitChange, changed bool) {
	if update == nil {
		return LimitChange{}, false
	}
	at := now.Add(-update.Age)
	if !at.After(s.limit.declaredAt) || !update.Declared && !s.limit.Declared {
		return LimitChange{}, false
	}
	return f.setLimit(s, update.Limit, at)
}

// limitUpdate returns the limit that the target recently declared to this process. Limits
// received from other processes are not passed on, as they would circulate forever.
func (s *targetState) limitUpdate(now time.Time) *LimitUpdate {
	if s.limit.observedAt.IsZero() || s.limit.observedAt.Before(s.limit.declaredAt) || now.Sub(s.limit.observedAt) >= updateRepeatFor {
		return nil
	}
	return &LimitUpdate{Limit: s.limit.Limit, Age: now.Sub(s.limit.declaredAt)}
}

// enforcesLimit reports whether a target has a limit to be enforced. It first hands
// changed limits to the limiter.
func (f *Fleet) enforcesLimit(s *targetState, now time.Time) bool {
	if f.limitsChanged && f.limiter != nil {
		f.limitsChanged = false
		f.limiter.SetLimits(f.declaredLimits(), now)
	}
	return s.limit.Declared && f.limiter != nil && !f.disabled[policy.TargetLimits]
}

func (f *Fleet) declaredLimits() map[string]quota.Limit {
	out := map[string]quota.Limit{}
	for id, s := range f.states {
		if s.limit.Declared {
			rate := max(s.limit.Rate, minLimit)
			out[id] = quota.Limit{Rate: rate * requestUnits, Burst: max(rate/limitBurstDivisor, minLimitBurst) * requestUnits, Unit: quota.Tokens}
		}
	}
	return out
}

// limitBurstDivisor is by what a second's requests are divided to get the number that may
// come at once.
const limitBurstDivisor = 4

// withinLimit reports whether a target's limit has room for one more request, which
// counts as demand.
func (f *Fleet) withinLimit(s *targetState, now time.Time) bool {
	return !f.enforcesLimit(s, now) || f.limiter.CanAdmit(s.target.ID, oneRequest, now)
}

// chargeLimit charges a request against its target's limit.
func (f *Fleet) chargeLimit(s *targetState, now time.Time) *quota.Charge {
	s.limit.requests++
	if !f.enforcesLimit(s, now) {
		return nil
	}
	return f.limiter.Consume(s.target.ID, oneRequest, now)
}

// Limit returns the limit that a target declares.
func (f *Fleet) Limit(l Instance) Limit {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil {
		return s.limit.Limit
	}
	return Limit{}
}

// LimitUsage is what this process sent to a target with a limit.
type LimitUsage struct {
	Target Instance
	// Rate is the limit, in requests per second.
	Rate float64
	// Requests counts clients' requests, CacheReads reads of cache events.
	Requests, CacheReads int
}

// TakeLimitUsage returns what was sent to targets with limits since the last call.
func (f *Fleet) TakeLimitUsage() []LimitUsage {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []LimitUsage
	for _, s := range f.states {
		if s.limit.Declared {
			out = append(out, LimitUsage{Target: s.target.Instance(), Rate: s.limit.Rate, Requests: s.limit.requests, CacheReads: s.limit.cacheReads})
		}
		s.limit.requests, s.limit.cacheReads = 0, 0
	}
	return out
}
