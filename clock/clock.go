// Package clock provides a clock that continues while the VM is suspended. Go's
// monotonic clock stops during suspension and the wall clock can be set, so neither
// bounds the age of cached data.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is the time since the VM booted, including time spent suspended.
type BootTime time.Duration

// Now returns the current time.
func Now() BootTime {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel since 2.6.39 has CLOCK_BOOTTIME, so the call is not
		// expected to fail. No data may count as fresh without the clock; returning 0
		// does not ensure that by itself.
		return 0
	}
	return BootTime(t.Nano())
}

// Since returns the time elapsed since b.
func (b BootTime) Since() time.Duration {
	return time.Duration(Now() - b)
}

// Add returns b+d.
func (b BootTime) Add(d time.Duration) BootTime {
	return b + BootTime(d)
}

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
