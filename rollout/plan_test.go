package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciakeel/fleet"
	"acaciakeel/forecast"
)

func runnersAt(versions ...int64) []fleet.Target {
	out := make([]fleet.Target, len(versions))
	for i, v := range versions {
		out[i] = fleet.Target{ID: fmt.Sprintf("r%d", i), Weights: map[string]int64{"m": v}}
	}
	return out
}

// runnersToOrder returns the runners that get an order now.
func runnersToOrder(in Input) []fleet.Target {
	var out []fleet.Target
	for _, decision := range Plan(in) {
		if decision.WaitReason == None {
			out = append(out, decision.Runner)
		}
	}
	return out
}

// staleFor returns the same staleness for n runners.
func staleFor(n int, d time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for i := range n {
		out[fmt.Sprintf("r%d", i)] = d
	}
	return out
}

// Runners with the oldest weights reach their bound first; runners with long runs would
// be nearly idle until those end, so they wait.
func TestPlan(t *testing.T) {
	for _, test := range []struct {
		name string
		in   Input
		want string
	}{
		{"oldest weights first", Input{Desired: 4, Runners: runnersAt(3, 1, 2), MaxConcurrent: 2}, "[r1 r2]"},
		{"idlest of equals", Input{Desired: 2, Runners: runnersAt(1, 1), Inflight: map[string]int{"r0": 3}, MaxConcurrent: 1}, "[r1]"},
		{"none beyond the concurrency limit", Input{Desired: 2, Runners: runnersAt(1, 1), InProgress: map[string]time.Duration{"r0": 0}, MaxConcurrent: 1}, "[]"},
		{"runners with long runs wait", Input{Desired: 2, Runners: runnersAt(1, 1), LongRuns: map[string]int{"r0": 1}, MaxConcurrent: 2}, "[r1]"},
		{"runners with long runs wait no longer than the grace period", Input{Desired: 2, Runners: runnersAt(1), LongRuns: map[string]int{"r0": 1}, StaleFor: map[string]time.Duration{"r0": longRunGrace + 1}, MaxConcurrent: 1}, "[r0]"},
		{"urgent before idler", Input{Desired: 3, Runners: runnersAt(2, 1), LongRuns: map[string]int{"r1": 1}, StaleFor: map[string]time.Duration{"r0": time.Second, "r1": 8 * time.Second}, MaxConcurrent: 1, MaxStaleness: 10 * time.Second, OrderDuration: 4 * time.Second}, "[r1]"},
		{"idler first while none is urgent", Input{Desired: 3, Runners: runnersAt(2, 1), LongRuns: map[string]int{"r1": 1}, StaleFor: map[string]time.Duration{"r0": time.Second, "r1": 4 * time.Second}, MaxConcurrent: 1, MaxStaleness: 10 * time.Second, OrderDuration: 2 * time.Second}, "[r0]"},
		{"higher concurrency if deadlines would be missed", Input{Desired: 2, Runners: runnersAt(1, 1, 1, 1, 1, 1, 1, 1), StaleFor: staleFor(8, 2*time.Second), MaxConcurrent: 1, MaxStaleness: 10 * time.Second, OrderDuration: 3 * time.Second}, "[r0 r1 r2 r3]"},
		{"past its bound with requests waiting: at once", Input{Desired: 2, Runners: runnersAt(1, 1), InProgress: map[string]time.Duration{"r0": 0}, Inflight: map[string]int{"r1": 2}, StaleFor: staleFor(2, 11*time.Second), MaxConcurrent: 1, MaxStaleness: 10 * time.Second, OrderDuration: time.Second}, "[r1]"},
		{"past its bound and idle: in turn", Input{Desired: 2, Runners: runnersAt(1, 1), InProgress: map[string]time.Duration{"r0": 0}, StaleFor: staleFor(2, 11*time.Second), MaxConcurrent: 1, MaxStaleness: 10 * time.Second, OrderDuration: time.Second}, "[]"},
		{"unresponsive runners take no slot", Input{Desired: 2, Runners: runnersAt(1, 1, 1), Unresponsive: map[string]bool{"r0": true, "r1": true}, MaxConcurrent: 1}, "[r2]"},
		{"unresponsive runners past their bound get no order", Input{Desired: 2, Runners: runnersAt(1), Unresponsive: map[string]bool{"r0": true}, Inflight: map[string]int{"r0": 2}, StaleFor: staleFor(1, 11*time.Second), MaxConcurrent: 1, MaxStaleness: 10 * time.Second}, "[]"},
		{"draining runners get no order", Input{Desired: 2, Runners: []fleet.Target{{ID: "r0", Draining: true}}, MaxConcurrent: 1}, "[]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.in.Model = "m"
			ids := []string{}
			for _, r := range runnersToOrder(test.in) {
				ids = append(ids, r.ID)
			}
			if got := fmt.Sprint(ids); got != test.want {
				t.Errorf("runners to order: %s, want %s", got, test.want)
			}
		})
	}
}

// Whatever the versions, and even if a newer one appears halfway, every runner must
// reach the newest weights, with at most one order per version.
func TestRolloutCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runners := runnersAt(rapid.SliceOfN(rapid.Int64Range(1, 3), 1, 30).Draw(t, "versions")...)
		in := Input{Model: "m", Desired: 3, Runners: runners, MaxConcurrent: new(forecast.WeightLoads).MaxConcurrent(len(runners)), InProgress: map[string]time.Duration{}}
		given := map[string]bool{}
		for step := 0; step < 200; step++ {
			if step == 5 {
				in.Desired = 4
			}
			for _, r := range runnersToOrder(in) {
				order := fmt.Sprint(r.ID, in.Desired)
				if given[order] {
					t.Fatalf("ordered %s twice", order)
				}
				given[order] = true
				in.InProgress[r.ID] = 0
				runnerByID(runners, r.ID).Weights["m"] = in.Desired
			}
			if step%2 == 1 {
				in.InProgress = map[string]time.Duration{}
			}
		}
		for _, r := range runners {
			if r.Weights["m"] != in.Desired {
				t.Errorf("%s ended with weights %d, want the newest", r.ID, r.Weights["m"])
			}
		}
	})
}

func runnerByID(runners []fleet.Target, id string) *fleet.Target {
	for i := range runners {
		if runners[i].ID == id {
			return &runners[i]
		}
	}
	return nil
}

// With frequent new versions, a quarter of the runners reached their bound before their
// first order because idler runners went first after each version.
func TestFrequentVersionsStarveNoRunner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 60).Draw(t, "runners")
		orderDuration := time.Duration(rapid.IntRange(10, 60).Draw(t, "order duration in tenths of a second")) * 100 * time.Millisecond
		interval := time.Duration(rapid.IntRange(10, 60).Draw(t, "interval between versions in tenths of a second")) * 100 * time.Millisecond
		// Half of the runners at a time need two rounds, and earlier rounds may have to end first.
		maxStaleness := 4*orderDuration + time.Duration(rapid.IntRange(0, 100).Draw(t, "extra time in tenths of a second"))*100*time.Millisecond
		simulateVersions(t, n, orderDuration, interval, maxStaleness, rapid.SliceOfN(rapid.IntRange(0, 3), n, n).Draw(t, "long runs"))
	})
}

// simulateVersions simulates a minute in which new versions appear and fails if a
// runner reaches its bound without an order.
func simulateVersions(t *rapid.T, n int, orderDuration, interval, maxStaleness time.Duration, longRuns []int) {
	const step = 100 * time.Millisecond
	runners := runnersAt(make([]int64, n)...)
	desiredSince := []time.Duration{0}
	ends := map[string]time.Duration{}
	in := Input{Model: "m", Runners: runners, LongRuns: map[string]int{}, MaxConcurrent: new(forecast.WeightLoads).MaxConcurrent(n), MaxStaleness: maxStaleness, OrderDuration: orderDuration}
	for i, l := range longRuns {
		in.LongRuns[runners[i].ID] = l
	}
	for now := time.Duration(0); now < time.Minute; now += step {
		if now-desiredSince[len(desiredSince)-1] >= interval {
			desiredSince = append(desiredSince, now)
		}
		in.Desired = int64(len(desiredSince))
		in.StaleFor, in.InProgress = map[string]time.Duration{}, map[string]time.Duration{}
		for _, r := range runners {
			if end, ok := ends[r.ID]; ok && now >= end {
				delete(ends, r.ID)
			} else if ok {
				in.InProgress[r.ID] = orderDuration - (end - now)
			}
			if at := r.Weights["m"]; at < in.Desired {
				in.StaleFor[r.ID] = now - desiredSince[at]
			}
			if _, ok := ends[r.ID]; !ok && in.StaleFor[r.ID] > maxStaleness {
				t.Fatalf("%s has weights %d at %v, stale for %v, and no order", r.ID, r.Weights["m"], now, in.StaleFor[r.ID])
			}
		}
		for _, r := range runnersToOrder(in) {
			ends[r.ID] = now + orderDuration
			runnerByID(runners, r.ID).Weights["m"] = in.Desired
		}
	}
}
