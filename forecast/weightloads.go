package forecast

import "time"

// Parameters of weight loads.
const (
	// concurrentLoadShare is the part of a model's targets that load weights at the same
	// time, and minConcurrentLoads the least number: as many as loaded at full speed
	// concurrently on every platform seen so far. With more, the last load ends no sooner,
	// and each target is out of service for longer. The number can't be learned from how
	// loads slow each other down, because nobody sees when a target that drains its runs
	// starts to load (docs/design/rollouts.md).
	concurrentLoadShare = 0.18
	minConcurrentLoads  = 2
	// defaultLoadDuration is assumed until a load was observed; it has the order of
	// magnitude of current engines.
	defaultLoadDuration = time.Second
	// increaseFactor is the part of the difference by which a longer load raises the
	// estimate: engines may be replaced by slower ones, but most loads seem longer because
	// runs had to end first.
	increaseFactor = 0.01
	// orderOverhead is the time of an order besides its load: until the target has ended
	// its runs, and until the end of the load is known, which a report shows some hundred
	// milliseconds late.
	orderOverhead = 600 * time.Millisecond
)

// WeightLoads estimates the duration of weight loads. The zero value has no samples.
type WeightLoads struct {
	// IdleDuration is the duration of a load on an idle target; 0 until a load was
	// observed.
	IdleDuration time.Duration
	// Samples is the number of loads observed by whichever process gave the orders.
	Samples int
}

// Observe adds the time from an order to the end of its load. Only the shortest times,
// those of idle targets, show the duration of the load itself.
func (l *WeightLoads) Observe(took time.Duration) {
	if took <= 0 {
		return
	}
	l.Samples++
	if l.IdleDuration == 0 || took < l.IdleDuration {
		l.IdleDuration = took
		return
	}
	l.IdleDuration += time.Duration(increaseFactor * float64(took-l.IdleDuration))
}

// MaxConcurrent returns how many of n targets may have orders at the same time: as many
// that those among them which have ended their runs load at full speed. More would only be
// out of service for longer. At least half of the targets stay in service.
func (l *WeightLoads) MaxConcurrent(n int) int {
	load := l.LoadDuration().Seconds()
	orders := max(minConcurrentLoads, concurrentLoadShare*float64(n)) * (orderOverhead.Seconds() + load) / load
	return max(1, min(int(orders), n/2))
}

// OrderDuration returns the expected duration of an order to a target with few runs to end.
func (l *WeightLoads) OrderDuration() time.Duration {
	return orderOverhead + l.LoadDuration()
}

// LoadDuration returns the expected duration of a load.
func (l *WeightLoads) LoadDuration() time.Duration {
	if l.IdleDuration == 0 {
		return defaultLoadDuration
	}
	return l.IdleDuration
}
