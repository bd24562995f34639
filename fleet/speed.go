package fleet

import (
	"math"
	"time"

	"acaciakeel/forecast"
	"acaciakeel/health"
	"acaciakeel/policy"
)

// Targets of one service differ in speed. The lasting part is learnt for each instance from
// observed times; the current slowdown is what the target reports about itself. Both scale
// the times that are expected of a choice. What is learnt of the service itself is
// normalised by them, or requests at slow targets would make all targets seem slow.

// Bounds of speeds and slowdowns.
const (
	// minSpeed and maxSpeed bound the learnt speed. Targets of one service differ by less
	// than three times (docs/design/scarce-capacity.md), so a ratio beyond these bounds
	// shows queueing or cached prompts rather than speed.
	minSpeed, maxSpeed = 0.25, 4
	// minDifference is the difference from the mean, as a logarithm, from which a target's
	// speed counts. Among equally fast targets the estimates are up to 7% off
	// (docs/design/pauses.md), and such targets are to be chosen as if none were learnt.
	minDifference = 0.1
	// speedPriorWeight is the number of samples that the assumption of equal speeds is
	// worth: below it a few delayed responses would decide where requests go.
	speedPriorWeight = 10
	// maxSpeedWeight bounds the weight of earlier samples, so that a change of speed shows
	// after about as many more.
	maxSpeedWeight = 100
	// slowdownTTL is for how long a reported slowdown is trusted. Slow periods take about
	// 600 ms, so a report is at a random time of one with 300 ms left on average.
	slowdownTTL = 300 * time.Millisecond
	// slowdownFade is the time after slowdownTTL within which the slowdown returns to 1.
	slowdownFade = 300 * time.Millisecond
	// minSharedSlowdown is the slowdown from which it is shared with other processes: less
	// changes no choice by more than the noise of the times.
	minSharedSlowdown = 1.3
	// speedShareInterval is the least time between two updates that contain a target's
	// speed, settledShareInterval the same once its estimate has settledWeight samples. With
	// hundreds of processes, updates at the first rate would fill the digests between their
	// groups.
	speedShareInterval   = 500 * time.Millisecond
	settledShareInterval = 10 * time.Second
	settledWeight        = 3 * speedPriorWeight
	// outlierRatio is the ratio to the present value from which a sample weighs less: more
	// than between the fastest and the usual targets.
	outlierRatio = 2
	// maxReportedSamples bounds the samples taken over from one update of another process.
	maxReportedSamples = 20
	// capacityTTL is for how long a service's capacity is not computed again.
	capacityTTL = 50 * time.Millisecond
	// paceTTL is for how long a target's speed and the mean of a service's speeds are not
	// computed again: a choice needs those of all targets.
	paceTTL = 100 * time.Millisecond
)

// slowdownState is how long work takes at a target at present, relative to its usual time,
// as the target reported it at a time; a factor of 0 means that it reported none.
type slowdownState struct {
	factor float64
	at     time.Time
	// observed is the last report to this process itself, sharedUntil until when updates
	// include it: also its end is shared, while others may still assume the slowdown.
	observed    float64
	observedAt  time.Time
	sharedUntil time.Time
	// sharedReport is the time of the last report that an update included.
	sharedReport time.Time
}

// current returns the slowdown at a time; 1 is the usual.
func (w *slowdownState) current(now time.Time) float64 {
	age := now.Sub(w.at)
	switch {
	case w.factor <= 0 || age >= slowdownTTL+slowdownFade:
		return 1
	case age <= slowdownTTL:
		return w.factor
	}
	rest := float64(slowdownTTL+slowdownFade-age) / float64(slowdownFade)
	return 1 + (w.factor-1)*rest
}

// record applies a target's report to this process.
func (w *slowdownState) record(factor float64, now time.Time) {
	w.merge(factor, now)
	w.observed, w.observedAt = factor, now
	if factor > minSharedSlowdown {
		w.sharedUntil = now.Add(slowdownTTL + slowdownFade)
	}
}

// merge applies a report unless a newer one is known.
func (w *slowdownState) merge(factor float64, at time.Time) {
	if at.After(w.at) {
		w.factor, w.at = factor, at
	}
}

// speedState is what is known of a target's lasting speed: the mean logarithm of observed to
// predicted times, by weight.
type speedState struct {
	sum    float64
	weight float64
	// unsharedSum and unsharedWeight are this process's samples since the last update to the
	// other processes, at sharedAt.
	unsharedSum, unsharedWeight float64
	sharedAt                    time.Time
	// duration is the lasting ratio that follows from the samples, as of durationAt.
	duration   float64
	durationAt time.Time
}

// add adds samples with the given mean ratio of observed to predicted time.
func (w *speedState) add(ratio, weight float64) {
	if over := w.weight + weight; over > maxSpeedWeight {
		keep := max(0, maxSpeedWeight-weight) / w.weight
		w.sum, w.weight = w.sum*keep, w.weight*keep
	}
	w.sum += weight * boundedLog(ratio)
	w.weight += weight
}

// observe adds a sample of this process. One that is off the present value by a factor
// beyond outlierRatio weighs less by the square of the excess: the request waited there, or
// its prompt was cached.
func (w *speedState) observe(ratio, weight float64) {
	if off := math.Exp(math.Abs(math.Log(ratio) - w.logDuration())); off > outlierRatio {
		weight *= (outlierRatio / off) * (outlierRatio / off)
	}
	w.add(ratio, weight)
	w.unsharedSum += weight * boundedLog(ratio)
	w.unsharedWeight += weight
}

// boundedLog returns the logarithm of a ratio of durations within the bounds of speeds.
func boundedLog(ratio float64) float64 {
	return math.Log(min(max(ratio, 1/maxSpeed), 1/minSpeed))
}

// logDuration returns the logarithm of how long work takes at the target.
func (w *speedState) logDuration() float64 {
	return w.sum / (w.weight + speedPriorWeight)
}

// takeShare returns the samples of this process since the last update, once there is at
// least one and the interval has passed.
func (w *speedState) takeShare(now time.Time) (speed float64, samples int) {
	interval := speedShareInterval
	if w.weight >= settledWeight {
		interval = settledShareInterval
	}
	if w.unsharedWeight < 1 || now.Sub(w.sharedAt) < interval {
		return 0, 0
	}
	speed, samples = math.Exp(-w.unsharedSum/w.unsharedWeight), int(math.Round(w.unsharedWeight))
	w.unsharedSum, w.unsharedWeight, w.sharedAt = 0, 0, now
	return speed, samples
}

// serviceSpeeds is the mean of the speeds of a service's targets and their sum, as of a time.
type serviceSpeeds struct {
	meanLog    float64
	meanAt     time.Time
	capacity   float64
	capacityAt time.Time
	// usable is the number of targets that capacity is the sum of.
	usable int
	// worst is the largest slowdown that a target reported recently, as of worstAt.
	worst   float64
	worstAt time.Time
	// reports and slowReports are the decayed numbers of reports of targets to this process,
	// and of those of a slowdown, as of reportsAt.
	reports, slowReports float64
	reportsAt            time.Time
}

// worstDecayTime is the time constant with which the largest slowdown fades: slow times that
// take turns among some dozen targets come every few seconds.
const worstDecayTime = 30 * time.Second

// maxWorstSlowdown bounds what one faulty report can change for all targets.
const maxWorstSlowdown = 4

// worstSlowdown returns the largest slowdown that a target reported recently, at least 1.
func (w *serviceSpeeds) worstSlowdown(now time.Time) float64 {
	return 1 + max(0, w.worst-1)*math.Exp(-max(0, now.Sub(w.worstAt)).Seconds()/worstDecayTime.Seconds())
}

// countReport adds a report of a target to this process.
func (w *serviceSpeeds) countReport(factor float64, now time.Time) {
	if !w.reportsAt.IsZero() {
		decay := math.Exp(-max(0, now.Sub(w.reportsAt)).Seconds() / worstDecayTime.Seconds())
		w.reports, w.slowReports = w.reports*decay, w.slowReports*decay
	}
	w.reportsAt = now
	w.reports++
	if factor >= minSharedSlowdown {
		w.slowReports++
	}
}

// slowShare returns the part of the time for which targets are slowed down.
func (w *serviceSpeeds) slowShare() float64 {
	return w.slowReports / (w.reports + speedPriorWeight)
}

func (w *serviceSpeeds) noteSlowdown(factor float64, now time.Time) {
	if factor = min(factor, maxWorstSlowdown); factor > w.worstSlowdown(now) {
		w.worst, w.worstAt = factor, now
	}
}

// pace returns a target's pace; the caller holds mu.
func (f *Fleet) pace(s *targetState, now time.Time) Pace {
	p := usualPace
	if !f.disabled[policy.TargetSpeeds] {
		w := &s.speed
		if age := now.Sub(w.durationAt); w.durationAt.IsZero() || age < 0 || age >= paceTTL {
			ratio := math.Exp(w.logDuration() - f.meanLogDuration(s.target.Service, now))
			if math.Abs(math.Log(ratio)) < minDifference {
				ratio = 1
			}
			w.duration, w.durationAt = min(max(ratio, 1/float64(maxSpeed)), 1/minSpeed), now
		}
		p.Duration = w.duration
	}
	if !f.disabled[policy.TargetSlowdowns] {
		p.Slowdown = s.slowdown.current(now)
	}
	return p
}

// meanLogDuration returns the mean of the learnt values of a service's targets. Speeds are
// relative to it: without that, the speeds and the service's own figures could drift in
// opposite directions with all predictions unchanged.
func (f *Fleet) meanLogDuration(service string, now time.Time) float64 {
	w := f.speeds(service)
	if age := now.Sub(w.meanAt); !w.meanAt.IsZero() && age >= 0 && age < paceTTL {
		return w.meanLog
	}
	w.meanLog, w.meanAt = 0, now
	g := f.group(service)
	if g == nil {
		return 0
	}
	for _, s := range g.states {
		w.meanLog += s.speed.logDuration() / float64(len(g.states))
	}
	return w.meanLog
}

func (f *Fleet) speeds(service string) *serviceSpeeds {
	w := f.serviceSpeeds[service]
	if w == nil {
		w = &serviceSpeeds{}
		f.serviceSpeeds[service] = w
	}
	return w
}

// Capacity returns the sum of the current speeds of a service's usable targets, in targets
// of the service's usual speed: those that are not draining, dead, unresponsive, backing off
// or kept busy by a load order. It is computed at most every capacityTTL.
func (f *Fleet) Capacity(service string, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.speeds(service)
	if age := now.Sub(w.capacityAt); !w.capacityAt.IsZero() && age >= 0 && age < capacityTTL {
		return w.capacity
	}
	w.capacity, w.capacityAt, w.usable = 0, now, 0
	g := f.group(service)
	if g == nil {
		return 0
	}
	var usable []int32
	for i, s := range g.states {
		if !s.target.Draining && s.health.State(now) != health.Dead && s.backoff.remaining(now) == 0 && !now.Before(s.busyUntil) {
			usable = append(usable, int32(i))
		}
	}
	usable = responsive(g, usable, now)
	w.usable = len(usable)
	for _, i := range usable {
		p := f.pace(g.states[i], now)
		w.capacity += 1 / (p.Duration * p.Slowdown)
	}
	return w.capacity
}

// MeanSpeed returns the mean speed of a service's usable targets at this moment, where 1 is
// that of a target of the usual speed; 1 if none is usable.
func (f *Fleet) MeanSpeed(service string, now time.Time) float64 {
	capacity := f.Capacity(service, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.speeds(service).usable; n > 0 && capacity > 0 {
		return capacity / float64(n)
	}
	return 1
}

// observeSpeed adds the time to first token of a request to what is learnt of its target,
// and returns the sample as it would be at a target of the service's usual pace.
func (f *Fleet) observeSpeed(t *ActiveRequest, sample forecast.PrefillSample, now time.Time) forecast.PrefillSample {
	slowdown := (t.pace.Slowdown + f.pace(t.state, now).Slowdown) / 2
	sample.TimeToFirstToken = time.Duration(float64(sample.TimeToFirstToken) / slowdown)
	if ratio, weight := f.engine(t.state.target.Service).PrefillRatio(sample, now); weight > 0 && !t.crowded {
		t.state.speed.observe(ratio, weight)
	}
	sample.TimeToFirstToken = t.pace.usual(sample.TimeToFirstToken)
	return sample
}

// crowded reports whether one more request is likely to wait at a target for a slot or for
// memory.
func (f *Fleet) crowded(s *targetState, load RequestLoad, now time.Time) bool {
	if s.target.Slots > 0 && f.requestCount(s, now) >= s.target.Slots {
		return true
	}
	return load.Capacity > 0 && float64(s.totalOccupancy(now).HeldTokens+load.HeldTokens) > packedMemoryShare*float64(load.Capacity)
}

// takeSlowdown returns the slowdown that the target last reported to this process, and its
// age, once for each report; 0 if there is none to share, or if another process reported a
// newer one, which the others have too. Received reports are not passed on: they would
// circulate.
func (s *targetState) takeSlowdown(now time.Time) (factor float64, age time.Duration) {
	w := &s.slowdown
	age = now.Sub(w.observedAt)
	if w.observed <= 0 || age >= slowdownTTL+slowdownFade || !now.Before(w.sharedUntil) || w.at.After(w.observedAt) || !w.observedAt.After(w.sharedReport) {
		return 0, 0
	}
	w.sharedReport = w.observedAt
	return w.observed, age
}

// AgeUpdates adds the time since updates were collected or received to the ages in them, for
// updates that are relayed.
func AgeUpdates(all []TargetUpdate, now time.Time) {
	for i := range all {
		if w := &all[i]; !w.AsOf.IsZero() && now.After(w.AsOf) {
			w.SlowdownAge += now.Sub(w.AsOf)
			w.UnresponsiveAge += now.Sub(w.AsOf)
			w.AsOf = now
		}
	}
}

// mergeSpeed applies what another process learnt of a target's speed and slowdown.
func (f *Fleet) mergeSpeed(s *targetState, update TargetUpdate, now time.Time) {
	if update.Slowdown > 0 && update.SlowdownAge < slowdownTTL+slowdownFade {
		f.speeds(s.target.Service).noteSlowdown(update.Slowdown, now)
		s.slowdown.merge(update.Slowdown, now.Add(-max(0, update.SlowdownAge)))
	}
	if update.Speed > 0 && update.SpeedSamples > 0 {
		s.speed.add(1/update.Speed, float64(min(update.SpeedSamples, maxReportedSamples)))
	}
}
