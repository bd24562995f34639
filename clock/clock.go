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

// bootClock reads the clock of the kernel. Tests replace it.
var bootClock = func() (BootTime, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return BootTime(t.Nano()), err
}

var (
	processStart = time.Now()
	// readClock is selected once, since times of different clocks can't be compared.
	readClock, unavailable = selectClock()
)

// selectClock returns the clock to use. Without the kernel's, Go's monotonic clock still has
// leases and views expire, only not while the VM is suspended.
func selectClock() (read func() BootTime, unavailable error) {
	if _, err := bootClock(); err != nil {
		return func() BootTime { return BootTime(time.Since(processStart)) + 1 }, err
	}
	return func() BootTime {
		t, _ := bootClock() // it has worked, and no other call fails
		return t
	}, nil
}

// Unavailable returns why the time that the VM is suspended isn't counted, or nil if it is.
func Unavailable() error { return unavailable }

// Now returns the current time.
func Now() BootTime { return readClock() }

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
