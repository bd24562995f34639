package fleet

import (
	"maps"
	"time"
)

// TargetUpdate is what one process learnt of a target.
type TargetUpdate struct {
	Target  Instance
	Weights map[string]int64
	// BusyFor is for how long an order keeps new requests out, as the process itself
	// met it. Were it to pass on what it heard, each hop would add its delay, and
	// the word would go round for good.
	BusyFor time.Duration
	// Parts are those that the process had read there since it told last.
	Parts []Part
	// Limit is what the target lately said of its limit to the process itself; nil where
	// it said nothing.
	Limit *LimitUpdate
	// ShuttingDown is set where the target lately said to the process itself that it leaves.
	ShuttingDown bool
}

// Part is a part of a prompt.
type Part struct {
	Hash   uint64
	Tokens int
}

// newsFor is for how long weights that a target was seen to have, or that it
// started again, are told; then the platform's list says so too.
const newsFor = 2 * time.Second

// TargetUpdates returns what this process learnt of targets, to be told once: the
// parts that it had read there are not returned again.
func (f *Fleet) TargetUpdates(now time.Time) []TargetUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []TargetUpdate
	for _, s := range f.states {
		found := TargetUpdate{Target: s.runner.Instance(), BusyFor: max(0, s.metBusyUntil.Sub(now))}
		news := now.Sub(s.learnt) < newsFor
		if s.fresh {
			s.fresh, s.lifeTold = false, now
		}
		reborn := now.Sub(s.lifeTold) < newsFor
		found.Limit, found.ShuttingDown = s.toldLimit(now), s.tellsLeaving(now)
		if found.BusyFor == 0 && !news && !reborn && len(s.untold) == 0 && found.Limit == nil && !found.ShuttingDown {
			continue
		}
		found.Parts, s.untold = s.untold, nil
		if news {
			found.Weights = maps.Clone(s.weights)
		}
		out = append(out, found)
	}
	return out
}

// MergeResult is what news of others changed.
type MergeResult struct {
	Limits []LimitChange
	// ShuttingDown are the targets that leave.
	ShuttingDown []Instance
}

// MergeTargetUpdates takes what another process learnt.
func (f *Fleet) MergeTargetUpdates(all []TargetUpdate, now time.Time) (heard MergeResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, found := range all {
		s := f.about(found.Target)
		if s == nil {
			continue
		}
		for model, version := range found.Weights {
			s.learn(model, version)
		}
		if until := now.Add(found.BusyFor); found.BusyFor > 0 && until.After(s.busyUntil) {
			s.busyUntil = until
		}
		for _, p := range found.Parts {
			s.cached.Use(p.Hash, p.Tokens, s.capacity)
		}
		if c, changed := f.heardLimit(s, found.Limit, now); changed {
			heard.Limits = append(heard.Limits, c)
		}
		if found.ShuttingDown && f.leaves(s, now) {
			heard.ShuttingDown = append(heard.ShuttingDown, s.runner.Instance())
		}
	}
	return heard
}
