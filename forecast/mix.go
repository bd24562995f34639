package forecast

import "time"

// Mix is how much reading light and heavy requests bring, in seconds of a runner's
// time by each second, how many heavy ones there are a second, and how many long
// runs. Its zero value is nothing.
type Mix struct {
	Light   float64
	Heavy   float64
	Heavies float64
	Longs   float64
}

// add counts a share of another mix in.
func (m *Mix) add(other Mix, share float64) {
	m.Light += share * other.Light
	m.Heavy += share * other.Heavy
	m.Heavies += share * other.Heavies
	m.Longs += share * other.Longs
}

// mixMemory is after what time a request counts for a third in the mix.
const mixMemory = 5 * time.Second

// Brought takes the reading that a request brings.
func (e *Engine) Brought(reading time.Duration, light bool, now time.Time) {
	e.fadeMix(now)
	if light {
		e.mix.Light += reading.Seconds() / mixMemory.Seconds()
		return
	}
	e.mix.Heavy += reading.Seconds() / mixMemory.Seconds()
	e.mix.Heavies += 1 / mixMemory.Seconds()
}

// settled returns the own mix as a rate: what was brought since the first request
// over the time since then, while that is short of the memory. Otherwise a process
// that starts would tell of a tenth of what it brings in its first half second.
func (e *Engine) settled(now time.Time) Mix {
	e.fadeMix(now)
	share := 1 - fadeBy(max(now.Sub(e.begun), leastBegun), mixMemory)
	var out Mix
	out.add(e.mix, 1/share)
	return out
}

// leastBegun is the least time since the first request by which a rate is told.
const leastBegun = 250 * time.Millisecond

// BroughtLong takes that a long run comes.
func (e *Engine) BroughtLong(now time.Time) {
	e.fadeMix(now)
	e.mix.Longs += 1 / mixMemory.Seconds()
}

func (e *Engine) fadeMix(now time.Time) {
	if e.begun.IsZero() {
		e.begun = now
	}
	share := 1.0
	if elapsed := now.Sub(e.mixed); !e.mixed.IsZero() && elapsed > 0 {
		share = fadeBy(elapsed, mixMemory)
	}
	e.mix.Light *= share
	e.mix.Heavy *= share
	e.mix.Heavies *= share
	e.mix.Longs *= share
	e.mixed = now
}

// Mix returns what all processes bring, as far as they told.
func (e *Engine) Mix(now time.Time) Mix {
	all := e.settled(now)
	for _, h := range e.others {
		all.add(h.mix, fadeBy(now.Sub(h.at), mixMemory))
	}
	return all
}

// HeavyReading returns the mean time to read what a heavy request brings.
func (m Mix) HeavyReading() time.Duration {
	if m.Heavies <= 0 {
		return 0
	}
	return seconds(m.Heavy / m.Heavies)
}
