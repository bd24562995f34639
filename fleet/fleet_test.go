package fleet

import (
	"fmt"
	"testing"
	"time"

	"acaciakeel/forecast"
	"acaciakeel/placement"
	"acaciakeel/prefix"
)

var start = time.Unix(1000, 0)

func runner(id string, weights int64) Target {
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

// Weights 2 are named, and 3 five seconds later, before a runner has got rid of
// version 1. Each naming has its own bound: eight seconds after the first,
// nothing may begin on version 1, however fresh the second is. Users saw
// answers of weights that had been replaced long ago.
func TestOldWeightsCountFromTheFirstNamingMissed(t *testing.T) {
	f := New("z")
	f.Put(runner("old", 1))
	f.RecordDesired("m", 2, start, false)
	f.RecordDesired("m", 3, start.Add(5*time.Second), false)
	if _, ok := f.Choose(query(), start.Add(5900*time.Millisecond)); !ok {
		t.Error("a runner within the bound was not chosen")
	}
	if c, ok := f.Choose(query(), start.Add(6100*time.Millisecond)); ok {
		t.Errorf("chose %s, whose weights have been replaced for over the bound", c.Target.ID)
	}
}

// Versions never go back, whatever a late listing says of a runner.
func TestWeightsNeverGoBack(t *testing.T) {
	f := New("z")
	f.RecordDesired("m", 3, start, false)
	f.Put(runner("a", 2))
	f.RecordWeights(Instance{ID: "a"}, "m", 3, start)
	f.Put(runner("a", 2))
	c, ok := f.Choose(query(), start)
	if !ok || c.WeightsVersion != 3 {
		t.Errorf("chose %+v with weights %d, want 3", c.Target, c.WeightsVersion)
	}
	if f.RecordDesired("m", 2, start, false) {
		t.Error("an older version was taken for a new naming")
	}
}

func named(f *Fleet, runners ...Target) *Fleet {
	for _, r := range runners {
		f.Put(r)
	}
	return f
}

// A quarter of the runners falls silent. Their entries stay listed for seconds;
// users waited for dials that hang. No work goes to a runner that answers no
// reading of its events, but where all are silent the cause is here.
func TestSilentRunnersGetNothing(t *testing.T) {
	f := named(New("z"), runner("a", 1), runner("b", 1))
	silence := func(id string, silent bool) { f.took(&f.states[id].cache, CacheEvents{}, !silent, start) }
	silence("a", true)
	for range 4 {
		if c, _ := f.Choose(query(), start); c.Target.ID != "b" {
			t.Fatalf("chose %s", c.Target.ID)
		}
	}
	silence("b", true)
	if _, ok := f.Choose(query(), start); !ok {
		t.Error("with all silent nothing was chosen")
	}
	silence("a", false)
	if c, _ := f.Choose(query(), start); c.Target.ID != "a" {
		t.Errorf("chose %s after a came back", c.Target.ID)
	}
}

// What another entry had read is not read again: its word names the runner to
// fetch from, where the choice falls on one that lacks the prompt.
func TestPromptIsFetchedFromItsHolder(t *testing.T) {
	f := named(New("z"), runner("a", 1), runner("b", 1))
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

// Twelve prompts that share 6,000 tokens come together while their holder has
// two seconds of reading before it. All twelve waited there, next to a runner that
// moves the shared part to itself in a hundredth of the time that reading it takes:
// the first is worth its place in that runner's memory.
func TestAFetchIsWeighedAgainstTheWait(t *testing.T) {
	for _, test := range []struct {
		backlog int
		want    string
	}{{2000, "a"}, {100000, "b"}} {
		f := named(New("z"), runner("a", 1), runner("b", 1))
		f.states["a"].capacity = 100000
		f.MergeTargetUpdates([]TargetUpdate{{Target: Instance{ID: "a"}, Parts: []Part{{Hash: query().Chain(1).Boundaries[0].Hash, Tokens: 6000}}}}, start)
		f.MergeOccupancy("other", []Occupancy{{Target: Instance{ID: "a"}, Inflight: 1, PrefillTokens: test.backlog}}, start)
		c, _ := f.Choose(query(), start)
		if c.Target.ID != test.want {
			t.Errorf("with %d tokens before it the prompt went to %s (fetches %d from %q)", test.backlog, c.Target.ID, c.FetchTokens, c.Source)
		}
	}
}

// A store's link is full, and what is asked of it takes longer than reading. Its
// times are learnt, and runners fetch from there no more.
func TestASlowSourceIsNotUsed(t *testing.T) {
	f := named(New("z"), runner("a", 1))
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
		t.Errorf("%d tokens are fetched though two seconds of it were met", c.FetchTokens)
	}
}

// Two runners may take a prompt that neither holds but a store does. Were the
// zone of no account, every transfer from the store would cross zones for two
// prompts in three, at twice the time of a link that all runners share.
func TestFetchStaysInTheStoresZone(t *testing.T) {
	near, far := runner("near", 1), runner("far", 1)
	near.Zone, far.Zone = "store", "away"
	f := named(New("away"), near, far)
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
			t.Errorf("prompt %d: chose the runner %s", i, c.Target.ID)
		}
	}
}

// A prompt's shared parts are sent to the store once, by whoever reads them
// first, and not again until the store had time to tell of them.
func TestPromptIsSavedOnce(t *testing.T) {
	f := named(New("z"), runner("a", 1))
	f.SetStores([]KVCacheStore{{Address: "s:1", Capacity: 1e6}})
	first, _ := f.Choose(query(), start)
	second, _ := f.Choose(query(), start.Add(time.Second))
	third, _ := f.Choose(query(), start.Add(saveAgain+time.Second))
	if first.SaveTo != "s:1" || second.SaveTo != "" || third.SaveTo != "s:1" {
		t.Errorf("saved to %q, %q, %q", first.SaveTo, second.SaveTo, third.SaveTo)
	}
}

// Two entries get a prompt that is new within a moment. One send to the store is
// enough; were both to send it, the store's link and room would go to what it has.
func TestPromptIsSavedByOneOfTwo(t *testing.T) {
	entry := func() *Fleet {
		f := named(New("z"), runner("a", 1))
		f.SetStores([]KVCacheStore{{Address: "s:1", Capacity: 1e6}})
		return f
	}
	one, two := entry(), entry()
	first, _ := one.Choose(query(), start)
	two.MergeSaves(one.Saves(), start)
	second, _ := two.Choose(query(), start.Add(time.Second))
	third, _ := two.Choose(query(), start.Add(saveAgain+time.Second))
	if first.SaveTo != "s:1" || second.SaveTo != "" || third.SaveTo != "s:1" {
		t.Errorf("saved to %q, %q, %q", first.SaveTo, second.SaveTo, third.SaveTo)
	}
	if again := one.Saves(); len(again) != 0 {
		t.Errorf("told twice: %v", again)
	}
}

// learnRuns lets a fleet see runs of answers whose length is allowed to be output
// tokens, each of which holds its slot for held after prompts that take read.
func learnRuns(f *Fleet, id string, output int, read, held time.Duration) {
	now := start
	for range 20 {
		ticket := f.Begin(Instance{ID: id}, RequestLoad{UncachedTokens: 9000, PromptTokens: 9000, MaxOutputTokens: output}, now)
		ticket.FirstEvent(now.Add(read))
		ticket.Complete(now.Add(read + held))
		ticket.End()
		now = now.Add(10 * time.Millisecond)
	}
}

// Long runs fill one runner to its part before the next gets some, so that the
// others are free of them when weights change.
func TestLongRunsArePacked(t *testing.T) {
	f := named(New("z"), runner("a", 1), runner("b", 1), runner("c", 1))
	learnRuns(f, "a", 800, 50*time.Millisecond, 3*time.Second)
	q := query()
	q.InputTokens, q.MaxOutputTokens = 300, 800
	used := map[string]int{}
	for range 8 {
		c, _ := f.Choose(q, start)
		f.Begin(c.Target.Instance(), RequestLoad{Long: c.Long}, start)
		used[c.Target.ID]++
	}
	if len(used) != 2 {
		t.Errorf("8 long runs of 8 slots went to %v, want two runners", used)
	}
}

// The archive's captions may be 480 tokens long and have 17,000 tokens of prompt.
// Taken for long runs by the first alone, they were packed onto one runner, which
// read prompts for thirty times the time that it had, while eight runners idled:
// 155 of 254 were lost. A runner that reads half of its time is not to be packed.
func TestRunsWithLongPromptsAreNotPacked(t *testing.T) {
	f := named(New("z"), runner("a", 1), runner("b", 1), runner("c", 1))
	learnRuns(f, "a", 800, 500*time.Millisecond, 3*time.Second)
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
		t.Errorf("9 runs with long prompts went to %v, want about three on each runner", used)
	}
}

// Answers of a second hold up no order where a load of weights takes two, but
// they do where it takes half of one.
func TestLongIsWhatOutlastsALoad(t *testing.T) {
	for _, test := range []struct {
		load time.Duration
		want bool
	}{{2 * time.Second, false}, {500 * time.Millisecond, true}} {
		f := named(New("z"), runner("a", 1))
		learnRuns(f, "a", 800, 50*time.Millisecond, time.Second)
		f.RecordWeightLoad("lm", test.load)
		q := query()
		q.InputTokens, q.MaxOutputTokens = 300, 800
		if c, _ := f.Choose(q, start); c.Long != test.want {
			t.Errorf("a run of a second is long: %v, beside a load of %v", c.Long, test.load)
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

// A runner's place is taken by another with the same address: it is another
// target, of which nothing is known but its entry.
func TestReusedAddressIsAnotherTarget(t *testing.T) {
	f := named(New("z"), runner("a", 1))
	f.Begin(Instance{ID: "a"}, RequestLoad{Chain: query().Chain(1), Capacity: 1e6}, start)
	f.Remove("a")
	next := runner("a2", 1)
	next.Address = "a:1"
	f.Put(next)
	c, _ := f.Choose(query(), start)
	if c.Target.ID != "a2" || c.CachedTokens != 0 {
		t.Errorf("chose %s with %d tokens cached", c.Target.ID, c.CachedTokens)
	}
}

// A long prompt is read while all other runs of its runner stand still. It goes
// to a runner without many long runs, though another is first in the order.
func TestLongPromptsKeepAwayFromLongRuns(t *testing.T) {
	f := named(New("z"), runner("a", 1), runner("b", 1))
	first, _ := f.Choose(query(), start)
	other := map[string]string{"a": "b", "b": "a"}[first.Target.ID]
	f.MergeOccupancy("peer", []Occupancy{{Target: first.Target.Instance(), Inflight: 7, Long: 60}}, start)
	if c, _ := f.Choose(query(), start); c.Target.ID != other {
		t.Errorf("chose %s, where 60 long runs stand still", c.Target.ID)
	}
}

// Hundreds of entries before thousands of runners. Were each to read each runner,
// connections and memory would grow with the product; when none did beyond 40
// entries, nobody knew what was cached where, and every shared part was read again
// five times as often. Now two read each runner, so an entry reads as many as two
// each spread over all of them.
func TestManyEntriesShareTheReadings(t *testing.T) {
	for _, size := range []struct{ entries, runners int }{{20, 38}, {40, 80}, {41, 80}, {103, 160}, {370, 2100}} {
		names := memberNames(size.entries)
		readers, most := map[string]int{}, 0
		f := New("z")
		for i := range size.runners {
			f.Put(runner(fmt.Sprintf("r%d", i), 1))
		}
		for _, self := range names {
			f.SetMembers(self, names)
			due := f.dueForEvents()
			for _, d := range due {
				readers[d.reading.Address]++
				f.discard(d.cache)
			}
			most = max(most, len(due))
		}
		for address, n := range readers {
			if n != readersEach {
				t.Errorf("%d entries: %d read %s", size.entries, n, address)
			}
		}
		if even := readersEach * size.runners / size.entries; len(readers) != size.runners || most > 3*even+6 {
			t.Errorf("%d entries: %d of %d runners are read, %d by one entry where %d are even", size.entries, len(readers), size.runners, most, even)
		}
	}
}

// A runner answered an entry's reading no more. Then others came to read it in the
// entry's place, and ended before they said a word: it must not stay left out.
func TestSilenceEndsWithTheReading(t *testing.T) {
	f := named(New("z"), runner("a", 1))
	f.dueForEvents()
	f.took(&f.states["a"].cache, CacheEvents{}, false, start)
	if !f.Unresponsive("a") {
		t.Fatal("a runner without an answer is not silent")
	}
	f.SetMembers("stranger", memberNames(41))
	if n := len(f.dueForEvents()); n != 0 {
		t.Errorf("%d readings by one that is no reader", n)
	}
	if f.Unresponsive("a") {
		t.Error("a runner stays silent though nobody asks it any more")
	}
}

// Short prompts share two hundred tokens, read in two milliseconds. Were they
// sent to stores and fetched from them, they would push out the parts whose
// reading takes fifty, and queue before those on the stores' links.
func TestFewTokensAreNotMoved(t *testing.T) {
	f := named(New("z"), runner("a", 1), runner("b", 1))
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

// An entry starts while weights roll out. It finds the newest naming in the store and not
// since when, nor those before; taken for young, requests began on weights that were
// replaced before the bound. Nothing older is used until the others tell; what they tell
// is complete, and changes nothing that the entry heard itself.
func TestAStartTakesOlderWeightsForOverUntilItIsTold(t *testing.T) {
	const within = 10 * time.Second
	old, fresh := New("z"), New("z")
	old.RecordDesired("m", 1, start.Add(-time.Hour), true)
	old.RecordDesired("m", 2, start.Add(-12*time.Second), false)
	old.RecordDesired("m", 3, start.Add(-7*time.Second), false)
	old.RecordDesired("m", 5, start.Add(-2*time.Second), false)
	fresh.RecordDesired("m", 5, start.Add(-within), true)
	behind := func(version int64) time.Duration { return fresh.StaleFor("m", version, start).Round(time.Second) }
	if behind(4) < within || len(fresh.DesiredHistory(within, start)) != 0 {
		t.Errorf("behind by %v before anybody told, and tells %v", behind(4), fresh.DesiredHistory(within, start))
	}
	fresh.MergeDesiredHistory(old.DesiredHistory(within, start), start)
	for version, want := range map[int64]time.Duration{1: 12 * time.Second, 2: 7 * time.Second, 3: 2 * time.Second, 4: 2 * time.Second, 5: 0} {
		if got := behind(version); got != want {
			t.Errorf("weights %d are behind by %v, want %v", version, got, want)
		}
	}
	late := old.DesiredHistory(within, start)
	if news := fresh.MergeDesiredHistory(late, start.Add(5*time.Second)); len(news) != 0 || behind(4) != 2*time.Second {
		t.Errorf("a late word changed %v", news)
	}
}
