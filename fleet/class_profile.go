package fleet

import (
	"math"
	"time"
)

// profileDecay is the time constant with which earlier requests lose weight in a profile;
// it is above the period over which loads of a class fluctuate.
const profileDecay = 10 * time.Second

// classProfile holds decayed sums over the requests of one service that this process sent,
// by priority class.
type classProfile struct {
	classes [PriorityClasses]classSums
	at      time.Time
}

type classSums struct {
	requests float64
	uncached float64
	output   float64
}

// profile returns the profile of a service; the caller holds mu.
func (f *Fleet) profile(service string) *classProfile {
	p := f.profiles[service]
	if p == nil {
		p = &classProfile{}
		f.profiles[service] = p
	}
	return p
}

func (p *classProfile) add(load RequestLoad, now time.Time) {
	if elapsed := now.Sub(p.at); !p.at.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / profileDecay.Seconds())
		for i := range p.classes {
			c := &p.classes[i]
			c.requests, c.uncached, c.output = c.requests*factor, c.uncached*factor, c.output*factor
		}
	}
	if now.After(p.at) {
		p.at = now
	}
	c := &p.classes[min(max(load.Class, 0), PriorityClasses-1)]
	c.requests++
	c.uncached += float64(load.UncachedTokens)
	c.output += float64(load.MaxOutputTokens)
}

// minProfileWeight is the weight below which a class has no mean: its requests came more
// than two minutes ago.
const minProfileWeight = 1e-6

func (c classSums) mean(sum float64) float64 {
	if c.requests < minProfileWeight {
		return 0
	}
	return sum / c.requests
}

// meanUncached and meanOutput return the mean numbers of prompt tokens to prefill and of
// output tokens allowed per request of a class; 0 if there was none recently.
func (p *classProfile) meanUncached(class int) float64 {
	return p.classes[class].mean(p.classes[class].uncached)
}

func (p *classProfile) meanOutput(class int) float64 {
	return p.classes[class].mean(p.classes[class].output)
}

// pendingRequests estimates how many requests of a class and of more urgent ones wait at a
// target or are being prefilled there, from the tokens still to be prefilled.
func (p *classProfile) pendingRequests(total Occupancy, class int) float64 {
	sum := 0.0
	for i, load := range total.byClass() {
		if i > class || load.Inflight <= 0 {
			continue
		}
		pending := float64(load.Inflight)
		if mean := p.meanUncached(i); mean > 0 {
			pending = min(pending, float64(load.PrefillTokens)/mean)
		}
		sum += pending
	}
	return sum
}

// urgentShare returns the share of the tokens to be prefilled that classes more urgent than
// class bring.
func (p *classProfile) urgentShare(class int) float64 {
	urgent, all := 0.0, 0.0
	for i, c := range p.classes {
		all += c.uncached
		if i < class {
			urgent += c.uncached
		}
	}
	if all <= 0 {
		return 0
	}
	return urgent / all
}
