package router

import (
	"testing"
	"time"
)

// Guards against a stop that goes by how long targets took minutes ago, or forgets a long request at
// the end of a window.
func TestServiceTimesAreRecent(t *testing.T) {
	start := time.Now()
	s := newServiceTimes()
	if _, _, known := s.of("a", start); known {
		t.Error("a route without attempts has a time")
	}
	s.record("a", 3*time.Second, start)
	for _, test := range []struct {
		after   time.Duration
		longest time.Duration
	}{{0, 3 * time.Second}, {serviceTimesWindow, 3 * time.Second}, {2*serviceTimesWindow - 1, 3 * time.Second}, {2 * serviceTimesWindow, 0}} {
		_, longest, known := s.of("a", start.Add(test.after))
		if longest != test.longest || known != (test.longest > 0) {
			t.Errorf("after %v the longest is %v, known %t, want %v", test.after, longest, known, test.longest)
		}
	}
	s.record("a", time.Second, start.Add(3*serviceTimesWindow))
	if _, longest, _ := s.of("a", start.Add(3*serviceTimesWindow)); longest != time.Second {
		t.Errorf("the longest is %v, want the only recent one", longest)
	}
}
