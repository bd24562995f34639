package router

import (
	"testing"
	"time"
)

const (
	testProcesses = 20
	testExtra     = 82.0
	testWindow    = 10 * time.Second
	testRequests  = 200 // requests of each process in a window
)

// loadedBudgets returns a process's budgets after a minute of steady requests.
func loadedBudgets(now time.Time) *retryBudgets {
	b := newRetryBudgets(RetryBounds{Ratio: 0.2, Extra: testExtra, Window: testWindow})
	for i := range 6 * testRequests {
		b.recordRequest("lm", now.Add(time.Duration(i)*testWindow/testRequests))
	}
	return b
}

// Runners are ordered to cut their streams off, and each of twenty entries has
// ten of them to go on with at the same moment. The bound of a window allows all
// of these; with one saved retry an entry, users saw their streams end midway.
func TestManyStreamsResumeAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	b := loadedBudgets(start)
	now := start.Add(6 * testWindow)
	for i := range 10 {
		if !b.take("lm", testProcesses, now) {
			t.Fatalf("retry %d of one moment was refused", i)
		}
	}
}

// However the retries come, all at once after a quiet time or all the time, the
// bound over all processes holds.
func TestBurstsStayWithinBound(t *testing.T) {
	start := time.Unix(1000, 0)
	sent := 0
	for range testProcesses {
		b := loadedBudgets(start)
		for i := range testRequests {
			now := start.Add(6*testWindow + time.Duration(i)*testWindow/testRequests)
			b.recordRequest("lm", now)
			for b.take("lm", testProcesses, now) {
				sent++
			}
		}
	}
	if allowed := 0.2*testProcesses*testRequests + testExtra; float64(sent) > allowed {
		t.Errorf("%d retries, over %v", sent, allowed)
	}
}

// A rack of runners goes while hundreds of entries have nothing but a request or two
// each. Each had one further send saved, and together they sent more than the bound
// of a window: the runners that were left got the whole herd again. At any number of
// entries, busy or idle, just started or long there, the sum must hold; and where
// the bound has some for each, each must have one.
func TestTotalStaysWithinBound(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, size := range []struct {
		processes int
		extra     float64
	}{{20, 80}, {41, 80}, {103, 246}, {300, 246}, {370, 246}, {1000, 246}} {
		for _, each := range []int{1, 5, 40} {
			sent, none := 0, 0
			for range size.processes {
				b := newRetryBudgets(RetryBounds{Ratio: 0.2, Extra: size.extra, Window: testWindow})
				before := sent
				for i := range each {
					now := start.Add(time.Duration(i) * testWindow / time.Duration(each))
					b.recordRequest("lm", now)
					for b.take("lm", size.processes, now) {
						sent++
					}
				}
				if sent == before {
					none++
				}
			}
			if allowed := 0.2*float64(size.processes*each) + size.extra; float64(sent) > allowed {
				t.Errorf("%d entries with %d requests each: %d further sends, over %v", size.processes, each, sent, allowed)
			}
			if float64(size.processes) < (1-extraRateShare)*size.extra && none > 0 {
				t.Errorf("%d entries: %d of them have none", size.processes, none)
			}
		}
	}
}
