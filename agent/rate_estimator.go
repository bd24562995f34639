package agent

import "time"

// rateEstimator estimates the engine's prefill rate: computed tokens divided by the
// time in which at least one request was prefilling.
type rateEstimator struct {
	rate           float64
	hasSample      bool
	activePrefills int
	updatedAt      time.Time
	tokens         int
	elapsed        time.Duration
}

// Parameters of the moving average. Over short windows the rates of equal runners
// differ by a fifth, and routing on that difference would move prefixes away from the
// runners that have them cached.
const (
	rateWindow = time.Second
	rateWeight = 0.2
)

func (e *rateEstimator) begin(now time.Time) {
	e.accrue(now)
	e.activePrefills++
}

// end records the end of one prefill. completed is false for a prefill that was
// abandoned: the number of tokens computed is then unknown and not counted.
func (e *rateEstimator) end(tokens int, completed bool, now time.Time) {
	e.accrue(now)
	e.activePrefills--
	if completed {
		e.tokens += tokens
	}
	if e.elapsed < rateWindow || e.tokens == 0 {
		return
	}
	measured := float64(e.tokens) / e.elapsed.Seconds()
	if !e.hasSample {
		e.rate, e.hasSample = measured, true
	}
	e.rate += rateWeight * (measured - e.rate)
	e.tokens, e.elapsed = 0, 0
}

func (e *rateEstimator) accrue(now time.Time) {
	if e.activePrefills > 0 {
		e.elapsed += now.Sub(e.updatedAt)
	}
	e.updatedAt = now
}

// measuredRate returns the rate, or 0 before the first measurement.
func (e *rateEstimator) measuredRate() float64 {
	if !e.hasSample {
		return 0
	}
	return e.rate
}

// prefillTime returns the expected time to compute the given number of tokens.
func (e *rateEstimator) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.rate * float64(time.Second))
}
