package load

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"acaciakeel/cache"
	"acaciakeel/ledger"
	"acaciakeel/placement"
	"acaciakeel/prefix"
	"acaciakeel/resource"
)

// timeOf returns the mean microseconds of one call of do.
func timeOf(times int, do func(i int)) float64 {
	began := time.Now()
	for i := range times {
		do(i)
	}
	return float64(time.Since(began).Microseconds()) / float64(times)
}

// memoryOf returns the bytes that the value made by build keeps.
func memoryOf(build func() any) float64 {
	var before, after runtime.MemStats
	// Twice, since what finalizers free goes with the second.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// MicroSlopes measures the pure parts at several sizes, in this process.
func MicroSlopes() []*Slope {
	return []*Slope{viewMemory(), viewLookup(), orderTime(), chainTime(), snapshotMemory(), snapshotChange(), deltaBytes(), ledgerMemory()}
}

func filledView(blocks int) *cache.View {
	v := cache.NewView()
	for n := uint64(1); n <= uint64(blocks); n++ {
		parent := n - 1
		if n%800 == 1 {
			parent = 0
		}
		v.Apply(cache.Event{BootID: "a", Seq: n, Parent: parent, Stored: []uint64{n}})
	}
	return v
}

func viewMemory() *Slope {
	s := &Slope{Name: "agent_view_memory", Size: "cached blocks", Cost: "bytes"}
	for _, n := range []int{5000, 10000, 20000, 40000} {
		s.Add(float64(n), memoryOf(func() any { return filledView(n) }))
	}
	return s
}

func viewLookup() *Slope {
	s := &Slope{Name: "agent_question_lookup", Size: "prompt blocks cached", Cost: "microseconds"}
	v := filledView(40000)
	for _, n := range []uint64{100, 200, 400, 800} {
		s.Add(float64(n), timeOf(5000, func(int) { v.LongestPrefix(0, []uint64{n / 2, n}) }))
	}
	return s
}

func orderTime() *Slope {
	s := &Slope{Name: "entry_order", Size: "runners of a model and region", Cost: "microseconds"}
	for _, n := range []int{60, 350, 1000, 2100} {
		runners := make([]placement.Runner, n)
		indices := make([]int32, n)
		for i := range runners {
			runners[i] = placement.NewRunner(fmt.Sprintf("runner-%d", i), "d", "r", false)
			indices[i] = int32(i)
		}
		var o placement.Ranker
		s.Add(float64(n), timeOf(5000, func(i int) {
			levels := []prefix.Boundary{{Hash: uint64(i)}, {Hash: uint64(i) + 7}}
			o.Rank(runners, indices, levels, []int{3}, maxOrder)
		}))
	}
	return s
}

// maxOrder is how many runners the entry has ranked for one request.
const maxOrder = 12

func chainTime() *Slope {
	s := &Slope{Name: "entry_chain", Size: "prompt tokens", Cost: "microseconds"}
	for _, n := range []int{1000, 4000, 16000, 32000} {
		text := make([]byte, n*prefix.BytesPerToken)
		p := prefix.Prompt{Text: text, Ends: []int{len(text) / 2, len(text)}}
		s.Add(float64(n), timeOf(2000, func(int) { prefix.NewChain("salt", p, 16, 4000) }))
	}
	return s
}

// fleetResources returns resources like those of a deployment: mostly targets.
func fleetResources(n int) []resource.Resource {
	all := []resource.Resource{{Kind: resource.KindModel, Name: "m", Version: 1, Spec: json.RawMessage(`{"weights_version":"v1"}`)}}
	for i := range n - 1 {
		spec := fmt.Sprintf(`{"model":"m","vm":"vm-runner-%d","agent_url":"http://10.0.0.1:4200","data_centre":"dc-1","region":"region-1"}`, i)
		all = append(all, resource.Resource{
			Kind: resource.KindTarget, Name: fmt.Sprintf("runner-%d", i), Version: int64(i + 2),
			ChangeID: "0192f0c4-0000-7000-8000-000000000000", Author: "operator", Changed: time.Unix(1, 0).UTC(), Spec: json.RawMessage(spec),
		})
	}
	return all
}

func snapshotMemory() *Slope {
	s := &Slope{Name: "snapshot_memory", Size: "resources", Cost: "bytes"}
	for _, n := range []int{300, 1000, 3000} {
		s.Add(float64(n), memoryOf(func() any {
			snapshot, _ := resource.Build(int64(n), fleetResources(n))
			return snapshot
		}))
	}
	return s
}

func snapshotChange() *Slope {
	s := &Slope{Name: "snapshot_change", Size: "resources", Cost: "microseconds"}
	for _, n := range []int{300, 1000, 3000} {
		snapshot, _ := resource.Build(int64(n+1), fleetResources(n))
		change := fleetResources(2)[1]
		s.Add(float64(n), timeOf(20, func(i int) {
			change.Version = int64(n + 2 + i)
			_, _ = snapshot.With(resource.Delta{Base: snapshot.Revision, Revision: change.Version, Changed: []resource.Resource{change}})
		}))
	}
	return s
}

func deltaBytes() *Slope {
	s := &Slope{Name: "delta_bytes", Size: "changed resources", Cost: "bytes"}
	snapshot, _ := resource.Build(101, fleetResources(100))
	for _, n := range []int{1, 10, 50, 100} {
		data, _ := json.Marshal(resource.Delta{Full: true, Changed: snapshot.Since(0).Changed[:n]})
		s.Add(float64(n), float64(len(data)))
	}
	return s
}

func ledgerMemory() *Slope {
	s := &Slope{Name: "ledger_memory", Size: "calls kept", Cost: "bytes"}
	for _, n := range []int{1000, 5000, 20000} {
		s.Add(float64(n), memoryOf(func() any {
			l := ledger.New(ledger.Limits{MaxRecords: n + 1, MaxAnswerBytes: 1 << 30, Retention: time.Hour, TombstoneRetention: time.Hour})
			for i := range n {
				key := ledger.Key{Customer: "customer", Service: "cart", IdempotencyKey: fmt.Sprintf("key-%026d", i)}
				l.Begin(key, ledger.Attempt{RequestID: "r"}, 1, time.Unix(1, 0))
				l.Finish(key, ledger.Answer{Status: 200, Body: make([]byte, 200)}, time.Unix(1, 0))
			}
			return l
		}))
	}
	return s
}
