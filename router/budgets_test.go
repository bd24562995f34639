package router

import (
	"testing"
	"time"
)

const (
	testProcesses = 20
	testExtra     = 82.0
	testWindow    = 10 * time.Second
	testEach      = 200 // requests of each process in a window
)

// loaded returns a process's budgets after a minute of steady requests.
func loaded(now time.Time) *budgets {
	b := newBudgets(RetryBounds{Ratio: 0.2, Extra: testExtra, Window: testWindow})
	for i := range 6 * testEach {
		b.request("lm", now.Add(time.Duration(i)*testWindow/testEach))
	}
	return b
}

// Runners are ordered to cut their streams off, and each of twenty entries has
// ten of them to go on with at the same moment. The bound of a window allows all
// of these; with one saved retry an entry, users saw their streams end midway.
func TestManyStreamsGoOnAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	b := loaded(start)
	now := start.Add(6 * testWindow)
	for i := range 10 {
		if !b.take("lm", testProcesses, now) {
			t.Fatalf("retry %d of one moment was refused", i)
		}
	}
}

// However the retries come, all at once after a quiet time or all the time, the
// bound over all processes holds.
func TestBurstsKeepTheBound(t *testing.T) {
	start := time.Unix(1000, 0)
	sent := 0
	for range testProcesses {
		b := loaded(start)
		for i := range testEach {
			now := start.Add(6*testWindow + time.Duration(i)*testWindow/testEach)
			b.request("lm", now)
			for b.take("lm", testProcesses, now) {
				sent++
			}
		}
	}
	if allowed := 0.2*testProcesses*testEach + testExtra; float64(sent) > allowed {
		t.Errorf("%d retries, over %v", sent, allowed)
	}
}
