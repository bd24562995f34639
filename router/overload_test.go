package router

import (
	"testing"
	"time"
)

// Beside captions that take 400 ms to read and whose answer is due in a second,
// tags of 6 ms were refused by the hundred for a wait of a quarter of a second,
// though a runner reads seventy of them in the time of one caption. What takes
// little waits for longer; what takes much is refused by its wait, not its size.
func TestLightRequestsMayWaitLonger(t *testing.T) {
	for _, test := range []struct {
		name               string
		objective, reading time.Duration
		want               time.Duration
	}{
		{"a tag", 500 * time.Millisecond, 6 * time.Millisecond, time.Second},
		{"a caption", time.Second, 400 * time.Millisecond, 500 * time.Millisecond},
		{"one that is late by its own size", time.Second, 1500 * time.Millisecond, 500 * time.Millisecond},
		{"a caption whose prompt is nearly all cached", time.Second, 50 * time.Millisecond, time.Second},
		{"one with nothing to read", time.Second, 0, 500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := maxWait(test.objective, test.reading); got != test.want {
				t.Errorf("may wait %v, want %v", got, test.want)
			}
		})
	}
}
