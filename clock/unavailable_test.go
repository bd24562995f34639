package clock

import (
	"errors"
	"testing"
	"time"
)

// Guards against a clock that stands still where the kernel's isn't available: no lease would end,
// and a former leader would go on giving orders.
func TestTimePassesWithoutTheKernelsClock(t *testing.T) {
	kernel := bootClock
	defer func() { bootClock = kernel }()
	bootClock = func() (BootTime, error) { return 0, errors.New("not permitted") }
	read, err := selectClock()
	if err == nil {
		t.Fatal("no error is reported")
	}
	before := read()
	time.Sleep(2 * time.Millisecond)
	if passed := read() - before; before == 0 || passed < BootTime(time.Millisecond) {
		t.Errorf("%v passed, from %v on", time.Duration(passed), time.Duration(before))
	}
}
