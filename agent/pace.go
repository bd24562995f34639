package agent

import "time"

// pace measures the engine's prefill rate: tokens over the time in which at
// least one request was prefilling.
type pace struct {
	rate    float64
	known   bool
	active  int
	since   time.Time
	tokens  int
	elapsed time.Duration
}

// Weights of the measurement. Over short windows the rates of equal runners
// differ by a fifth, and the difference would pull prefixes off their runners.
const (
	paceWindow = time.Second
	paceWeight = 0.2
)

func (p *pace) begin(now time.Time) {
	p.accrue(now)
	p.active++
}

// end counts one prefill of tokens that ended; whole is false for one that
// was given up, whose tokens are not known.
func (p *pace) end(tokens int, whole bool, now time.Time) {
	p.accrue(now)
	p.active--
	if whole {
		p.tokens += tokens
	}
	if p.elapsed < paceWindow || p.tokens == 0 {
		return
	}
	measured := float64(p.tokens) / p.elapsed.Seconds()
	if !p.known {
		p.rate, p.known = measured, true
	}
	p.rate += paceWeight * (measured - p.rate)
	p.tokens, p.elapsed = 0, 0
}

func (p *pace) accrue(now time.Time) {
	if p.active > 0 {
		p.elapsed += now.Sub(p.since)
	}
	p.since = now
}

// measured returns the rate, or 0 while none was measured.
func (p *pace) measured() float64 {
	if !p.known {
		return 0
	}
	return p.rate
}

// cost returns the time that tokens take.
func (p *pace) cost(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.rate * float64(time.Second))
}
