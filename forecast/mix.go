package forecast

import "time"

// Mix is how much reading light and heavy requests bring, in seconds of a runner's
// time by each second, and how many heavy ones there are a second. Its zero value
// is nothing.
type Mix struct {
	Light   float64
	Heavy   float64
	Heavies float64
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

func (e *Engine) fadeMix(now time.Time) {
	share := 1.0
	if elapsed := now.Sub(e.mixed); !e.mixed.IsZero() && elapsed > 0 {
		share = fadeBy(elapsed, mixMemory)
	}
	e.mix.Light *= share
	e.mix.Heavy *= share
	e.mix.Heavies *= share
	e.mixed = now
}

// Mix returns what all processes bring, as far as they told.
func (e *Engine) Mix(now time.Time) Mix {
	e.fadeMix(now)
	all := e.mix
	for _, h := range e.others {
		share := fadeBy(now.Sub(h.at), mixMemory)
		all.Light += share * h.mix.Light
		all.Heavy += share * h.mix.Heavy
		all.Heavies += share * h.mix.Heavies
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
