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
		f.HeardLoad(fmt.Sprintf("entry/%d", i), []Occupancy{{Target: Life{ID: "a"}, Inflight: 5, Long: 5, Prefill: 9000}}, now)
		now = now.Add(time.Second)
	}
	if n := len(f.states["a"].others); n > 2 {
		t.Errorf("the words of %d processes are kept", n)
	}
	if load := f.states["a"].sum(now); load.Inflight > 5 {
		t.Errorf("load %+v of processes that are gone", load)
	}
}

// Twenty-four entries hear of each other eight times a second, and eighty long
// prompts come in one. Each compared all runners and sent to the same few that
// looked idle, where prompts then waited for each other. With less unseen, more
// runners are compared; without news of anybody, all.
func TestFewAreComparedWhereMuchIsUnseen(t *testing.T) {
	compared := func(every time.Duration, heavies int) int {
		f := nineRunners()
		now := start
		for i := range 20 * heavies {
			f.Choose(heavy(i), now)
			if i%4 == 0 {
				f.HeardLoad("other", nil, start.Add(time.Duration(i/4)*every))
			}
			now = now.Add(time.Second / time.Duration(heavies))
		}
		return f.compared(heavy(0), 44, now)
	}
	if n := compared(120*time.Millisecond, 80); n < askedLeast || n > 12 {
		t.Errorf("%d of 44 runners are compared with ten decisions unseen", n)
	}
	if n := compared(50*time.Millisecond, 10); n != askedMost {
		t.Errorf("%d of 44 runners are compared with half a decision unseen", n)
	}
	if n := nineRunners().compared(heavy(0), 44, start); n != askedMost {
		t.Errorf("%d of 44 runners are compared by a process alone", n)
	}
}
