package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciakeel/fleet"
	"acaciakeel/forecast"
)

func runnersAt(versions ...int64) []fleet.Runner {
	out := make([]fleet.Runner, len(versions))
	for i, v := range versions {
		out[i] = fleet.Runner{ID: fmt.Sprintf("r%d", i), Weights: map[string]int64{"m": v}}
	}
	return out
}

// ordered returns the runners that get an order now.
func ordered(in Input) []fleet.Runner {
	var out []fleet.Runner
	for _, t := range Turns(in) {
		if t.Wait == None {
			out = append(out, t.Runner)
		}
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
		{"those that leave are left alone", Input{Desired: 2, Runners: []fleet.Runner{{ID: "r0", Draining: true}}, AtOnce: 1}, "[]"},
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
		in := Input{Model: "m", Desired: 3, Runners: runners, AtOnce: new(forecast.Loads).AtOnce(len(runners)), Underway: map[string]time.Duration{}}
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

func runnerOf(runners []fleet.Runner, id string) *fleet.Runner {
	for i := range runners {
		if runners[i].ID == id {
			return &runners[i]
		}
	}
	return nil
}
