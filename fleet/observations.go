package fleet

import (
	"time"
)

// RecordWeights records a version that a target was observed to have.
func (f *Fleet) RecordWeights(l Instance, model string, version int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil && s.setWeights(model, version, now) {
		s.weightsSeenAt = now
	}
}

// RecordBusy records that a load order keeps new requests out of a target until a time.
func (f *Fleet) RecordBusy(l Instance, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil {
		s.busyUntil, s.observedBusyUntil = until, until
	}
}

// RecordFailure records that a target failed a request. A target that carries out a load
// order may end its streams for it, which does not count against its health.
func (f *Fleet) RecordFailure(l Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil && !now.Before(s.busyUntil) {
		s.health.RecordFailure(now)
	}
}

// RecordUnreachable records that a connection to a target could not be made.
func (f *Fleet) RecordUnreachable(l Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil {
		s.health.RecordConnectFailure(now)
	}
}

// Unresponsive reports whether a target is unknown, does not respond to probes or did not
// answer the last read of its cache events.
func (f *Fleet) Unresponsive(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[id]
	return s == nil || s.isUnresponsive(time.Now())
}

// RecordSuccess records a successful response.
func (f *Fleet) RecordSuccess(l Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil {
		s.health.RecordSuccess()
	}
}

// RecordLoad records the load that a target reported in a response.
func (f *Fleet) RecordLoad(l Instance, load Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil {
		s.load, s.loadAt, s.inflightAtLoad = load, now, s.inflight
		if load.Slowdown > 0 {
			s.slowdown.record(load.Slowdown, now)
			f.speeds(s.target.Service).noteSlowdown(load.Slowdown, now)
			f.speeds(s.target.Service).countReport(load.Slowdown, now)
		}
	}
}
