package rollout

import (
	"context"
	"time"

	"acaciakeel/clock"
	"acaciakeel/fleet"
)

// durationSmoothing is the weight of one order in the moving average, so that about the
// last ten orders determine the estimate.
const durationSmoothing = 0.1

func (c *Controller) recordDuration(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.orderDuration == 0 {
		c.orderDuration = d
	}
	c.orderDuration += time.Duration(durationSmoothing * float64(d-c.orderDuration))
}

// awaitLoad polls a runner until its order has ended, and reports whether the runner
// has loaded the weights.
func (c *Controller) awaitLoad(ctx context.Context, r fleet.Target, model string, desired int64) bool {
	start := time.Now()
	c.fleet.RecordBusy(r.Instance(), start.Add(busyDuration))
	c.notify()
	clock.Sleep(ctx, firstPollDelay)
	missed := 0
	for ctx.Err() == nil && time.Since(start) < orderTimeout && c.fleet.Available(r.Instance()) {
		report, err := c.report(ctx, r, model, desired)
		if err == nil {
			missed = 0
		} else if missed++; missed >= missedPolls {
			return false
		}
		if err == nil && !c.checkInstance(r, report) {
			// The order ended with the instance that accepted it. A load by the
			// later one says nothing about the duration of this order.
			return false
		}
		if err == nil && report.Weights[model] >= desired {
			c.fleet.RecordWeights(r.Instance(), model, desired, time.Now())
			c.notify()
			c.fleet.RecordWeightLoad(r.Service, time.Since(start))
			c.logEvent("loaded", r, model, desired).WithField("took_ms", time.Since(start).Milliseconds()).Info("runner has loaded the weights")
			return true
		}
		if err == nil && !report.Busy {
			return false
		}
		c.fleet.RecordBusy(r.Instance(), time.Now().Add(busyDuration))
		clock.Sleep(ctx, pollInterval)
	}
	return false
}

// checkInstance reports whether a report is of the expected instance of a runner. A
// report of a later instance ends the expected one, and its versions are recorded; a
// report of an earlier one is ignored.
func (c *Controller) checkInstance(r fleet.Target, report fleet.Status) bool {
	instance := fleet.Instance{ID: r.ID, Born: report.Born}
	if !c.fleet.Observe(instance, report.AskedAt) {
		return false
	}
	if instance.Matches(r.Instance()) {
		return true
	}
	for model, version := range report.Weights {
		c.fleet.RecordAnsweredWeights(instance, model, version, report.AskedAt, time.Now())
	}
	return false
}
