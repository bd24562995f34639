package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"acaciakeel/placement"
)

// Guards against a stream that waits for a runner and gives up while the runner is back, as the next
// probe of it is seconds away.
func TestWaitingStreamProbesDeadRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Entry{health: newHealthTable()}
		for range 10 {
			e.health.recordFailure("r")
		}
		time.Sleep(waitingProbeInterval)
		s := &targetSelection{entry: e}
		r := &placement.Runner{Name: "r"}
		if s.usable(r) {
			t.Error("a request that doesn't wait probes the runner")
		}
		s.query.waits = true
		if !s.usable(r) {
			t.Error("a stream that waits doesn't probe the runner")
		}
	})
}
