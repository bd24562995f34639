package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciakeel/fleet"
)

// Whatever the fleet's size and the loads seen, some runner changes and half of
// them stay in service.
func TestAtOnceLeavesHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "runners")
		var p pace
		for range rapid.IntRange(0, 30).Draw(t, "loads") {
			p.loaded(time.Duration(rapid.IntRange(0, 20000).Draw(t, "load ms"))*time.Millisecond, rapid.Float64Range(0, 40).Draw(t, "beside"))
			p.emptied(time.Duration(rapid.IntRange(0, 9000).Draw(t, "emptying ms")) * time.Millisecond)
		}
		if at := p.atOnce(n, 0); at < 1 || (n > 1 && at > n/2) {
			t.Errorf("%d of %d at once", at, n)
		}
	})
}

// Nine runners, of which two load at full speed beside each other. With four at
// once each was out of service for twice as long, and captions of the archive
// found five runners for the work of six. Whatever the number at full speed, it
// is found within some loads and kept to within one or the quarter that counts as
// noise.
func TestThePaceIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := rapid.IntRange(2, 12).Draw(t, "at full speed")
		n := full * rapid.IntRange(3, 6).Draw(t, "runners by that")
		load := time.Duration(rapid.IntRange(300, 5000).Draw(t, "load ms")) * time.Millisecond
		var p pace
		p.loaded(load, 1)
		for range 200 {
			p.emptied(0)
			at := p.atOnce(n, 0)
			p.loaded(load*time.Duration(max(at, full))/time.Duration(full), float64(at))
		}
		if at := p.atOnce(n, 0); at < min(full, n/2)-1 || float64(at) > max(float64(full)+1, slowed*float64(full)+0.5) {
			t.Errorf("%d at once, where %d load at full speed (%+v)", at, full, p)
		}
	})
}

// A runner has runs to end before it loads. Were it ordered only when a load has
// ended, none would load meanwhile; were it ordered at once, it would stand idle
// until then.
func TestTheNextRunnerEmptiesWhileALoadEnds(t *testing.T) {
	h := NewHolder("n", always{}, &orders{}, fleet.New("z"), nil, func() {}, quiet())
	h.pace = pace{alone: time.Hour, width: 2}
	for range 40 {
		h.pace.emptied(10 * time.Minute)
	}
	now := time.Now()
	h.loads[&oneLoad{began: now.Add(-30 * time.Minute), beside: 2}] = true
	h.loads[&oneLoad{began: now.Add(-55 * time.Minute), beside: 2}] = true
	if at := h.input("m", 2, runnersAt(1, 1, 1, 1, 1, 1, 1, 1)).AtOnce; at != 3 {
		t.Errorf("%d at once, want the two that load and one in place of the one that ends", at)
	}
}
