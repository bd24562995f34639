package fleet

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"acaciakeel/forecast"
	"acaciakeel/placement"
	"acaciakeel/prefix"
)

var start = time.Unix(1000, 0)

func target(id string, weights int64) Target {
	return Target{ID: id, Service: "lm", Address: id + ":1", Zone: "z", Slots: 8, Weights: map[string]int64{"m": weights}}
}

func query() Query {
	return Query{
		Service:      "lm",
		Model:        "m",
		MaxStaleness: 6 * time.Second,
		CostWeights:  placement.CostWeights{Miss: 2, Wait: 1},
		Chain: func(weights int64) prefix.Chain {
			hash := uint64(weights) * 1000
			shared := prefix.Boundary{Hash: hash + 1, Tokens: 6000}
			own := prefix.Boundary{Hash: hash + 2, Tokens: 9000}
			return prefix.Chain{Tokens: 9000, Levels: []prefix.Boundary{shared}, Boundaries: []prefix.Boundary{shared, own}}
		},
	}
}

// Guards against staleness counted from the newest of several desired versions: targets
// without the first one got requests after its bound.
func TestStalenessCountsFromFirstMissedVersion(t *testing.T) {
	f := New("z")
	f.Put(target("old", 1))
	f.RecordDesired("m", 2, start, false)
	f.RecordDesired("m", 3, start.Add(5*time.Second), false)
	if _, ok := f.Choose(query(), start.Add(5900*time.Millisecond)); !ok {
		t.Error("a target within the staleness bound was not chosen")
	}
	if c, ok := f.Choose(query(), start.Add(6100*time.Millisecond)); ok {
		t.Errorf("chose %s, whose weights are stale beyond the bound", c.Target.ID)
	}
}

// Guards against a late list entry that lowers a target's version.
func TestWeightsNeverDecrease(t *testing.T) {
	f := New("z")
	f.RecordDesired("m", 3, start, false)
	f.Put(target("a", 2))
	f.RecordWeights(Instance{ID: "a"}, "m", 3, start)
	f.Put(target("a", 2))
	c, ok := f.Choose(query(), start)
	if !ok || c.WeightsVersion != 3 {
		t.Errorf("chose %+v with weights %d, want 3", c.Target, c.WeightsVersion)
	}
	if f.RecordDesired("m", 2, start, false) {
		t.Error("an older version was recorded as new")
	}
}

func withTargets(f *Fleet, runners ...Target) *Fleet {
	for _, r := range runners {
		f.Put(r)
	}
	return f
}

// Guards against requests to unresponsive targets, which stay listed for seconds and
// where dials hang. If all are unresponsive, the fault is here.
func TestUnresponsiveTargetsGetNoRequests(t *testing.T) {
	f := withTargets(New("z"), target("a", 1), target("b", 1))
	silence := func(id string, silent bool) { f.finishRead(&f.states[id].cache, CacheEvents{}, !silent, start) }
	silence("a", true)
	for range 4 {
		if c, _ := f.Choose(query(), start); c.Target.ID != "b" {
			t.Fatalf("chose %s", c.Target.ID)
		}
	}
	silence("b", true)
	if _, ok := f.Choose(query(), start); !ok {
		t.Error("no target was chosen though all are unresponsive")
	}
	silence("a", false)
	if c, _ := f.Choose(query(), start); c.Target.ID != "a" {
		t.Errorf("chose %s after a answered again", c.Target.ID)
	}
}

// Guards against another prefill of a prompt that another process had prefilled: its
// update names the target to fetch from.
func TestPromptIsFetchedFromItsHolder(t *testing.T) {
	f := withTargets(New("z"), target("a", 1), target("b", 1))
	chain := query().Chain(1)
	shared := Part{Hash: chain.Boundaries[0].Hash, Tokens: 6000}
	f.states["a"].capacity = 100000
	f.MergeTargetUpdates([]TargetUpdate{{Target: Instance{ID: "a"}, Parts: []Part{shared}}}, start)
	f.MergeOccupancy("other", []Occupancy{{Target: Instance{ID: "a"}, Inflight: 1, PrefillTokens: 900000}}, start)
	c, _ := f.Choose(query(), start)
	if c.Target.ID != "b" || c.Source != "a:1" {
		t.Errorf("chose %s with source %q, want the idle b that fetches from a", c.Target.ID, c.Source)
	}
}

// Guards against prompts that all wait two seconds at the target with their shared 6,000
// tokens, beside one that could fetch these in a hundredth of the prefill time.
func TestFetchIsWeighedAgainstWait(t *testing.T) {
	for _, test := range []struct {
		backlog int
		want    string
	}{{2000, "a"}, {100000, "b"}} {
		f := withTargets(New("z"), target("a", 1), target("b", 1))
		f.states["a"].capacity = 100000
		f.MergeTargetUpdates([]TargetUpdate{{Target: Instance{ID: "a"}, Parts: []Part{{Hash: query().Chain(1).Boundaries[0].Hash, Tokens: 6000}}}}, start)
		f.MergeOccupancy("other", []Occupancy{{Target: Instance{ID: "a"}, Inflight: 1, PrefillTokens: test.backlog}}, start)
		c, _ := f.Choose(query(), start)
		if c.Target.ID != test.want {
			t.Errorf("with a backlog of %d tokens the prompt went to %s (fetches %d from %q)", test.backlog, c.Target.ID, c.FetchTokens, c.Source)
		}
	}
}

// Guards against fetches from a store with a full link, which take longer than the
// prefill.
func TestSlowSourceIsNotUsed(t *testing.T) {
	f := withTargets(New("z"), target("a", 1))
	f.SetStores([]KVCacheStore{{Address: "s:1", Capacity: 1e6, Zone: "z"}})
	chain := query().Chain(1)
	f.stores["s:1"].cached.Use(chain.Boundaries[0].Hash, 6000, 0)
	if c, _ := f.Choose(query(), start); c.FetchTokens != 6000 {
		t.Errorf("%d tokens of 6000 are fetched before anything is known", c.FetchTokens)
	}
	now := start
	for i := range 200 {
		tokens := 200 + 100*(i%40)
		read := f.Begin(Instance{ID: "a"}, RequestLoad{UncachedTokens: tokens, PromptTokens: tokens}, now)
		moved := f.Begin(Instance{ID: "a"}, RequestLoad{UncachedTokens: 300, PromptTokens: 6300, Transfer: forecast.KVTransfer{FromStore: 6000}}, now)
		read.FirstEvent(now.Add(50*time.Millisecond + time.Duration(tokens)*20*time.Microsecond))
		moved.FirstEvent(now.Add(2 * time.Second))
		read.End()
		moved.End()
		now = now.Add(20 * time.Millisecond)
	}
	if c, _ := f.Choose(query(), now); c.FetchTokens != 0 {
		t.Errorf("%d tokens are fetched though that was observed to take two seconds", c.FetchTokens)
	}
}

// Guards against a choice that ignores the store's data centre: two transfers in three
// would cross data centres, at twice the time of a link that all targets share.
func TestFetchStaysInStoreDataCentre(t *testing.T) {
	near, far := target("near", 1), target("far", 1)
	near.Zone, far.Zone = "store", "away"
	f := withTargets(New("away"), near, far)
	f.SetStores([]KVCacheStore{{Address: "s:1", Capacity: 1e6, Zone: "store", LinkMbps: 100000}})
	for i := range 20 {
		q := query()
		q.TokenBytes = 200000
		q.Chain = func(int64) prefix.Chain {
			shared := prefix.Boundary{Hash: uint64(i)<<32 + 1, Tokens: 6000}
			return prefix.Chain{Tokens: 9000, Levels: []prefix.Boundary{shared}, Boundaries: []prefix.Boundary{shared}}
		}
		f.stores["s:1"].cached.Use(uint64(i)<<32+1, 6000, 0)
		if c, _ := f.Choose(q, start); c.Target.ID != "near" {
			t.Errorf("prompt %d: chose the target %s", i, c.Target.ID)
		}
	}
}

// Guards against parts that are sent to a store again before it had time to report them.
func TestPromptIsSavedOnce(t *testing.T) {
	f := withTargets(New("z"), target("a", 1))
	f.SetStores([]KVCacheStore{{Address: "s:1", Capacity: 1e6}})
	first, _ := f.Choose(query(), start)
	second, _ := f.Choose(query(), start.Add(time.Second))
	third, _ := f.Choose(query(), start.Add(saveRetryAfter+time.Second))
	if first.SaveTo != "s:1" || second.SaveTo != "" || third.SaveTo != "s:1" {
		t.Errorf("saved to %q, %q, %q", first.SaveTo, second.SaveTo, third.SaveTo)
	}
}

// Guards against a new prompt that two processes send to the store: the link's and the
// store's capacity would go to what it has.
func TestPromptIsSavedByOneOfTwo(t *testing.T) {
	process := func() *Fleet {
		f := withTargets(New("z"), target("a", 1))
		f.SetStores([]KVCacheStore{{Address: "s:1", Capacity: 1e6}})
		return f
	}
	one, two := process(), process()
	first, _ := one.Choose(query(), start)
	two.MergeSaves(one.Saves(), start)
	second, _ := two.Choose(query(), start.Add(time.Second))
	third, _ := two.Choose(query(), start.Add(saveRetryAfter+time.Second))
	if first.SaveTo != "s:1" || second.SaveTo != "" || third.SaveTo != "s:1" {
		t.Errorf("saved to %q, %q, %q", first.SaveTo, second.SaveTo, third.SaveTo)
	}
	if again := one.Saves(); len(again) != 0 {
		t.Errorf("returned twice: %v", again)
	}
}

// recordRuns records twenty runs of answers of at most output tokens, each of which holds
// its slot for held after a prefill of read.
func recordRuns(f *Fleet, id string, output int, read, held time.Duration) {
	now := start
	for range 20 {
		request := f.Begin(Instance{ID: id}, RequestLoad{UncachedTokens: 9000, PromptTokens: 9000, MaxOutputTokens: output}, now)
		request.FirstEvent(now.Add(read))
		request.Complete(now.Add(read + held))
		request.End()
		now = now.Add(10 * time.Millisecond)
	}
}

// Guards against long runs on all targets, where they delay loads of new weights.
func TestLongRunsArePacked(t *testing.T) {
	f := withTargets(New("z"), target("a", 1), target("b", 1), target("c", 1))
	recordRuns(f, "a", 800, 50*time.Millisecond, 3*time.Second)
	q := query()
	q.InputTokens, q.MaxOutputTokens = 300, 800
	used := map[string]int{}
	for range 8 {
		c, _ := f.Choose(q, start)
		f.Begin(c.Target.Instance(), RequestLoad{Long: c.Long}, start)
		used[c.Target.ID]++
	}
	if len(used) != 2 {
		t.Errorf("8 long runs went to %v, want two targets of 8 slots", used)
	}
}

// Guards against packed runs with long prompts (17,000 tokens for 480): one target got
// thirty times the prefill it can do, beside idle ones, and 155 of 254 runs were lost.
func TestRunsWithLongPromptsAreNotPacked(t *testing.T) {
	f := withTargets(New("z"), target("a", 1), target("b", 1), target("c", 1))
	recordRuns(f, "a", 800, 500*time.Millisecond, 3*time.Second)
	q := query()
	q.InputTokens, q.MaxOutputTokens = 9000, 800
	used := map[string]int{}
	for i := range 9 {
		q.Chain = distinctChain(i)
		c, _ := f.Choose(q, start)
		f.Begin(c.Target.Instance(), RequestLoad{UncachedTokens: 9000, PromptTokens: 9000, Long: c.Long}, start)
		used[c.Target.ID]++
	}
	if len(used) != 3 || used["a"] > 4 || used["b"] > 4 || used["c"] > 4 {
		t.Errorf("9 runs with long prompts went to %v, want about three on each target", used)
	}
}

// Guards against a fixed length of long runs: answers of a second delay no load order
// where a load takes two seconds, but do where it takes half of one.
func TestLongRunsOutlastAWeightLoad(t *testing.T) {
	for _, test := range []struct {
		load time.Duration
		want bool
	}{{2 * time.Second, false}, {500 * time.Millisecond, true}} {
		f := withTargets(New("z"), target("a", 1))
		recordRuns(f, "a", 800, 50*time.Millisecond, time.Second)
		f.RecordWeightLoad("lm", test.load)
		q := query()
		q.InputTokens, q.MaxOutputTokens = 300, 800
		if c, _ := f.Choose(q, start); c.Long != test.want {
			t.Errorf("a run of a second is long: %v, with weight loads of %v", c.Long, test.load)
		}
	}
}

// distinctChain returns prompts without a part in common with those of other i.
func distinctChain(i int) func(int64) prefix.Chain {
	return func(int64) prefix.Chain {
		shared := prefix.Boundary{Hash: uint64(i+1) << 32, Tokens: 6000}
		own := prefix.Boundary{Hash: uint64(i+1)<<32 + 1, Tokens: 9000}
		return prefix.Chain{Tokens: 9000, Levels: []prefix.Boundary{shared}, Boundaries: []prefix.Boundary{shared, own}}
	}
}

// Guards against a target that gets the state of an ended one whose address it has.
func TestReusedAddressIsAnotherTarget(t *testing.T) {
	f := withTargets(New("z"), target("a", 1))
	f.Begin(Instance{ID: "a"}, RequestLoad{Chain: query().Chain(1), Capacity: 1e6}, start)
	f.Remove("a")
	next := target("a2", 1)
	next.Address = "a:1"
	f.Put(next)
	c, _ := f.Choose(query(), start)
	if c.Target.ID != "a2" || c.CachedTokens != 0 {
		t.Errorf("chose %s with %d tokens cached", c.Target.ID, c.CachedTokens)
	}
}

// Guards against a long prompt beside many long runs, which stand still while it is
// prefilled.
func TestLongPromptsAvoidLongRuns(t *testing.T) {
	f := withTargets(New("z"), target("a", 1), target("b", 1))
	first, _ := f.Choose(query(), start)
	other := map[string]string{"a": "b", "b": "a"}[first.Target.ID]
	f.MergeOccupancy("peer", []Occupancy{{Target: first.Target.Instance(), Inflight: 7, Long: 60}}, start)
	if c, _ := f.Choose(query(), start); c.Target.ID != other {
		t.Errorf("chose %s, which has 60 long runs", c.Target.ID)
	}
}

// Guards against reads of each cache by each process, whose cost grows with the product,
// and by none beyond 40 processes, where shared parts were prefilled five times as often.
func TestManyProcessesShareCacheReads(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ entries, runners int }{{20, 38}, {40, 80}, {41, 80}, {103, 160}, {370, 2100}} {
		names := memberNames(size.entries)
		readers, most := map[string]int{}, 0
		var mu sync.Mutex
		var done sync.WaitGroup
		// The processes decide by themselves, so they are computed at the same time.
		for part := range slices.Chunk(names, max(1, size.entries/8)) {
			done.Add(1)
			go func() {
				defer done.Done()
				f := New("z")
				for i := range size.runners {
					f.Put(target(fmt.Sprintf("r%d", i), 1))
				}
				for _, self := range part {
					f.SetMembers(self, names)
					due := f.dueReads()
					mu.Lock()
					for _, d := range due {
						readers[d.request.Address]++
						f.abandonRead(d.cache)
					}
					most = max(most, len(due))
					mu.Unlock()
				}
			}()
		}
		done.Wait()
		for address, n := range readers {
			if n != readersPerCache {
				t.Errorf("%d processes: %d read %s", size.entries, n, address)
			}
		}
		if even := readersPerCache * size.runners / size.entries; len(readers) != size.runners || most > 3*even+6 {
			t.Errorf("%d processes: %d of %d caches are read, %d by one process where an even share is %d", size.entries, len(readers), size.runners, most, even)
		}
	}
}

// Guards against a target that stays unresponsive when others are to read its cache and
// end before their first report.
func TestUnresponsiveEndsWithReading(t *testing.T) {
	f := withTargets(New("z"), target("a", 1))
	f.dueReads()
	f.finishRead(&f.states["a"].cache, CacheEvents{}, false, start)
	if !f.Unresponsive("a") {
		t.Fatal("a target without an answer is not unresponsive")
	}
	f.SetMembers("stranger", memberNames(41))
	if n := len(f.dueReads()); n != 0 {
		t.Errorf("%d reads by a process that is not assigned to the cache", n)
	}
	if f.Unresponsive("a") {
		t.Error("a target stays unresponsive though this process no longer reads its events")
	}
}

// Guards against saves and fetches of 200 tokens, prefilled in 2 ms: they would evict
// parts of 50 ms and delay those on the stores' links.
func TestShortPrefixesAreNotTransferred(t *testing.T) {
	f := withTargets(New("z"), target("a", 1), target("b", 1))
	f.SetStores([]KVCacheStore{{Address: "s:1", Capacity: 1e6}})
	q := query()
	q.Chain = func(int64) prefix.Chain {
		shared := prefix.Boundary{Hash: 1, Tokens: 200}
		return prefix.Chain{Tokens: 900, Levels: []prefix.Boundary{shared}, Boundaries: []prefix.Boundary{shared, {Hash: 2, Tokens: 900}}}
	}
	if c, _ := f.Choose(q, start); c.SaveTo != "" || c.Source != "" {
		t.Errorf("200 shared tokens are saved to %q and fetched from %q", c.SaveTo, c.Source)
	}
}

// Guards against weights beyond the bound at a process that starts during a rollout: the
// store has the newest version, but not since when it and earlier ones were desired.
func TestStartedProcessTreatsOlderWeightsAsStale(t *testing.T) {
	const within = 10 * time.Second
	old, fresh := New("z"), New("z")
	old.RecordDesired("m", 1, start.Add(-time.Hour), true)
	old.RecordDesired("m", 2, start.Add(-12*time.Second), false)
	old.RecordDesired("m", 3, start.Add(-7*time.Second), false)
	old.RecordDesired("m", 5, start.Add(-2*time.Second), false)
	fresh.RecordDesired("m", 5, start.Add(-within), true)
	behind := func(version int64) time.Duration { return fresh.StaleFor("m", version, start).Round(time.Second) }
	if behind(4) < within || len(fresh.DesiredHistory(within, start)) != 0 {
		t.Errorf("stale by %v before any update, and shares %v", behind(4), fresh.DesiredHistory(within, start))
	}
	fresh.MergeDesiredHistory(old.DesiredHistory(within, start), start)
	for version, want := range map[int64]time.Duration{1: 12 * time.Second, 2: 7 * time.Second, 3: 2 * time.Second, 4: 2 * time.Second, 5: 0} {
		if got := behind(version); got != want {
			t.Errorf("weights %d are stale by %v, want %v", version, got, want)
		}
	}
	late := old.DesiredHistory(within, start)
	if added := fresh.MergeDesiredHistory(late, start.Add(5*time.Second)); len(added) != 0 || behind(4) != 2*time.Second {
		t.Errorf("a late update changed %v", added)
	}
}
