package retry

import (
	"testing"
	"time"

	"acaciakeel/refusal"
)

var start = time.Unix(1000, 0)

// When all requests of an entry fail, the retries must stay close to their share of the
// requests instead of doubling the load.
func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudget(0.1, 0, start)
	retries := 0
	for range 1000 {
		b.RecordRequest(start)
		for b.Take(start) {
			retries++
		}
	}
	if retries < 100 || retries > 100+defaultBurst {
		t.Errorf("%d retries for 1000 requests, want 100 to 100+defaultBurst", retries)
	}
}

func TestAllowed(t *testing.T) {
	ran := *refusal.New(refusal.TargetFailed, "", "")
	ran.Outcome = refusal.Unknown
	notRun := *refusal.New(refusal.TargetFailed, "", "")
	for _, test := range []struct {
		name       string
		refused    *refusal.Error
		idempotent bool
		sends      int
		want       bool
	}{
		{"may have run", &ran, false, 1, false},
		{"may have run, but is idempotent", &ran, true, 1, true},
		{"did not run", &notRun, false, 1, true},
		{"too many sends", &notRun, true, MaxAttempts, false},
		{"a final refusal", refusal.New(refusal.DeadlineUnmet, "", ""), true, 1, false},
		{"a full queue", refusal.New(refusal.QueueFull, "", ""), true, 1, false},
		{"outcome unknown", refusal.NewUnknown(""), false, 1, false},
	} {
		if got := Allowed(test.refused, test.idempotent, test.sends); got != test.want {
			t.Errorf("%s: allowed = %v", test.name, got)
		}
	}
}

// Twenty processes share a limit of 82 retries beyond a fifth of the requests in any
// ten seconds. A rollout makes all of them retry at once after a quiet period: with 20
// accumulated retries each, they sent 651 where 624 were allowed.
func TestSharedBudgetInBurst(t *testing.T) {
	const (
		processes = 20
		extra     = 82.0
		window    = 10 * time.Second
		each      = 130 // requests of each process in the window
	)
	now := time.Unix(1000, 0)
	sent := 0
	for range processes {
		b := NewBudget(0.16, 0, now)
		b.SetRateAndBurst(extra/4/window.Seconds()/processes, max(1, extra/4/processes), now.Add(time.Minute))
		for i := range each {
			at := now.Add(time.Minute + time.Duration(i)*window/each)
			b.RecordRequest(at)
			for b.Take(at) {
				sent++
			}
		}
	}
	if allowed := 0.2*processes*each + extra; float64(sent) > allowed {
		t.Errorf("%d retries, want at most %v", sent, allowed)
	}
}
