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

// add counts a share of another mix in.
func (m *OfferedLoad) add(other OfferedLoad, share float64) {
	m.Light += share * other.Light
	m.Heavy += share * other.Heavy
	m.HeavyRate += share * other.HeavyRate
	m.LongRate += share * other.LongRate
}

// mixMemory is after what time a request counts for a third in the mix.
const mixMemory = 5 * time.Second

// ObserveArrival takes the reading that a request brings.
func (e *Estimator) ObserveArrival(reading time.Duration, light bool, now time.Time) {
	e.fadeMix(now)
	if light {
		e.mix.Light += reading.Seconds() / mixMemory.Seconds()
		return
	}
	e.mix.Heavy += reading.Seconds() / mixMemory.Seconds()
	e.mix.HeavyRate += 1 / mixMemory.Seconds()
}

// settled returns the own mix as a rate: what was brought since the first request
// over the time since then, while that is short of the memory. Otherwise a process
// that starts would tell of a tenth of what it brings in its first half second.
func (e *Estimator) settled(now time.Time) OfferedLoad {
	e.fadeMix(now)
	share := 1 - fadeBy(max(now.Sub(e.begun), leastBegun), mixMemory)
	var out OfferedLoad
	out.add(e.mix, 1/share)
	return out
}

// leastBegun is the least time since the first request by which a rate is told.
const leastBegun = 250 * time.Millisecond

// ObserveLongRun takes that a long run comes.
func (e *Estimator) ObserveLongRun(now time.Time) {
	e.fadeMix(now)
	e.mix.LongRate += 1 / mixMemory.Seconds()
}

func (e *Estimator) fadeMix(now time.Time) {
	if e.begun.IsZero() {
		e.begun = now
	}
	share := 1.0
	if elapsed := now.Sub(e.mixed); !e.mixed.IsZero() && elapsed > 0 {
		share = fadeBy(elapsed, mixMemory)
	}
	e.mix.Light *= share
	e.mix.Heavy *= share
	e.mix.HeavyRate *= share
	e.mix.LongRate *= share
	e.mixed = now
}

// OfferedLoad returns what all processes bring, as far as they told.
func (e *Estimator) OfferedLoad(now time.Time) OfferedLoad {
	all := e.settled(now)
	for _, h := range e.others {
		all.add(h.mix, fadeBy(now.Sub(h.at), mixMemory))
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
