package rollout

import (
	"context"
	"time"

	"acaciakeel/clock"
	"acaciakeel/fleet"
	"acaciakeel/policy"
)

// Timing of the truncation of long runs.
const (
	// drainCheckInterval is how long a runner is kept free of new requests between
	// checks whether only resumable runs are left. In that time the other nodes learn
	// of it and short runs end.
	drainCheckInterval = 300 * time.Millisecond
	// drainChecks is the number of checks before the runs are left to end on their own.
	drainChecks = 4
	// urgentDrainChecks is the number of checks for an urgent runner. Runs that cannot
	// be resumed elsewhere are mostly short and end within 3.6 s, whereas waiting for
	// the long runs to end takes longer than that.
	urgentDrainChecks = 12
)

// clear keeps new requests away from a runner with long runs until only resumable runs
// are left, and reports whether these may be truncated. A truncated run is resumed on
// another runner after its last event. If they are left to end, the last few long runs
// keep a runner of 40 or 60 slots out of service for four to six seconds.
func (c *Controller) clear(ctx context.Context, decision Decision) bool {
	r, checks := decision.Runner, drainChecks
	if decision.Urgent {
		checks = urgentDrainChecks
	}
	if !c.mayTruncate(r) {
		return false
	}
	for range checks {
		c.fleet.RecordBusy(r.Instance(), time.Now().Add(busyDuration))
		c.notify()
		clock.Sleep(ctx, drainCheckInterval)
		if load := c.fleet.Occupancy(r.Instance()); load.Inflight == load.Resumable {
			return load.Inflight > 0
		}
	}
	return false
}

// mayTruncate reports whether long runs of a runner may be truncated.
func (c *Controller) mayTruncate(r fleet.Target) bool {
	return c.fleet.Occupancy(r.Instance()).Long > 0 && !c.truncationDisabled.Load() && !c.fleet.Disabled(policy.Truncation)
}
