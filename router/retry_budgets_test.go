package router

import (
	"testing"
	"time"
)

const (
	testProcesses = 20
	testExtra     = 82.0
	testWindow    = 10 * time.Second
	testRequests  = 200 // requests per process and window
)

// loadedBudgets returns the budgets of a process after a minute of steady requests.
func loadedBudgets(now time.Time) *retryBudgets {
	b := newRetryBudgets(RetryBounds{Ratio: 0.2, Extra: testExtra, Window: testWindow})
	for i := range 6 * testRequests {
		b.recordRequest("lm", now.Add(time.Duration(i)*testWindow/testRequests))
	}
	return b
}

// Guards against streams that end midway for users: load orders break off ten streams at
// each of twenty entries at once, and with one accumulated retry per entry most cannot resume.
func TestManyStreamsResumeAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	b := loadedBudgets(start)
	now := start.Add(6 * testWindow)
	for i := range 10 {
		if !b.take("lm", testProcesses, now) {
			t.Fatalf("retry %d at one moment was refused", i)
		}
	}
}

// Guards against exceeding the bound over all processes, whether retries come all at once
// after a quiet time or continuously.
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
		t.Errorf("%d retries, more than the %v allowed", sent, allowed)
	}
}

// Guards against retries of hundreds of nearly idle entries overloading the targets left after
// a rack fails: with one accumulated retry for each entry, their sum exceeds the bound.
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
				t.Errorf("%d entries with %d requests each: %d retries, more than the %v allowed", size.processes, each, sent, allowed)
			}
			// Where the bound allows a retry for every process, each must get one.
			if float64(size.processes) < (1-extraRateShare)*size.extra && none > 0 {
				t.Errorf("%d entries: %d of them got no retry", size.processes, none)
			}
		}
	}
}
