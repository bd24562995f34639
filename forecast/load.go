package forecast

import "time"

// OfferedLoad is how much reading light and heavy requests bring, in seconds of a runner's
// time by each second, how many heavy ones there are a second, and how many long
// runs. Its zero value is nothing.
type OfferedLoad struct {
	Light     float64
	Heavy     float64
	HeavyRate float64
	LongRate  float64
}

// addScaled counts a share of another mix in.
func (m *OfferedLoad) addScaled(other OfferedLoad, factor float64) {
	m.Light += factor * other.Light
	m.Heavy += factor * other.Heavy
	m.HeavyRate += factor * other.HeavyRate
	m.LongRate += factor * other.LongRate
}

// loadDecayTime is after what time a request counts for a third in the mix.
const loadDecayTime = 5 * time.Second

// ObserveArrival takes the reading that a request brings.
func (e *Estimator) ObserveArrival(reading time.Duration, light bool, now time.Time) {
	e.decayOffered(now)
	if light {
		e.offered.Light += reading.Seconds() / loadDecayTime.Seconds()
		return
	}
	e.offered.Heavy += reading.Seconds() / loadDecayTime.Seconds()
	e.offered.HeavyRate += 1 / loadDecayTime.Seconds()
}

// offeredRate returns the own mix as a rate: what was brought since the first request
// over the time since then, while that is short of the memory. Otherwise a process
// that starts would tell of a tenth of what it brings in its first half second.
func (e *Estimator) offeredRate(now time.Time) OfferedLoad {
	e.decayOffered(now)
	share := 1 - decayFactor(max(now.Sub(e.firstArrival), minElapsed), loadDecayTime)
	var out OfferedLoad
	out.addScaled(e.offered, 1/share)
	return out
}

// minElapsed is the least time since the first request by which a rate is told.
const minElapsed = 250 * time.Millisecond

// ObserveLongRun takes that a long run comes.
func (e *Estimator) ObserveLongRun(now time.Time) {
	e.decayOffered(now)
	e.offered.LongRate += 1 / loadDecayTime.Seconds()
}

func (e *Estimator) decayOffered(now time.Time) {
	if e.firstArrival.IsZero() {
		e.firstArrival = now
	}
	share := 1.0
	if elapsed := now.Sub(e.offeredAt); !e.offeredAt.IsZero() && elapsed > 0 {
		share = decayFactor(elapsed, loadDecayTime)
	}
	e.offered.Light *= share
	e.offered.Heavy *= share
	e.offered.HeavyRate *= share
	e.offered.LongRate *= share
	e.offeredAt = now
}

// OfferedLoad returns what all processes bring, as far as they told.
func (e *Estimator) OfferedLoad(now time.Time) OfferedLoad {
	all := e.offeredRate(now)
	for _, p := range e.peers {
		all.addScaled(p.offeredLoad, decayFactor(now.Sub(p.receivedAt), loadDecayTime))
	}
	return all
}

// MeanHeavyPrefill returns the mean time to read what a heavy request brings.
func (m OfferedLoad) MeanHeavyPrefill() time.Duration {
	if m.HeavyRate <= 0 {
		return 0
	}
	return seconds(m.Heavy / m.HeavyRate)
}
