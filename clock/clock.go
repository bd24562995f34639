// Package clock tells time that goes on while a machine is suspended. The
// steady clock stops then and the time of day may be set, so neither can
// bound how old a piece of knowledge is.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a moment on the clock that counts since the machine's start,
// suspended or not.
type BootTime time.Duration

// Now returns the present moment.
func Now() BootTime {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel since 2.6.39 has this clock; without it nothing may be
		// taken for fresh, and the zero moment is long ago to none.
		return 0
	}
	return BootTime(t.Nano())
}

// Since returns how long ago a moment was.
func (b BootTime) Since() time.Duration {
	return time.Duration(Now() - b)
}

// Add returns the moment d later.
func (b BootTime) Add(d time.Duration) BootTime {
	return b + BootTime(d)
}

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
