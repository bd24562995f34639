package forecast

import "time"

// ClassCount is the number of priority classes by which slot times are learned.
const ClassCount = 6

// ObserveClassRun adds the time that a run of a priority class held its slot after its
// first token. maxTokens is the number of tokens that it was allowed to generate.
func (e *Estimator) ObserveClassRun(class, maxTokens int, held time.Duration, now time.Time) {
	if class < 0 || class >= ClassCount || maxTokens <= 0 || held < 0 {
		return
	}
	e.decayLocal(now)
	e.classHold[class].add(TimePerToken{Seconds: held.Seconds(), Tokens: float64(maxTokens)})
}

// ExpectedClassHold returns the expected time for which runs of a class that may generate
// meanTokens on average hold their slots after the first token. ok is false until enough
// runs of the class were observed.
func (e *Estimator) ExpectedClassHold(class int, meanTokens float64) (held time.Duration, ok bool) {
	all := e.classHold[class]
	for _, p := range e.peers {
		all.add(p.classHold[class])
	}
	if all.Tokens <= 0 || all.Tokens < minSamples*meanTokens {
		return 0, false
	}
	return seconds(all.Seconds / all.Tokens * meanTokens), true
}
