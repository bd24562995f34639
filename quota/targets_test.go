package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"acaciakeel/policy"
)

// targetUnits is the charge of one request on a target's limit.
const targetUnits = 1000

// newTargetSimulation simulates requests to one target that accepts rate requests per
// second from all processes together.
func newTargetSimulation(n int, rate float64, off policy.Disabled, seed uint64) *simulation {
	d := newSimulation(0, Limit{Rate: rate * targetUnits, Burst: max(rate/4, 1) * targetUnits, Unit: Tokens}, off, seed)
	d.tolerance = Tolerance{Window: 4 * time.Second, Overrun: 0.5, Slack: 5 * targetUnits}
	d.pulseInterval = max(50, time.Duration(5*min(n, 25))) * time.Millisecond
	d.fixedSize = true
	for range n {
		h := &process{weight: 1}
		d.processes = append(d.processes, h)
		d.startProcess(h, n)
	}
	return d
}

// Compares the variants at a target with a limit, in windows of four seconds. Guards
// against exceeding the limit in sum over all processes, and against leaving capacity
// unused.
func TestTargetLimitsAreKeptAndUsed(t *testing.T) {
	const warmUpTime, length = 3 * time.Second, 20 * time.Second
	datadriven.RunTest(t, "testdata/targets", func(t *testing.T, d *datadriven.TestData) string {
		n, tenths, factor, only := 3, 10, 3, ""
		d.MaybeScanArgs(t, "processes", &n)
		d.MaybeScanArgs(t, "tenths", &tenths)
		d.MaybeScanArgs(t, "asked", &factor)
		d.MaybeScanArgs(t, "way", &only)
		rate := float64(tenths) / 10
		out := ""
		for _, w := range variants {
			if only != "" && only != w.name {
				continue
			}
			m := newTargetSimulation(n, rate, w.off, 1)
			m.run(warmUpTime, float64(factor)*rate*targetUnits, targetUnits)
			before := len(m.admissions)
			m.run(length, float64(factor)*rate*targetUnits, targetUnits)
			most, used := m.maxWindowUse(m.limit, warmUpTime), float64(len(m.admissions)-before)/(rate*length.Seconds())
			if w.off == nil && (most > 1 || used < 0.8) {
				t.Errorf("%d processes: at most %.2f of the tolerated amount, %.2f of the limit used", n, most, used)
			}
			out += fmt.Sprintf("%-7s most %.2f, used %.2f\n", w.name, most, used)
		}
		return out
	})
}
