package fleet

import (
	"math"
	"slices"
	"time"

	"acaciakeel/forecast"
	"acaciakeel/policy"
)

// Costs of pauses between the events of streams.
const (
	// lateStreamShare is what a stream with a pause beyond its bound loses, as a part of
	// what a late first event loses: some of the response is still of value.
	lateStreamShare = 0.5
	// maxPauseShare bounds the cost of pauses, as a fraction of the objective of the request
	// that is placed. A wait of half the objective is refused elsewhere (package router), so
	// no request is sent to where it would be refused for the sake of streams.
	maxPauseShare = 0.5
	// prefillMeanTime is the time constant of the mean prefill in progress at a target: about
	// the life of a stream, for which it stands.
	prefillMeanTime = time.Second
)

// pauseCost returns what placing a request with so many tokens to prefill at a target is
// expected to cost the streams there, and the request itself, in pauses between events.
func (f *Fleet) pauseCost(q Query, s *targetState, uncached int, pace Pace, now time.Time) time.Duration {
	if q.MaxEventGap <= 0 || f.disabled[policy.EventPauses] {
		return neighbourCost(q, s, now)
	}
	late := f.lateProbability(q, s, pace, now) + f.lateNeighbours(q, s, uncached, pace, now)
	limit := maxPauseShare * q.Objective.Seconds()
	if limit <= 0 {
		limit = q.MaxEventGap.Seconds()
	}
	// Making one stream late counts as much as delaying the request itself by that share of
	// its objective. The cost approaches its limit smoothly, so that targets still differ
	// where all would make several streams late.
	cost := limit * -math.Expm1(-late*lateStreamShare/maxPauseShare)
	return time.Duration(cost * float64(time.Second))
}

// neighbourCost is the cost for requests whose route sets no bound.
func neighbourCost(q Query, s *targetState, now time.Time) time.Duration {
	if q.long {
		return 0
	}
	cost := time.Duration(s.totalOccupancy(now).Long) * longNeighbourCost
	return min(cost, maxLongNeighbourCost)
}

// lateProbability returns how likely a stream placed at a target exceeds its bound there. The
// prefill in progress is over by the time of its first event, so the mean of it counts. Each
// period as long as the bound may have one such pause.
func (f *Fleet) lateProbability(q Query, s *targetState, pace Pace, now time.Time) float64 {
	p := f.exceedProbability(q, s, 0, q.MaxEventGap, pace, now)
	held, _ := f.engine(q.Service).ExpectedSlotHold(q.MaxOutputTokens)
	return -math.Expm1(max(1, held.Seconds()/q.MaxEventGap.Seconds()) * math.Log1p(-p))
}

// lateNeighbours returns how many more of the streams at a target are expected to exceed
// their bounds if so many more tokens are prefilled there.
func (f *Fleet) lateNeighbours(q Query, s *targetState, uncached int, pace Pace, now time.Time) float64 {
	streams := f.engine(q.Service).BoundedStreams()
	running := f.requestCount(s, now)
	if s.target.Slots > 0 {
		running = min(running, s.target.Slots)
	}
	n := streams.Share * float64(running)
	if n <= 0 || uncached <= 0 {
		return 0
	}
	before := f.exceedProbability(q, s, s.prefillTokens, streams.Bound, pace, now)
	after := f.exceedProbability(q, s, s.prefillTokens+uncached, streams.Bound, pace, now)
	return n * max(0, after-before)
}

// expectedPause returns the expected pause between events of a stream placed at a target.
func (f *Fleet) expectedPause(q Query, s *targetState, pace Pace, now time.Time) time.Duration {
	e := f.engine(q.Service)
	expected, _ := e.ExpectedPause(f.pauseSample(e, s, 0, now), now)
	return time.Duration(pace.Duration * pace.Slowdown * float64(expected))
}

// exceedProbability returns how likely a pause at a target exceeds a bound, with so many
// tokens of this process to prefill there. A target that is not slowed down may become so at
// any time, as often as the targets of its service are.
func (f *Fleet) exceedProbability(q Query, s *targetState, tokens int, bound time.Duration, pace Pace, now time.Time) float64 {
	e := f.engine(q.Service)
	expected, deviation := e.ExpectedPause(f.pauseSample(e, s, tokens, now), now)
	at := func(slowdown float64) float64 {
		return tailProbability(expected.Seconds(), deviation.Seconds(), bound.Seconds()/(pace.Duration*slowdown))
	}
	p := at(pace.Slowdown)
	if speeds := f.speeds(q.Service); pace.Slowdown < minSharedSlowdown && !f.disabled[policy.TargetSlowdowns] {
		share := speeds.slowShare()
		p = (1-share)*p + share*max(p, at(speeds.worstSlowdown(now)))
	}
	return p
}

// pauseSample returns the conditions for pauses at a target with so many tokens of this
// process to prefill.
func (f *Fleet) pauseSample(e *forecast.Estimator, s *targetState, tokens int, now time.Time) forecast.PauseSample {
	return forecast.PauseSample{
		OwnPrefill:  e.BacklogTime(tokens, now),
		MeanPrefill: e.BacklogTime(s.meanPrefillTokens(now), now),
		Running:     f.requestCount(s, now),
	}
}

// tailProbability returns how likely a value with the given mean and deviation exceeds a
// bound. The tail is exponential (Laplace's distribution): prompts arrive in bursts, so pauses
// of several deviations are far more frequent than in a normal distribution.
func tailProbability(mean, deviation, bound float64) float64 {
	z := (bound - mean) / max(deviation, minPaceSeconds)
	tail := 0.5 * math.Exp(-math.Sqrt2*math.Abs(z))
	if z < 0 {
		tail = 1 - tail
	}
	// Never quite 1, so that its complement has a logarithm.
	return min(0.999, tail)
}

// meanPrefillTokens returns the mean of the tokens to be prefilled at a target recently. It
// is updated whenever it is needed, which is at least as often as requests are placed there.
func (s *targetState) meanPrefillTokens(now time.Time) int {
	current := float64(s.totalOccupancy(now).PrefillTokens)
	elapsed := now.Sub(s.prefillMeanAt)
	if s.prefillMeanAt.IsZero() {
		s.prefillMean = current
	} else if elapsed > 0 {
		s.prefillMean += (current - s.prefillMean) * -math.Expm1(-elapsed.Seconds()/prefillMeanTime.Seconds())
	}
	if elapsed > 0 {
		s.prefillMeanAt = now
	}
	return int(s.prefillMean)
}

// paceGroup is the number of pauses of one stream of which one shows the pace of its target,
// and paceRank which of them in ascending order: the shorter ones had no prefill in between,
// and the very shortest are events that arrived together.
const (
	paceGroup = 10
	paceRank  = 2
)

// streamPauses is what one stream's events show.
type streamPauses struct {
	lastEvent time.Time
	// prefill is this process's tokens to prefill at the target at the last event, slowdown
	// the target's at that time.
	prefill  int
	slowdown float64
	// group are the pauses since the last sample of the target's pace, in seconds.
	group []float64
}

// Event records an event of the response. The first one shows that the prompt has been
// prefilled; the time between two shows how much a stream pauses at the target.
func (t *ActiveRequest) Event(now time.Time) {
	t.FirstEvent(now)
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.state == nil || t.load.PromptTokens <= 0 || t.fleet.disabled[policy.Learning] {
		return
	}
	if !t.pauses.lastEvent.IsZero() {
		t.fleet.observePause(t, now)
	}
	t.pauses.lastEvent, t.pauses.prefill, t.pauses.slowdown = now, t.state.prefillTokens, t.fleet.pace(t.state, now).Slowdown
}

// observePause adds the time since a stream's last event to what is learnt of the service and
// of the target.
func (f *Fleet) observePause(t *ActiveRequest, now time.Time) {
	s, w := t.state, &t.pauses
	e := f.engine(s.target.Service)
	pace := f.pace(s, now)
	pause := now.Sub(w.lastEvent).Seconds() / ((w.slowdown + pace.Slowdown) / 2)
	sample := f.pauseSample(e, s, max(w.prefill, s.prefillTokens), now)
	sample.Pause = time.Duration(pause / pace.Duration * float64(time.Second))
	e.ObservePause(sample, now)
	w.group = append(w.group, pause)
	if len(w.group) < paceGroup {
		return
	}
	slices.Sort(w.group)
	observed := w.group[paceRank]
	w.group = w.group[:0]
	running := float64(sample.Running)
	if expected, ok := e.EventPace(running); ok {
		s.speed.observe(max(observed, minPaceSeconds)/max(expected, minPaceSeconds), 1)
	}
	usual := forecast.EventPaceSample{Pause: observed / pace.Duration, Running: running}
	if s.eventPace == (forecast.EventPaceSample{}) {
		s.eventPace = usual
	}
	e.ObserveEventPace(usual, s.eventPace, now)
	s.eventPace.Pause += (usual.Pause - s.eventPace.Pause) / eventPaceMean
	s.eventPace.Running += (usual.Running - s.eventPace.Running) / eventPaceMean
}

// eventPaceMean is the number of samples of which a target's recent mean is about.
const eventPaceMean = 8

// minPaceSeconds bounds the pauses that are compared: shorter ones show timers and links.
const minPaceSeconds = 0.001
