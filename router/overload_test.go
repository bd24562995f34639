package router

import (
	"testing"
	"time"
)

// Guards against refusing light requests queued among heavy ones: hundreds of tags of 6 ms were
// refused for a wait of 250 ms beside captions of 400 ms, in each of which a runner reads 70 tags.
func TestLightRequestsMayWaitLonger(t *testing.T) {
	for _, test := range []struct {
		name               string
		objective, prefill time.Duration
		want               time.Duration
	}{
		{"a tag", 500 * time.Millisecond, 6 * time.Millisecond, time.Second},
		{"a caption", time.Second, 400 * time.Millisecond, 500 * time.Millisecond},
		{"one whose own prefill exceeds its objective", time.Second, 1500 * time.Millisecond, 500 * time.Millisecond},
		{"a caption whose prompt is nearly all cached", time.Second, 50 * time.Millisecond, time.Second},
		{"one without prefill", time.Second, 0, 500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := maxWait(test.objective, test.prefill); got != test.want {
				t.Errorf("maximum wait %v, want %v", got, test.want)
			}
		})
	}
}
