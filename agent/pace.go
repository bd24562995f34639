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

func (p *rateEstimator) begin(now time.Time) {
	p.accrue(now)
	p.activePrefills++
}

// end records the end of one prefill. completed is false for a prefill that was
// abandoned: the number of tokens computed is then unknown and not counted.
func (p *rateEstimator) end(tokens int, completed bool, now time.Time) {
	p.accrue(now)
	p.activePrefills--
	if completed {
		p.tokens += tokens
	}
	if p.elapsed < rateWindow || p.tokens == 0 {
		return
	}
	measured := float64(p.tokens) / p.elapsed.Seconds()
	if !p.hasSample {
		p.rate, p.hasSample = measured, true
	}
	p.rate += rateWeight * (measured - p.rate)
	p.tokens, p.elapsed = 0, 0
}

func (p *rateEstimator) accrue(now time.Time) {
	if p.activePrefills > 0 {
		p.elapsed += now.Sub(p.updatedAt)
	}
	p.updatedAt = now
}

// measuredRate returns the rate, or 0 before the first measurement.
func (p *rateEstimator) measuredRate() float64 {
	if !p.hasSample {
		return 0
	}
	return p.rate
}

// prefillTime returns the expected time to compute the given number of tokens.
func (p *rateEstimator) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.rate * float64(time.Second))
}
