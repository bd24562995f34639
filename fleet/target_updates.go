package fleet

import (
	"maps"
	"time"
)

// TargetUpdate is what one process learnt of a target.
type TargetUpdate struct {
	Target  Instance
	Weights map[string]int64
	// BusyFor is for how long a load order keeps new requests out, as the process itself
	// observed. Received values are not passed on: each hop would add its delay, and the
	// value would circulate forever.
	BusyFor time.Duration
	// Parts are those that the process had prefilled there since its last update.
	Parts []Part
	// Limit is what the target recently declared to the process itself; nil if it
	// declared nothing.
	Limit *LimitUpdate
	// ShuttingDown is set if the target recently announced its shutdown to the process
	// itself.
	ShuttingDown bool
	// Slowdown is what the target recently reported to the process itself, SlowdownAge how
	// long ago; 0 if there is none to share.
	Slowdown    float64
	SlowdownAge time.Duration
	// Speed is the target's lasting speed relative to its service by the samples that the
	// process took since its last update, SpeedSamples their number; 0 if there are none.
	Speed        float64
	SpeedSamples int
	// Unresponsive is set if the target does not respond to the process itself;
	// UnresponsiveAge is the time since its last evidence of that.
	Unresponsive    bool
	UnresponsiveAge time.Duration
	// AsOf is when the update was collected or received; ages are as of then.
	AsOf time.Time
}

// Part is a part of a prompt.
type Part struct {
	Hash   uint64
	Tokens int
}

// updateRepeatFor is for how long updates include observed weights or a restart; by then
// the platform's list shows them too.
const updateRepeatFor = 2 * time.Second

// TargetUpdates returns what this process learnt of targets, for the other processes.
// Parts, slowdowns and samples of speed are returned once.
func (f *Fleet) TargetUpdates(now time.Time) []TargetUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []TargetUpdate
	unresponsiveReports := 0
	for _, s := range f.states {
		update := TargetUpdate{Target: s.target.Instance(), BusyFor: max(0, s.observedBusyUntil.Sub(now)), AsOf: now}
		weightsNew := now.Sub(s.weightsSeenAt) < updateRepeatFor
		if s.restartUnshared {
			s.restartUnshared, s.restartSharedAt = false, now
		}
		restarted := now.Sub(s.restartSharedAt) < updateRepeatFor
		update.Limit, update.ShuttingDown = s.limitUpdate(now), s.sharesShutdown(now)
		update.Slowdown, update.SlowdownAge = s.takeSlowdown(now)
		update.Speed, update.SpeedSamples = s.speed.takeShare(now)
		update.UnresponsiveAge, update.Unresponsive = s.unresponsiveUpdate(&unresponsiveReports, now)
		paceNew := update.Slowdown > 0 || update.SpeedSamples > 0
		if update.BusyFor == 0 && !update.Unresponsive && !weightsNew && !restarted && len(s.unsharedParts) == 0 && update.Limit == nil && !update.ShuttingDown && !paceNew {
			continue
		}
		update.Parts, s.unsharedParts = s.unsharedParts, nil
		if weightsNew {
			update.Weights = maps.Clone(s.weights)
		}
		out = append(out, update)
	}
	return out
}

// MergeResult is what updates of other processes changed.
type MergeResult struct {
	Limits []LimitChange
	// ShuttingDown are the targets whose shutdown was not known before.
	ShuttingDown []Instance
}

// MergeTargetUpdates applies what another process learnt of targets.
func (f *Fleet) MergeTargetUpdates(all []TargetUpdate, now time.Time) (result MergeResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, update := range all {
		all[i].AsOf = now
		s := f.lookup(update.Target)
		if s == nil {
			continue
		}
		f.mergeWeights(s, update.Weights, now)
		if until := now.Add(update.BusyFor); update.BusyFor > 0 && until.After(s.busyUntil) {
			s.busyUntil = until
		}
		for _, p := range update.Parts {
			s.cached.Use(p.Hash, p.Tokens, s.capacity)
		}
		f.mergeSpeed(s, update, now)
		if c, changed := f.mergeLimit(s, update.Limit, now); changed {
			result.Limits = append(result.Limits, c)
		}
		if update.Unresponsive {
			f.mergeUnresponsive(s, update.UnresponsiveAge, now)
		}
		if update.ShuttingDown && f.markShutdown(s, now) {
			result.ShuttingDown = append(result.ShuttingDown, s.target.Instance())
		}
	}
	return result
}
