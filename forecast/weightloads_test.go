package forecast

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a rollout that orders no target at all, or more than half of them at once.
func TestMaxConcurrentLeavesHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "runners")
		var l WeightLoads
		for range rapid.IntRange(0, 30).Draw(t, "loads") {
			l.Observe(time.Duration(rapid.IntRange(0, 20000).Draw(t, "load ms")) * time.Millisecond)
		}
		if at := l.MaxConcurrent(n); at < 1 || (n > 1 && at > n/2) {
			t.Errorf("%d of %d targets at once", at, n)
		}
	})
}

// Guards against more orders at once than load at full speed: with four of nine targets,
// each was out of service for twice as long, which left five targets for the work of six.
func TestConcurrentLoadsRunAtFullSpeed(t *testing.T) {
	// The shorter the loads, the more of an order is draining, and the more orders overlap.
	for _, test := range []struct {
		targets int
		load    time.Duration
		want    int
	}{
		{9, 2100 * time.Millisecond, 2},
		{18, 600 * time.Millisecond, 6},
		{18, 1500 * time.Millisecond, 4},
		{38, 600 * time.Millisecond, 13},
		{44, 2100 * time.Millisecond, 10},
	} {
		var l WeightLoads
		l.Observe(test.load)
		if at := l.MaxConcurrent(test.targets); at != test.want {
			t.Errorf("%d of %d targets at once with loads of %v, want %d", at, test.targets, test.load, test.want)
		}
	}
}

// Guards against an estimate inflated by targets that drain before they load, up to four
// times as long, and against one that does not follow engines with slower loads.
func TestLoadDurationFollowsIdleTargets(t *testing.T) {
	var l WeightLoads
	for i := range 40 {
		l.Observe(2*time.Second + time.Duration(i%5)*time.Second)
	}
	if l.LoadDuration() > 2200*time.Millisecond {
		t.Errorf("load duration %v, want about 2 s", l.LoadDuration())
	}
	for range 300 {
		l.Observe(6 * time.Second)
	}
	if l.LoadDuration() < 5*time.Second {
		t.Errorf("load duration %v, want about 6 s", l.LoadDuration())
	}
}
