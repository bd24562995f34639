package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"acaciakeel/prefix"
)

func testRunners(n int) []Runner {
	out := make([]Runner, n)
	for i := range out {
		out[i] = NewRunner(fmt.Sprintf("runner-%d", i), fmt.Sprintf("dc-%d", i%3), "region", false)
	}
	return out
}

func allIndices(n int) []int32 {
	out := make([]int32, n)
	for i := range out {
		out[i] = int32(i)
	}
	return out
}

func boundaries(hashes ...uint64) []prefix.Boundary {
	out := make([]prefix.Boundary, len(hashes))
	for i, h := range hashes {
		out[i] = prefix.Boundary{Hash: h, Tokens: 2000 * (i + 1)}
	}
	return out
}

// Prompts that share the outer level must use one small subset of runners, in the same
// order for every ranker; otherwise cached prefixes spread over all runners.
func TestRankNests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 60).Draw(t, "runners")
		width := rapid.IntRange(1, 4).Draw(t, "width")
		outer := rapid.Uint64().Draw(t, "outer")
		a := rapid.Uint64().Draw(t, "inner a")
		b := rapid.Uint64().Draw(t, "inner b")
		var one, other Ranker
		rs := testRunners(n)
		first := one.Rank(rs, allIndices(n), boundaries(outer, a), []int{width}, n)
		second := other.Rank(rs, allIndices(n), boundaries(outer, b), []int{width}, n)
		if !sameSet(first[:width], second[:width]) {
			t.Fatalf("subsets differ: %v and %v", first[:width], second[:width])
		}
		if fmt.Sprint(first[width:]) != fmt.Sprint(second[width:]) {
			t.Fatalf("spill orders differ: %v and %v", first[width:], second[width:])
		}
		if len(first) != n || !sameSet(first, allIndices(n)) {
			t.Fatalf("not a permutation: %v", first)
		}
	})
}

// If a runner that leaves moved prefixes other than its own, the caches of the
// remaining runners would be lost.
func TestRankIsStableWhenRunnerLeaves(t *testing.T) {
	rs := testRunners(18)
	var o Ranker
	for hash := uint64(1); hash <= 200; hash++ {
		before := o.Rank(rs, allIndices(18), boundaries(hash), nil, 18)
		gone := before[5]
		var staying []int32
		for _, i := range allIndices(18) {
			if i != gone {
				staying = append(staying, i)
			}
		}
		after := o.Rank(rs, staying, boundaries(hash), nil, 18)
		want := append(append([]int32{}, before[:5]...), before[6:]...)
		if fmt.Sprint(after) != fmt.Sprint(want) {
			t.Fatalf("order changed for other runners than the one that left: %v, want %v", after, want)
		}
	}
}

func sameSet(a, b []int32) bool {
	seen := map[int32]int{}
	for _, i := range a {
		seen[i]++
	}
	for _, i := range b {
		seen[i]--
	}
	for _, n := range seen {
		if n != 0 {
			return false
		}
	}
	return true
}

func TestPick(t *testing.T) {
	weights := CostWeights{Miss: 3, Wait: 1}
	ready := func(cached int, wait float64) Estimate {
		return Estimate{Ready: true, CachedTokens: cached, WaitSeconds: wait, PrefillRate: 40000}
	}
	for _, test := range []struct {
		name    string
		answers []Estimate
		want    int
	}{
		{"no runner is ready", []Estimate{{}, {}}, -1},
		{"the prefix wins over an idle runner", []Estimate{ready(0, 0), ready(8000, 0.1)}, 1},
		{"a long queue loses to recomputing", []Estimate{ready(8000, 2), ready(0, 0)}, 1},
		{"a difference within noise keeps the first in order", []Estimate{ready(8000, 0.0015), ready(8000, 0)}, 0},
		{"a penalized runner comes later", []Estimate{{Ready: true, CachedTokens: 8000, PrefillRate: 40000, PenaltySeconds: 0.5}, ready(8000, 0.1)}, 1},
		{"a full cache loses to an idle one", []Estimate{
			{Ready: true, PrefillRate: 40000, LifetimeSeconds: 1}, ready(0, 0.01)}, 1},
		{"the other data centre is used if it is faster", []Estimate{
			ready(8000, 0.05), {Ready: true, CachedTokens: 8000, PrefillRate: 40000, NetworkSeconds: 0.001}}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Pick(test.answers, 8000, weights); got != test.want {
				t.Errorf("picked %d, want %d", got, test.want)
			}
		})
	}
}

func TestFilters(t *testing.T) {
	rs := testRunners(4)
	rs[1].Draining = true
	rs[2].Region = "elsewhere"
	got := Apply(rs, nil, NotDraining, InRegion("region"), Except([]string{"runner-3"}))
	if fmt.Sprint(got) != "[0]" {
		t.Errorf("passed %v, want [0]", got)
	}
}

// A new runner that is assumed to be slow would get no work, and its rate would never
// be measured.
func TestFillPrefillRates(t *testing.T) {
	answers := []Estimate{{PrefillRate: 30000}, {}, {PrefillRate: 50000}}
	FillPrefillRates(answers)
	if answers[1].PrefillRate != 40000 {
		t.Errorf("rate %v, want 40000", answers[1].PrefillRate)
	}
	none := []Estimate{{}}
	FillPrefillRates(none)
	if none[0].PrefillRate != defaultPrefillRate {
		t.Errorf("rate %v, want %v", none[0].PrefillRate, defaultPrefillRate)
	}
}

func TestRankTargetsIgnoresInputOrder(t *testing.T) {
	a := RankTargets([]string{"x", "y", "z"}, "key")
	b := RankTargets([]string{"z", "y", "x"}, "key")
	if fmt.Sprint(a) != fmt.Sprint(b) {
		t.Errorf("%v and %v differ", a, b)
	}
}

// BenchmarkRank ranks 2,100 runners, the number expected in two years.
func BenchmarkRank(b *testing.B) {
	const n = 2100
	rs, indices := testRunners(n), allIndices(n)
	var o Ranker
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		o.Rank(rs, indices, boundaries(uint64(i), uint64(i)+1), []int{3}, 12)
	}
}
