package rollout

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"acaciakeel/clock"
	"acaciakeel/fleet"
)

// fadingLeader is a leadership whose confirmation lasts for a time.
type fadingLeader struct {
	alwaysLeader
	lasts       time.Duration
	confirmedAt clock.BootTime
}

func (l *fadingLeader) Remaining() time.Duration { return l.lasts - l.confirmedAt.Since() }
func (l *fadingLeader) Confirm(context.Context)  { l.confirmedAt = clock.Now() }

// slowReporter is a client whose runner takes a while for each report.
type slowReporter struct {
	recordingClient
	takes time.Duration
}

func (c *slowReporter) Report(ctx context.Context, of fleet.Target) (fleet.Status, error) {
	clock.Sleep(ctx, c.takes)
	return c.recordingClient.Report(ctx, of)
}

// Guards against a target that never gets an order because its report takes longer than the
// confirmation of the leadership lasts beyond an order's way.
func TestSlowReportDoesNotOutlastTheConfirmation(t *testing.T) {
	f := fleet.New("z")
	r := fleet.Target{ID: "r", Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
	f.Put(r)
	client := &slowReporter{takes: 100 * time.Millisecond}
	c := NewController("n", Config{Leadership: &fadingLeader{lasts: 300 * time.Millisecond}, Client: client, Fleet: f, Notify: func() {}, OrderTransit: 250 * time.Millisecond}, discardLogger())
	c.updateRunner(t.Context(), Decision{Runner: r}, "m", 2)
	if len(client.orders) != 1 {
		t.Errorf("got %d orders, want 1", len(client.orders))
	}
}

// countingClient counts the reports.
type countingClient struct {
	recordingClient
	reports atomic.Int64
}

func (c *countingClient) Report(ctx context.Context, of fleet.Target) (fleet.Status, error) {
	c.reports.Add(1)
	return c.recordingClient.Report(ctx, of)
}

// Guards against a leader that asks a target without a pause while an order of its earlier hold may
// still arrive.
func TestTargetIsAskedWithPausesWhileEarlierOrdersMayArrive(t *testing.T) {
	f := fleet.New("z")
	f.Put(fleet.Target{ID: "r", Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}})
	f.RecordDesired("m", 2, time.Now(), false)
	client := &countingClient{}
	c := NewController("n", Config{Leadership: alwaysLeader{}, Client: client, Fleet: f, Services: modelOfLM, Notify: func() {}}, discardLogger())
	c.outstanding.inProgress = 1 // an order with a lower token
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	c.Run(ctx)
	if n := client.reports.Load(); n > 10 || n == 0 {
		t.Errorf("%d reports within 500 ms", n)
	}
}
