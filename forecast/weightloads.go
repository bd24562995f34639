package forecast

import "time"

// Figures of loads of weights.
const (
	// concurrentLoadShare is the part of a model's runners that load weights at the same
	// time, and loadsLeast the least number: as many as loaded at full speed beside
	// each other on every platform met; more end no sooner, and each is out of service
	// for longer. It can't be learnt from how loads slow each other down, as nobody sees
	// when a runner that ends its runs begins to load (docs/design/rollouts.md).
	concurrentLoadShare = 0.18
	minConcurrentLoads  = 2
	// defaultLoadDuration is taken for the time of a load until one was seen: the order of
	// the engines of today.
	defaultLoadDuration = time.Second
	// increaseFactor is the part of the difference that a longer load adds: engines may
	// be replaced by some that take longer, but most loads seem longer because
	// runs had to end first.
	increaseFactor = 0.01
	// orderOverhead is the time of an order that is none of its load: until the
	// runner has ended its runs, and until the end of the load is known, which a
	// report tells some hundred milliseconds late.
	orderOverhead = 600 * time.Millisecond
)

// WeightLoads is what is known of loads of weights. Its zero value knows nothing.
type WeightLoads struct {
	// IdleDuration is the time of a load of an idle runner; 0 until one was seen.
	IdleDuration time.Duration
	// Samples counts the loads that this rests on, by whichever process.
	Samples int
}

// Observe takes a load that ended so long after its order. Of the orders, those of
// idle runners tell the time of a load.
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

// MaxConcurrent returns how many of n runners may have orders at the same time: so many
// that those of them that have ended their runs load at full speed, and no more,
// since each one more is out of service for nothing. Half of the runners stay in
// service.
func (l *WeightLoads) MaxConcurrent(n int) int {
	load := l.LoadDuration().Seconds()
	orders := max(minConcurrentLoads, concurrentLoadShare*float64(n)) * (orderOverhead.Seconds() + load) / load
	return max(1, min(int(orders), n/2))
}

// OrderDuration returns the time of an order to a runner with few runs to end.
func (l *WeightLoads) OrderDuration() time.Duration {
	return orderOverhead + l.LoadDuration()
}

// LoadDuration returns the time of a load.
func (l *WeightLoads) LoadDuration() time.Duration {
	if l.IdleDuration == 0 {
		return defaultLoadDuration
	}
	return l.IdleDuration
}
