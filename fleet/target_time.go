package fleet

import "time"

// TargetTime returns what a request takes of the time of the target chosen for it: how long
// it holds a slot, as a part of the target's slots, and how long its prompt is prefilled.
// ok is false until enough was learned of the service.
func (f *Fleet) TargetTime(q Query, c Choice, now time.Time) (slot, prefill time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine(q.Service)
	if q.Model == "" || !e.HasEnoughSamples() {
		return 0, 0, false
	}
	held, known := e.ExpectedClassHold(q.Class, float64(q.MaxOutputTokens))
	if !known {
		if held, known = e.ExpectedSlotHold(q.MaxOutputTokens); !known {
			return 0, 0, false
		}
	}
	prefill = c.PrefillTime
	if prefill == 0 {
		prefill = e.PrefillTime(max(0, q.InputTokens-c.CachedTokens-c.FetchTokens), q.InputTokens, now)
	}
	if c.Target.Slots > 0 {
		slot = (held + prefill) / time.Duration(c.Target.Slots)
	}
	return slot, prefill, true
}
