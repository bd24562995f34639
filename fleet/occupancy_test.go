package fleet

import (
	"fmt"
	"testing"
	"time"
)

// Entries are replaced a hundred times a day, and each start has another name.
// What the dead ones said must neither count as load nor pile up.
func TestDeadProcessesAreForgotten(t *testing.T) {
	f := named(New("z"), runner("a", 1))
	now := start
	for i := range 50 {
		f.HeardLoad(fmt.Sprintf("entry/%d", i), []Occupancy{{Target: "a", Inflight: 5, Long: 5, Prefill: 9000}}, now)
		now = now.Add(time.Second)
	}
	if n := len(f.states["a"].others); n > 2 {
		t.Errorf("the words of %d processes are kept", n)
	}
	if load := f.states["a"].sum(now); load.Inflight > 5 {
		t.Errorf("load %+v of processes that are gone", load)
	}
}
