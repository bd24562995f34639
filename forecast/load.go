package forecast

import "time"

// OfferedLoad is the arriving prefill work of light and of heavy requests, in seconds of a
// target's time per second, and the arrival rates of heavy requests and of long runs per
// second.
type OfferedLoad struct {
	Light     float64
	Heavy     float64
	HeavyRate float64
	LongRate  float64
}

// addScaled adds another load multiplied by factor.
func (m *OfferedLoad) addScaled(other OfferedLoad, factor float64) {
	m.Light += factor * other.Light
	m.Heavy += factor * other.Heavy
	m.HeavyRate += factor * other.HeavyRate
	m.LongRate += factor * other.LongRate
}

// loadDecayTime is the time constant with which arrivals decay in the offered load.
const loadDecayTime = 5 * time.Second

// ObserveArrival adds the prefill time of an arriving request.
func (e *Estimator) ObserveArrival(prefill time.Duration, light bool, now time.Time) {
	e.decayOffered(now)
	if light {
		e.offered.Light += prefill.Seconds() / loadDecayTime.Seconds()
		return
	}
	e.offered.Heavy += prefill.Seconds() / loadDecayTime.Seconds()
	e.offered.HeavyRate += 1 / loadDecayTime.Seconds()
}

// offeredRate returns the load offered to this process as a rate. Until the decay time has
// passed since the first arrival, it is divided by the part that could have accumulated;
// otherwise a starting process would report a tenth of its load in the first half second.
func (e *Estimator) offeredRate(now time.Time) OfferedLoad {
	e.decayOffered(now)
	accumulated := 1 - decayFactor(max(now.Sub(e.firstArrival), minElapsed), loadDecayTime)
	var out OfferedLoad
	out.addScaled(e.offered, 1/accumulated)
	return out
}

// minElapsed is the least time since the first arrival used to compute the rate.
const minElapsed = 250 * time.Millisecond

// ObserveLongRun adds the arrival of a long run.
func (e *Estimator) ObserveLongRun(now time.Time) {
	e.decayOffered(now)
	e.offered.LongRate += 1 / loadDecayTime.Seconds()
}

func (e *Estimator) decayOffered(now time.Time) {
	if e.firstArrival.IsZero() {
		e.firstArrival = now
	}
	factor := 1.0
	if elapsed := now.Sub(e.offeredAt); !e.offeredAt.IsZero() && elapsed > 0 {
		factor = decayFactor(elapsed, loadDecayTime)
	}
	e.offered.Light *= factor
	e.offered.Heavy *= factor
	e.offered.HeavyRate *= factor
	e.offered.LongRate *= factor
	e.offeredAt = now
}

// OfferedLoad returns the load offered to all processes, as far as they have reported it.
func (e *Estimator) OfferedLoad(now time.Time) OfferedLoad {
	all := e.offeredRate(now)
	for _, p := range e.peers {
		all.addScaled(p.offeredLoad, decayFactor(now.Sub(p.receivedAt), loadDecayTime))
	}
	return all
}

// MeanHeavyPrefill returns the mean prefill time of heavy requests.
func (m OfferedLoad) MeanHeavyPrefill() time.Duration {
	if m.HeavyRate <= 0 {
		return 0
	}
	return seconds(m.Heavy / m.HeavyRate)
}
