package fleet

import (
	"testing"
	"time"
)

// An order keeps a runner busy. One entry meets that and tells the others, many
// times a second. Were they to tell it on, each with the delay of the way, the
// runner would count as busy for as long as there are two entries: it stood idle
// for seconds after its order, while the others drowned.
func TestBusyDoesNotEcho(t *testing.T) {
	a, b := named(New("z"), runner("r", 1)), named(New("z"), runner("r", 1))
	a.Busy("r", start.Add(700*time.Millisecond))
	const delay = 30 * time.Millisecond
	now := start
	for range 40 {
		b.HeardFindings(a.Findings(now), now.Add(delay))
		a.HeardFindings(b.Findings(now.Add(delay)), now.Add(2*delay))
		now = now.Add(100 * time.Millisecond)
	}
	for name, f := range map[string]*Fleet{"who met it": a, "who heard it": b} {
		if _, ok := f.Choose(query(), now); !ok {
			t.Errorf("%s: busy %v after the order of 700 ms", name, now.Sub(start))
		}
	}
}
