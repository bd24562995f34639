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

// ordered returns the runners that get an order now.
func ordered(in Input) []fleet.Target {
	var out []fleet.Target
	for _, t := range Turns(in) {
		if t.Wait == None {
			out = append(out, t.Runner)
		}
	}
	return out
}

// sameFor has n runners be behind for as long.
func sameFor(n int, d time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for i := range n {
		out[fmt.Sprintf("r%d", i)] = d
	}
	return out
}

// Runners whose weights were replaced first run out of time first; runners with
// long runs would stand nearly idle until those end, so they wait.
func TestNextOrders(t *testing.T) {
	for _, test := range []struct {
		name string
		in   Input
		want string
	}{
		{"the oldest first", Input{Desired: 4, Runners: runnersAt(3, 1, 2), AtOnce: 2}, "[r1 r2]"},
		{"the idlest of equals", Input{Desired: 2, Runners: runnersAt(1, 1), Inflight: map[string]int{"r0": 3}, AtOnce: 1}, "[r1]"},
		{"none beyond the room", Input{Desired: 2, Runners: runnersAt(1, 1), Underway: map[string]time.Duration{"r0": 0}, AtOnce: 1}, "[]"},
		{"long runs wait", Input{Desired: 2, Runners: runnersAt(1, 1), Long: map[string]int{"r0": 1}, AtOnce: 2}, "[r1]"},
		{"long runs wait for so long only", Input{Desired: 2, Runners: runnersAt(1), Long: map[string]int{"r0": 1}, Behind: map[string]time.Duration{"r0": longPatience + 1}, AtOnce: 1}, "[r0]"},
		{"who is short of time before the idler", Input{Desired: 3, Runners: runnersAt(2, 1), Long: map[string]int{"r1": 1}, Behind: map[string]time.Duration{"r0": time.Second, "r1": 8 * time.Second}, AtOnce: 1, Bound: 10 * time.Second, Each: 4 * time.Second}, "[r1]"},
		{"the idler while time is left", Input{Desired: 3, Runners: runnersAt(2, 1), Long: map[string]int{"r1": 1}, Behind: map[string]time.Duration{"r0": time.Second, "r1": 4 * time.Second}, AtOnce: 1, Bound: 10 * time.Second, Each: 2 * time.Second}, "[r0]"},
		{"more at once where few don't end in time", Input{Desired: 2, Runners: runnersAt(1, 1, 1, 1, 1, 1, 1, 1), Behind: sameFor(8, 2*time.Second), AtOnce: 1, Bound: 10 * time.Second, Each: 3 * time.Second}, "[r0 r1 r2 r3]"},
		{"who gets nothing any more and has some waiting, at once", Input{Desired: 2, Runners: runnersAt(1, 1), Underway: map[string]time.Duration{"r0": 0}, Inflight: map[string]int{"r1": 2}, Behind: sameFor(2, 11*time.Second), AtOnce: 1, Bound: 10 * time.Second, Each: time.Second}, "[r1]"},
		{"who gets nothing any more and is idle, in its turn", Input{Desired: 2, Runners: runnersAt(1, 1), Underway: map[string]time.Duration{"r0": 0}, Behind: sameFor(2, 11*time.Second), AtOnce: 1, Bound: 10 * time.Second, Each: time.Second}, "[]"},
		{"those that leave are left alone", Input{Desired: 2, Runners: []fleet.Target{{ID: "r0", Draining: true}}, AtOnce: 1}, "[]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.in.Model = "m"
			ids := []string{}
			for _, r := range ordered(test.in) {
				ids = append(ids, r.ID)
			}
			if got := fmt.Sprint(ids); got != test.want {
				t.Errorf("ordered %s, want %s", got, test.want)
			}
		})
	}
}

// Simulated to its end, a rollout brings every runner to the newest weights,
// also where more are named in the middle, with no runner ordered twice for one
// version.
func TestRolloutEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runners := runnersAt(rapid.SliceOfN(rapid.Int64Range(1, 3), 1, 30).Draw(t, "versions")...)
		in := Input{Model: "m", Desired: 3, Runners: runners, AtOnce: new(forecast.WeightLoads).MaxConcurrent(len(runners)), Underway: map[string]time.Duration{}}
		given := map[string]bool{}
		for step := 0; step < 200; step++ {
			if step == 5 {
				in.Desired = 4
			}
			for _, r := range ordered(in) {
				order := fmt.Sprint(r.ID, in.Desired)
				if given[order] {
					t.Fatalf("ordered %s twice", order)
				}
				given[order] = true
				in.Underway[r.ID] = 0
				runnerOf(runners, r.ID).Weights["m"] = in.Desired
			}
			if step%2 == 1 {
				in.Underway = map[string]time.Duration{}
			}
		}
		for _, r := range runners {
			if r.Weights["m"] != in.Desired {
				t.Errorf("%s ended with %d", r.ID, r.Weights["m"])
			}
		}
	})
}

func runnerOf(runners []fleet.Target, id string) *fleet.Target {
	for i := range runners {
		if runners[i].ID == id {
			return &runners[i]
		}
	}
	return nil
}

// Weights are named every three seconds, and each order waits for runs for as long as it
// takes. Passed over for idler ones at each naming, a quarter of the runners had their
// first order when nothing could be sent to them any more. Whatever the sizes, where all
// orders fit into the time that half of the runners may be away, none comes to its bound.
func TestNamesInSeriesPassNobodyOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 60).Draw(t, "runners")
		each := time.Duration(rapid.IntRange(10, 60).Draw(t, "order in tenths of a second")) * 100 * time.Millisecond
		names := time.Duration(rapid.IntRange(10, 60).Draw(t, "pause between names in tenths of a second")) * 100 * time.Millisecond
		// Half of the runners at a time, in rounds that end with the one that was begun.
		bound := 4*each + time.Duration(rapid.IntRange(0, 100).Draw(t, "more in tenths of a second"))*100*time.Millisecond
		playNames(t, n, each, names, bound, rapid.SliceOfN(rapid.IntRange(0, 3), n, n).Draw(t, "long runs"))
	})
}

// playNames plays a minute of names in series and fails where a runner comes to its bound.
func playNames(t *rapid.T, n int, each, names, bound time.Duration, long []int) {
	const step = 100 * time.Millisecond
	runners := runnersAt(make([]int64, n)...)
	named := []time.Duration{0}
	ends := map[string]time.Duration{}
	in := Input{Model: "m", Runners: runners, Long: map[string]int{}, AtOnce: new(forecast.WeightLoads).MaxConcurrent(n), Bound: bound, Each: each}
	for i, l := range long {
		in.Long[runners[i].ID] = l
	}
	for now := time.Duration(0); now < time.Minute; now += step {
		if now-named[len(named)-1] >= names {
			named = append(named, now)
		}
		in.Desired = int64(len(named))
		in.Behind, in.Underway = map[string]time.Duration{}, map[string]time.Duration{}
		for _, r := range runners {
			if end, ok := ends[r.ID]; ok && now >= end {
				delete(ends, r.ID)
			} else if ok {
				in.Underway[r.ID] = each - (end - now)
			}
			if at := r.Weights["m"]; at < in.Desired {
				in.Behind[r.ID] = now - named[at]
			}
			if _, ok := ends[r.ID]; !ok && in.Behind[r.ID] > bound {
				t.Fatalf("%s has weights %d at %v, replaced for %v, and no order", r.ID, r.Weights["m"], now, in.Behind[r.ID])
			}
		}
		for _, r := range ordered(in) {
			ends[r.ID] = now + each
			runnerOf(runners, r.ID).Weights["m"] = in.Desired
		}
	}
}
