package origin

import (
	"math/rand/v2"
	"testing"
)

// The model of a deployment whose entries are all killed at once: the clients whose streams break
// off come back once entries run again, and no entry remembers anything.
const (
	killStreams = 20000
	// darkTime is for how long no entry runs, in seconds.
	darkTime = 2.0
	// prefillTime is how long targets work on a first event, in seconds.
	prefillTime = 0.1
	// powerShare is the share of kills whose targets are not told that the connections ended.
	powerShare = 0.5
	// markLag is how long it takes until the store names a version that is listed.
	markLag = 0.3
	// saveCall is how long a write takes, in seconds.
	saveCall = 0.01
	// savedBytes is a stream in a key of the store, with its share of the key, in base64; a key is
	// written again with each batch of its second.
	savedBytes = 4.0 * 4 / 3
	keyBytes   = 180.0
	// keySeconds is for how long one key is written.
	keySeconds = 1.0
)

// change is when a second version takes over in the model: it is listed at a time before the kill
// (negative: after it), and replaces the first one over a while.
type change struct {
	name           string
	before, lasted float64
}

var changes = []change{
	{"none", -100, 1},
	{"long before", 10, 20},
	{"just before", 0.2, 5},
	{"while dark", -1, 5},
	{"all while dark", -0.1, 0.1},
	{"after", -darkTime - 0.5, 5},
}

// killedStream is a stream that was broken off by the kill.
type killedStream struct {
	// age is how long before the kill its first event came.
	age    float64
	second bool
	// unsaved is the share of an interval for which its record waited to be written.
	unsaved float64
	power   bool
	// left is how long its run would still have lasted.
	left float64
}

func newKilledStream(r *rand.Rand, c change) killedStream {
	s := killedStream{age: r.ExpFloat64() * streamLife, unsaved: r.Float64(), power: r.Float64() < powerShare, left: r.ExpFloat64() * streamLife}
	s.second = r.Float64() < min(1, max(0, (c.before-s.age)/c.lasted))
	return s
}

// killWay is one way to know after the kill what began a stream.
type killWay struct {
	name string
	// resolve returns whether a version is believed, and whether it is the second one.
	resolve func(n int, c change, s killedStream, r *rand.Rand) (known, second bool)
	// writes returns the calls a second of all entries, and bytes those that an entry which watches
	// the store receives a second, while two versions serve.
	writes, bytes func(n int) float64
}

// listedBoth reports whether both versions are listed when clients are back.
func (c change) listedBoth() bool { return c.before > -darkTime && c.before+darkTime < c.lasted }

// marked reports whether the store named both versions at the kill.
func (c change) marked() bool { return c.before > markLag }

// firstAlone attributes streams to the first version unless both were marked.
func firstAlone(_ int, c change, _ killedStream, _ *rand.Rand) (known, second bool) {
	return !c.marked(), false
}

// savedAfter: batches are saved after the first event.
func savedAfter(interval func(int) float64) func(int, change, killedStream, *rand.Rand) (bool, bool) {
	return func(n int, c change, s killedStream, r *rand.Rand) (known, second bool) {
		if c.marked() && s.unsaved*interval(n)+saveCall > s.age {
			return false, false
		}
		return true, s.second
	}
}

// savedAhead: streams are saved when they are sent to their target; up to baseNodes entries the first
// event waits for that.
func savedAhead(interval func(int) float64) func(int, change, killedStream, *rand.Rand) (bool, bool) {
	return func(n int, c change, s killedStream, r *rand.Rand) (known, second bool) {
		if c.marked() && n > baseNodes && s.unsaved*interval(n)+saveCall > s.age+prefillTime {
			return false, false
		}
		return true, s.second
	}
}

// baseNodes is up to how many entries first events wait.
const baseNodes = 40

func chosenInterval(n int) float64 { return max(0.05, min(0.01*float64(n), 0.4), 0.004*float64(n)) }

func savedBytesAt(interval func(int) float64) func(int) float64 {
	return func(n int) float64 {
		t := interval(n)
		inKey := max(t, keySeconds/2) * startsPerEntry
		return float64(n) / t * (keyBytes + savedBytes*inKey)
	}
}

func none(int) float64 { return 0 }

func killWays() []killWay {
	quick := func(int) float64 { return 0.2 }
	writesAt := func(interval func(int) float64) func(int) float64 {
		return func(n int) float64 { return float64(n) / interval(n) }
	}
	return []killWay{
		{"a mark while several are seen", func(_ int, c change, _ killedStream, _ *rand.Rand) (bool, bool) {
			// What is listed alone is believed, unless the mark says that there were others.
			return !c.marked() && !c.listedBoth(), c.before > -darkTime
		}, none, none},
		{"a mark always, ahead", firstAlone, none, none},
		{"and batches each 0.2 s", savedAfter(quick), writesAt(quick), savedBytesAt(quick)},
		{"and batches, ahead of events (chosen)", savedAhead(chosenInterval), writesAt(chosenInterval), savedBytesAt(chosenInterval)},
		{"asked of the targets", func(_ int, _ change, s killedStream, _ *rand.Rand) (bool, bool) {
			return s.power && s.left > darkTime, s.second
		}, none, none},
		{"computed from the name", func(_ int, c change, _ killedStream, r *rand.Rand) (bool, bool) {
			return true, r.Float64() < min(1, max(0, (c.before+darkTime)/c.lasted))
		}, none, none},
	}
}

// Guards against a way that knows too little of streams once all entries have been killed, or
// something wrong, whenever versions change.
func TestWaysToKnowAfterAKillOfAllEntries(t *testing.T) {
	t.Log("entries  way                                     known (of it wrong) for a change: none, long before, just before, while dark, all while dark, after | writes/s | bytes/s at a watcher")
	for _, n := range []int{3, 22, 103, 370} {
		for _, w := range killWays() {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			var shares [2][]float64
			for _, c := range changes {
				known, wrong := 0, 0
				for range killStreams {
					s := newKilledStream(random, c)
					ok, second := w.resolve(n, c, s, random)
					if ok {
						known++
					}
					if ok && second != s.second {
						wrong++
					}
				}
				shares[0] = append(shares[0], float64(known)/killStreams)
				shares[1] = append(shares[1], float64(wrong)/killStreams)
				if w.name == killWays()[3].name && (known < killStreams/2 || wrong > 0) {
					t.Errorf("%d entries, change %s: %d of %d known, %d wrong", n, c.name, known, killStreams, wrong)
				}
			}
			t.Logf("%7d  %-38s %.3f (%.3f) | %.0f | %.0f", n, w.name, shares[0], shares[1], w.writes(n), w.bytes(n))
		}
	}
}
