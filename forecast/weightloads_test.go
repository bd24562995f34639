package forecast

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the fleet's size and the loads seen, some runner changes and half of
// them stay in service.
func TestMaxConcurrentLeavesHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "runners")
		var l WeightLoads
		for range rapid.IntRange(0, 30).Draw(t, "loads") {
			l.Observe(time.Duration(rapid.IntRange(0, 20000).Draw(t, "load ms")) * time.Millisecond)
		}
		if at := l.MaxConcurrent(n); at < 1 || (n > 1 && at > n/2) {
			t.Errorf("%d of %d at once", at, n)
		}
	})
}

// Nine runners, of which two load at full speed beside each other. With four
// orders at once each was out of service for twice as long, and captions of the
// archive found five runners for the work of six. Where loads are short, most of
// an order is the end of runs, and more of them go together.
func TestConcurrentLoadsRunAtFullSpeed(t *testing.T) {
	for _, test := range []struct {
		runners int
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
		if at := l.MaxConcurrent(test.runners); at != test.want {
			t.Errorf("%d of %d runners at once with loads of %v, want %d", at, test.runners, test.load, test.want)
		}
	}
}

// Most runners have runs to end before they load, which takes up to four times as
// long. The time of a load stays near that of the idle ones, and follows engines
// whose weights take longer within some rollouts.
func TestLoadDurationFollowsIdleRunners(t *testing.T) {
	var l WeightLoads
	for i := range 40 {
		l.Observe(2*time.Second + time.Duration(i%5)*time.Second)
	}
	if l.LoadDuration() > 2200*time.Millisecond {
		t.Errorf("a load is taken for %v", l.LoadDuration())
	}
	for range 300 {
		l.Observe(6 * time.Second)
	}
	if l.LoadDuration() < 5*time.Second {
		t.Errorf("a load is taken for %v where all take 6 s", l.LoadDuration())
	}
}
