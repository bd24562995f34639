package sharing

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return mix(h.Sum64())
}

// stream is requests of one class.
type stream struct {
	class int
	rate  float64
	cost  Cost
}

// Streams like those of deployment K in docs/design/scarce-capacity.md: long prompts that
// are urgent, and drafts.
var (
	urgent = stream{class: 0, rate: 100, cost: Cost{Slot: 16 * time.Millisecond, Prefill: 60 * time.Millisecond}}
	drafts = stream{class: 2, rate: 400, cost: Cost{Slot: 94 * time.Millisecond, Prefill: 12 * time.Millisecond}}
)

// world is entries that exchange reports in virtual time. Waits are long throughout, so
// that the totals alone decide.
type world struct {
	now       time.Time
	random    *rand.Rand
	entries   []*Sharer
	targets   int
	streams   []stream
	customers int
	// unreached returns whether datagrams from one entry to another are lost.
	unreached func(from, to int) bool
	// repeat is the part of the refused requests that clients repeat at once.
	repeat  float64
	starts  int
	seq     uint64
	asked   map[key]float64
	served  map[key]float64
	time    map[int]float64
	repeats [2]float64
}

// groupSize and exchangeInterval are those of package node.
const (
	groupSize        = 20
	exchangeInterval = 300 * time.Millisecond
)

func newWorld(entries, targets, customers int, streams ...stream) *world {
	w := &world{now: start, random: rand.New(rand.NewPCG(uint64(entries), 7)), targets: targets, customers: customers, streams: streams}
	for i := range entries {
		w.entries = append(w.entries, w.newEntry(i))
	}
	w.clear()
	return w
}

func (w *world) newEntry(i int) *Sharer {
	w.starts++
	return New(fmt.Sprintf("e%d/%d", i, w.starts), func() int { return len(w.entries) }, hash, w.now)
}

func (w *world) clear() {
	w.asked, w.served, w.time, w.repeats = map[key]float64{}, map[key]float64{}, map[int]float64{}, [2]float64{}
}

// customer returns a customer; a quarter of the requests is of the first one.
func (w *world) customer() int {
	if w.random.Float64() < 0.25 {
		return 0
	}
	return w.random.IntN(w.customers)
}

func (w *world) request(s stream, entry, customer int) bool {
	w.seq++
	r := Request{Service: "lm", Class: s.class, Customer: fmt.Sprintf("c%d", customer), Cost: s.cost, Targets: float64(w.targets), Wait: time.Hour, Remaining: 15 * time.Second}
	binary.LittleEndian.PutUint64(r.Content[:], w.seq)
	k := key{class: uint8(s.class), customer: uint64(customer)}
	w.asked[k]++
	d := w.entries[entry].Decide(r, w.now)
	if !d.Admitted && w.random.Float64() < w.repeat {
		w.repeats[0]++
		if again := w.entries[entry].Decide(r, w.now.Add(10*time.Millisecond)); again.Admitted {
			w.repeats[1]++
		}
	}
	if d.Admitted {
		w.served[k]++
		w.time[s.class] += s.cost.seconds()
	}
	return d.Admitted
}

// exchange has each entry report to its group, and the first reachable entry of each group
// to the other groups.
func (w *world) exchange() {
	reach := func(from, to int) bool { return w.unreached == nil || !w.unreached(from, to) }
	for i, e := range w.entries {
		r := e.Report(w.now)
		for j := i - i%groupSize; j < min(len(w.entries), i-i%groupSize+groupSize); j++ {
			if j != i && reach(i, j) {
				w.entries[j].Apply(e.name, r, w.now)
			}
		}
	}
	for first := 0; first < len(w.entries); first += groupSize {
		r := w.entries[first].GroupReport(w.now)
		for j, e := range w.entries {
			if j/groupSize != first/groupSize && reach(first, j) {
				e.ApplyGroup(first/groupSize, w.entries[first].name, r, w.now)
			}
		}
	}
	for _, e := range w.entries {
		e.Update(w.now)
	}
}

// run lets time pass, with the streams at multiples of their rates.
func (w *world) run(d time.Duration, factor float64) {
	const step = 10 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for _, s := range w.streams {
			n := s.rate * factor * step.Seconds()
			for count := int(n + w.random.Float64()); count > 0; count-- {
				w.request(s, w.random.IntN(len(w.entries)), w.customer())
			}
		}
		if w.now.Sub(start)%exchangeInterval == 0 {
			w.exchange()
		}
	}
}

// slotTime returns the slot time per second that was admitted in a period, as a part of
// what the targets have. It is what is scarce in these tests.
func (w *world) slotTime(d time.Duration) float64 {
	sum := 0.0
	for _, s := range w.streams {
		sum += w.time[s.class] * s.cost.Slot.Seconds() / s.cost.seconds()
	}
	return sum / d.Seconds() / float64(w.targets)
}

func (w *world) share(class, customer int) float64 {
	served, asked := 0.0, 0.0
	for k, n := range w.asked {
		if (class < 0 || int(k.class) == class) && (customer < 0 || int(k.customer) == customer) {
			asked += n
			served += w.served[k]
		}
	}
	return served / max(1, asked)
}

// checkFair checks what callers need: the urgent requests, which alone fit, are served, and
// nobody gets less than half of the common rate.
func checkFair(t *testing.T, w *world) {
	t.Helper()
	common := w.share(-1, -1)
	if got := w.share(0, -1); got < 0.97 {
		t.Errorf("%.3f of the urgent requests admitted", got)
	}
	for customer := range w.customers {
		for _, s := range w.streams {
			if got := w.share(s.class, customer); got < common/2 {
				t.Errorf("customer %d gets %.3f of its requests of class %d, the common rate is %.3f", customer, got, s.class, common)
			}
		}
	}
}

// Guards against entries that together admit much more or less than the targets can serve,
// or other requests than one entry that sees all demand would. 34 targets are asked for 1.15
// times their slot time. Admitting a tenth more for a second costs each draft a tenth of a
// second of the 2 s that it may wait.
func TestEntriesShareAsOneWould(t *testing.T) {
	t.Parallel()
	run := func(entries int) *world {
		w := newWorld(entries, 34, 16, urgent, drafts)
		w.run(4*time.Second, 1)
		w.clear()
		w.run(4*time.Second, 1)
		return w
	}
	reference := run(1)
	for _, entries := range []int{1, 3, 31, 103, 370} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			w := run(entries)
			for customer := range w.customers {
				// A customer with few requests may differ by some of them.
				if got, want := w.share(2, customer), reference.share(2, customer); math.Abs(got-want) > 0.1 {
					t.Errorf("customer %d gets %.3f of its drafts, %.3f at one entry", customer, got, want)
				}
			}
			slots := w.slotTime(4 * time.Second)
			t.Logf("entries %d: slot time %.3f, drafts %.3f, large customer %.3f", entries, slots, w.share(2, -1), w.share(2, 0))
			if slots < 0.9 || slots > 1.1 {
				t.Errorf("admitted %.3f of the slot time", slots)
			}
			checkFair(t, w)
			// Max-min fairness: the customer that asks for the most is the one refused.
			if large, small := w.share(2, 0), w.share(2, 5); large > small {
				t.Errorf("the largest customer gets %.3f, a small one %.3f", large, small)
			}
		})
	}
}

// Guards against acting where demand does not exceed the capacity: such deployments are
// served as before.
func TestNothingIsRefusedWithoutContention(t *testing.T) {
	w := newWorld(31, 56, 16, urgent, drafts)
	w.run(5*time.Second, 0.8)
	if got := w.share(-1, -1); got != 1 {
		t.Errorf("%.4f of the requests admitted", got)
	}
}

// Guards against data centres that are served worse than others because more is asked of
// their entries. The entries of one of four data centres get half of the requests.
func TestDataCentresAreServedAlike(t *testing.T) {
	w := newWorld(31, 34, 16, urgent, drafts)
	asked, served := [4]float64{}, [4]float64{}
	for w.now.Before(start.Add(8 * time.Second)) {
		for range 2 {
			entry := w.random.IntN(31)
			if w.random.Float64() < 1.0/3 {
				entry = 4 * w.random.IntN(8)
			}
			asked[entry%4]++
			if w.request(drafts, entry, w.customer()) {
				served[entry%4]++
			}
		}
		if w.now.Sub(start)%exchangeInterval == 0 {
			w.exchange()
		}
		w.now = w.now.Add(4 * time.Millisecond)
	}
	all := (served[0] + served[1] + served[2] + served[3]) / (asked[0] + asked[1] + asked[2] + asked[3])
	for zone := range asked {
		if got := served[zone] / asked[zone]; got < 0.9*all || got > 1.1*all {
			t.Errorf("data centre %d gets %.3f of its requests, all get %.3f", zone, got, all)
		}
	}
	if all > 0.9 {
		t.Errorf("%.3f of the requests admitted, so nothing was scarce", all)
	}
}

// Guards against a burst that fills the targets with drafts before it is noticed: what is
// admitted beyond the capacity in the first 2 s must be served within the 15 s that the
// drafts' clients wait, less 3 s for the draft itself, and afterwards nothing is added.
func TestBurstIsNoticed(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{3, 31, 103, 370} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			w := newWorld(entries, 42, 16, urgent, drafts)
			w.run(3*time.Second, 0.5)
			w.clear()
			w.run(2*time.Second, 2)
			excess := 2 * max(0, w.slotTime(2*time.Second)-1)
			t.Logf("excess of %.2f s", excess)
			if excess > 2 {
				t.Errorf("%.2f s of work admitted beyond the capacity in the first 2 s of a burst", excess)
			}
			if got := w.share(0, -1); got < 0.97 {
				t.Errorf("%.3f of the urgent requests admitted", got)
			}
			w.clear()
			w.run(2*time.Second, 2)
			if slots := w.slotTime(2 * time.Second); slots > 1.1 {
				t.Errorf("admitted %.3f of the slot time after that", slots)
			}
			checkFair(t, w)
		})
	}
}

// Guards against a partition in which each side takes the whole capacity, or one side none.
func TestPartitionedEntriesKeepTheirPart(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{3, 31, 103, 370} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			w := newWorld(entries, 34, 16, urgent, drafts)
			w.run(3*time.Second, 1)
			cut := (entries + 2) / 3
			w.unreached = func(from, to int) bool { return (from < cut) != (to < cut) }
			w.run(2500*time.Millisecond, 1) // 1.5 s until the totals expire, and 1 s
			w.clear()
			w.run(4*time.Second, 1)
			slots := w.slotTime(4 * time.Second)
			t.Logf("slot time %.3f, urgent %.3f", slots, w.share(0, -1))
			if slots < 0.75 || slots > 1.15 {
				t.Errorf("admitted %.3f of the slot time while partitioned", slots)
			}
			if got := w.share(0, -1); got < 0.9 {
				t.Errorf("%.3f of the urgent requests admitted", got)
			}
			w.unreached = nil
			w.run(2*time.Second, 1)
			w.clear()
			w.run(3*time.Second, 1)
			checkFair(t, w)
		})
	}
}

// Guards against totals of former starts that still count, and against entries that refuse
// everything or nothing for long after all were restarted at once.
func TestAllRestartedAtOnce(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{3, 31, 103, 370} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			w := newWorld(entries, 34, 16, urgent, drafts)
			w.run(3*time.Second, 1)
			for i := range w.entries {
				w.entries[i] = w.newEntry(i)
			}
			w.clear()
			w.run(time.Second, 1)
			if got := w.share(0, -1); got < 0.97 {
				t.Errorf("%.3f of the urgent requests admitted in the first second", got)
			}
			w.run(2*time.Second, 1)
			w.clear()
			w.run(3*time.Second, 1)
			if slots := w.slotTime(3 * time.Second); slots < 0.9 || slots > 1.1 {
				t.Errorf("admitted %.3f of the slot time", slots)
			}
			checkFair(t, w)
		})
	}
}

// Guards against clients that gain by repeating refused requests at once: every such
// repetition is refused, and the others get what they got without them.
func TestImmediateRepeatsGainNothing(t *testing.T) {
	shares := []float64{}
	for _, repeat := range []float64{0, 1} {
		w := newWorld(31, 34, 16, urgent, drafts)
		w.repeat = repeat
		w.run(3*time.Second, 1)
		w.clear()
		w.run(4*time.Second, 1)
		if w.repeats[1] > 0 {
			t.Errorf("%.0f of %.0f repetitions admitted", w.repeats[1], w.repeats[0])
		}
		checkFair(t, w)
		shares = append(shares, w.share(2, -1))
	}
	if math.Abs(shares[0]-shares[1]) > 0.05 {
		t.Errorf("%.3f of the drafts admitted, %.3f if clients repeat at once", shares[0], shares[1])
	}
}

// contended returns an entry whose demand is twice its capacity.
func contended(t *testing.T) (*Sharer, Request, time.Time) {
	t.Helper()
	s := New("e", func() int { return 1 }, hash, start)
	r := Request{Service: "lm", Class: 2, Customer: "c", Cost: Cost{Slot: 100 * time.Millisecond}, Targets: 1, Wait: time.Hour, Remaining: 15 * time.Second}
	now := start
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		r.Content[0]++
		r.Content[1] = r.Content[0] / 2
		s.Decide(r, now)
	}
	if d := s.Decide(r, now); d.Fraction < 0.4 || d.Fraction > 0.6 {
		t.Fatalf("fraction %.3f, want about 0.5", d.Fraction)
	}
	return s, r, now
}

// Guards against retries at the stated time that are refused like new requests, and against
// early ones that count as demand.
func TestRetriesAtStatedTimeComeFirst(t *testing.T) {
	s, r, now := contended(t)
	refusedOnce := func() Decision {
		for i := range 50 {
			r.Content = Content{9, byte(i), r.Content[2] + 1}
			if d := s.Decide(r, now); !d.Admitted {
				return d
			}
		}
		t.Fatal("nothing is refused")
		return Decision{}
	}
	d := refusedOnce()
	if d.RetryAfter < minRetry || d.RetryAfter > maxRetry {
		t.Errorf("retry after %v", d.RetryAfter)
	}
	early := s.Decide(r, now.Add(d.RetryAfter/2))
	if early.Admitted || !early.Early || early.RetryAfter > d.RetryAfter/2+time.Millisecond {
		t.Errorf("an early retry got %+v", early)
	}
	if again := s.Decide(r, now.Add(d.RetryAfter)); !again.Admitted {
		t.Errorf("a retry at the stated time got %+v", again)
	}
}

// Guards against retries that all arrive at once, and less urgent ones that precede more
// urgent ones.
func TestRetryTimesAreSpread(t *testing.T) {
	s := New("e", func() int { return 1 }, hash, start)
	counts := map[int]int{}
	var longest, least [Classes]time.Duration
	for class := range Classes {
		s.Decide(Request{Service: "lm", Class: class, Cost: Cost{Slot: time.Millisecond}, Targets: 1}, start)
	}
	s.Update(start.Add(minComputeInterval))
	for class := range Classes {
		least[class] = time.Hour
		for range 1000 {
			d := s.retryDelay(Request{Service: "lm", Class: class, Remaining: time.Minute}, 0.5)
			longest[class], least[class] = max(longest[class], d), min(least[class], d)
			if class == 2 {
				counts[int(d/(100*time.Millisecond))]++
			}
		}
		if class > 0 && least[class] < least[class-1] {
			t.Errorf("class %d retries after %v, class %d after %v", class, least[class], class-1, least[class-1])
		}
	}
	for at, n := range counts {
		if n > 200 {
			t.Errorf("%d of 1000 retries within 100 ms from %d ms", n, at*100)
		}
	}
	if d := s.retryDelay(Request{Service: "lm", Class: 3, Remaining: time.Second}, 0); d > 500*time.Millisecond {
		t.Errorf("retry after %v for a client that waits 1 s", d)
	}
}

// Guards against refusing work while targets are free, and against refusing less urgent
// work that is late but wanted at the start of a contention.
func TestFreeTargetsAndLateWorkAreUsed(t *testing.T) {
	s, r, now := contended(t)
	admitted := func(r Request) int {
		n := 0
		for i := range 40 {
			r.Content = Content{8, byte(i)}
			if s.Decide(r, now).Admitted {
				n++
			}
		}
		return n
	}
	r.Wait, r.FreeWait = 100*time.Millisecond, 200*time.Millisecond
	if n := admitted(r); n != 40 {
		t.Errorf("%d of 40 requests admitted by free targets", n)
	}
	r.Wait, r.LateWait, r.Patience = 2*time.Second, 3*time.Second, time.Minute
	if n := admitted(r); n != 40 {
		t.Errorf("%d of 40 requests admitted that would be late", n)
	}
	r.Patience = time.Millisecond
	r.FreeWait = 0
	if n := admitted(r); n > 30 {
		t.Errorf("%d of 40 requests admitted in a lasting contention", n)
	}
}

// Guards against sizes of requests that are starved because they alternate with others in
// step with the running count.
func TestNoSizeIsStarved(t *testing.T) {
	t.Parallel()
	for _, pattern := range [][]int{{500, 100, 500, 500, 20, 20}, {20, 500, 500, 20, 500, 100}, {100, 20, 500, 20}} {
		checkSizes(t, pattern)
	}
	rapid.Check(t, func(rt *rapid.T) {
		checkSizes(rt, rapid.SliceOfN(rapid.SampledFrom([]int{20, 100, 500}), 2, 7).Draw(rt, "pattern"))
	})
}

// checkSizes sends requests whose sizes, in milliseconds, follow a pattern, and reports the sizes of
// which less than half as much is admitted as of all.
func checkSizes(t rapid.TB, pattern []int) {
	s := New("e", func() int { return 1 }, hash, start)
	now := start
	asked, served := map[int]float64{}, map[int]float64{}
	for i := range 4000 {
		now = now.Add(20 * time.Millisecond)
		ms := pattern[i%len(pattern)]
		r := Request{Service: "lm", Customer: "c", Cost: Cost{Slot: time.Duration(ms) * time.Millisecond}, Targets: 1, Wait: time.Hour}
		binary.LittleEndian.PutUint64(r.Content[:], uint64(i+1))
		d := s.Decide(r, now)
		if i > 1000 {
			asked[ms]++
			if d.Admitted {
				served[ms]++
			}
		}
	}
	total, all := 0.0, 0.0
	for ms := range asked {
		total, all = total+served[ms], all+asked[ms]
	}
	for ms, n := range asked {
		if served[ms]/n < total/all/2 {
			t.Errorf("sizes %v: %.3f of the requests of %d ms admitted, %.3f of all", pattern, served[ms]/n, ms, total/all)
		}
	}
}

// Guards against allocations that exceed the capacity, leave some unused, starve a class or
// customer, or serve a customer at the cost of one that gets less.
func TestAllocateProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var classes [Classes]classDemand
		slot, prefill := 0.0, 0.0
		for i := range classes {
			c := &classes[i]
			c.cost = rapid.Float64Range(0.001, 1).Draw(rt, "cost")
			c.slot = rapid.Float64Range(0, 1).Draw(rt, "slot")
			c.prefill = 1 - c.slot
			for range rapid.IntRange(0, 8).Draw(rt, "customers") {
				d := rapid.Float64Range(0.001, 50).Draw(rt, "demand")
				c.customers = append(c.customers, customerDemand{demand: d, weight: float64(rapid.IntRange(1, 5).Draw(rt, "weight"))})
				c.demand += d
			}
			slot, prefill = slot+c.demand*c.slot, prefill+c.demand*c.prefill
		}
		capacity := rapid.Float64Range(0.1, 200).Draw(rt, "capacity")
		guarantee, scarce := allocate(&classes, capacity)
		if scarce != (slot > capacity || prefill > capacity) {
			rt.Fatalf("scarce %v with demands %.3f and %.3f of %.3f", scarce, slot, prefill, capacity)
		}
		if !scarce {
			return
		}
		usedSlot, usedPrefill, full := 0.0, 0.0, true
		common, uniform := servedShare(&classes, guarantee), min(capacity/slot, capacity/prefill)
		for i := range classes {
			c := &classes[i]
			for _, d := range c.customers {
				f := d.fraction(guarantee, c.level)
				// A class that alone needs what is scarce cannot get more than all of it.
				if f < min(common/2, uniform) || f > 1 {
					rt.Errorf("class %d gets %.3f of a demand, the common rate is %.3f", i, f, common)
				}
				if f < 1 && f > guarantee && math.Abs(f*d.demand/d.weight-c.level) > 1e-6 {
					rt.Errorf("class %d: level %.3f, but %.3f admitted", i, c.level, f*d.demand/d.weight)
				}
				full = full && f > 0.999
				usedSlot, usedPrefill = usedSlot+f*d.demand*c.slot, usedPrefill+f*d.demand*c.prefill
			}
		}
		if usedSlot > capacity*1.0001 || usedPrefill > capacity*1.0001 {
			rt.Errorf("allocated %.3f and %.3f of %.3f", usedSlot, usedPrefill, capacity)
		}
		if max(usedSlot, usedPrefill) < capacity*0.999 && !full {
			rt.Errorf("allocated only %.3f and %.3f of %.3f", usedSlot, usedPrefill, capacity)
		}
	})
}

func row(asked int64) []Row {
	return []Row{{Service: "lm", Class: 2, Customer: 5, Asked: asked, Admitted: asked / 2}}
}

// Guards against totals that count twice or are replaced by wrong ones: of a restarted
// sender, duplicated, late, from the future, out of range, or expired.
func TestReportsAreCountedOnce(t *testing.T) {
	s := New("e0/1", func() int { return 3 }, hash, start)
	sum := func() int64 {
		total := int64(0)
		for _, t := range s.services["lm"].totals {
			total += t.peers.asked + t.groups.asked
		}
		return total
	}
	report := func(uptime time.Duration, asked int64) Report {
		return Report{Uptime: uptime, Entries: 1, Rows: row(asked)}
	}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	check := func(what string, want int64) {
		t.Helper()
		if got := sum(); got != want {
			t.Errorf("%s: %d asked, want %d", what, got, want)
		}
	}
	s.Apply("e1/1", report(time.Minute, 100), at(0))
	check("a first report", 100)
	s.Apply("e1/1", report(time.Minute, 900), at(100*time.Millisecond))
	check("a duplicate", 100)
	s.Apply("e1/1", report(time.Minute-time.Second, 900), at(100*time.Millisecond))
	check("a late report", 100)
	s.Apply("e1/1", report(time.Hour, 900), at(100*time.Millisecond))
	check("a report from the future", 100)
	s.Apply("e1/1", report(time.Minute+100*time.Millisecond, 150), at(100*time.Millisecond))
	check("a second report", 150)
	s.Apply("e1/2", report(10*time.Millisecond, 20), at(200*time.Millisecond))
	check("a report of a restarted sender", 20)
	s.Apply("e1/1", report(time.Minute+110*time.Millisecond, 150), at(210*time.Millisecond))
	check("a late report of the earlier start", 20)
	s.Apply("e2/1", Report{Uptime: time.Second, Entries: 1, Rows: []Row{{Service: "lm", Class: 9, Asked: 5}, {Service: "lm", Class: -1, Asked: 5}, {Service: "lm", Asked: -5}, {Service: "lm", Asked: math.MaxInt64}}}, at(300*time.Millisecond))
	check("rows out of range", 20)
	s.ApplyGroup(1, "e9/1", Report{Uptime: time.Minute, Entries: 5, Rows: row(1000)}, at(300*time.Millisecond))
	s.ApplyGroup(1, "e8/1", Report{Uptime: time.Second, Entries: 5, Rows: row(1100)}, at(350*time.Millisecond))
	check("two relays of a group", 1120)
	s.ApplyGroup(1, "e9/1", Report{Uptime: time.Minute, Entries: 5, Rows: row(9000)}, at(360*time.Millisecond))
	check("a duplicate of a relay", 1120)
	s.Update(at(1600 * time.Millisecond))
	check("the oldest expired", 1120)
	s.Update(at(1800 * time.Millisecond))
	check("the entries expired", 1100)
	s.Update(at(3 * time.Second))
	check("all expired", 0)
}

// Guards against an age of totals that grows with the time since the start: the clock of a
// sender may run slower than that of the receiver, here by 0.02%. Operators read the age to
// see whether the totals behind a refusal were current.
func TestAgeOfTotalsIgnoresClockDrift(t *testing.T) {
	s := New("e0/1", func() int { return 2 }, hash, start)
	now, uptime := start, time.Duration(0)
	for now.Before(start.Add(12 * time.Hour)) {
		now, uptime = now.Add(exchangeInterval), uptime+exchangeInterval-exchangeInterval/5000
		s.Apply("e1/1", Report{Uptime: uptime, Entries: 1, Rows: row(100)}, now)
	}
	if age := s.oldest(now); age > 100*time.Millisecond {
		t.Errorf("a report that has just arrived is %v old", age)
	}
	// A report that arrives late is older than one that does not.
	now, uptime = now.Add(exchangeInterval+time.Second), uptime+exchangeInterval
	s.Apply("e1/1", Report{Uptime: uptime, Entries: 1, Rows: row(100)}, now)
	if age := s.oldest(now); age < 900*time.Millisecond {
		t.Errorf("a report that arrived 1 s late is %v old", age)
	}
}

// Guards against memory that grows with the customers or contents that clients invent.
func TestMemoryIsBounded(t *testing.T) {
	t.Parallel()
	s := New("e", func() int { return 1 }, hash, start)
	now := start
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		r := Request{Service: fmt.Sprint("s", i%200), Class: i % Classes, Customer: fmt.Sprint(i), Cost: Cost{Slot: time.Second}, Targets: 1, Wait: time.Hour}
		if i%2 == 0 {
			r.Service = "lm"
		}
		binary.LittleEndian.PutUint64(r.Content[:], uint64(i+1))
		s.Decide(r, now)
	}
	keys := 0
	for _, svc := range s.services {
		keys = max(keys, len(svc.totals))
	}
	if len(s.services) > maxServices || keys > maxKeys+Classes || len(s.refused.retryAt) > maxRefused || len(s.names) > maxNames {
		t.Errorf("%d services, %d keys, %d refused requests, %d names", len(s.services), keys, len(s.refused.retryAt), len(s.names))
	}
	if rows := len(s.Report(now).Rows); rows > maxRows {
		t.Errorf("a report has %d rows", rows)
	}
	s.Update(now.Add(time.Minute))
	for name, svc := range s.services {
		if len(svc.totals) > 0 {
			t.Errorf("service %s has %d keys after a minute without requests", name, len(svc.totals))
		}
	}
}

// Guards against refusals that an operator cannot explain: who took precedence, and how old
// the totals are.
func TestDecisionExplainsItself(t *testing.T) {
	s := New("e0/1", func() int { return 2 }, hash, start)
	now := start
	var d Decision
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		for _, r := range []Request{{Class: 0, Customer: "big"}, {Class: 2, Customer: "small"}} {
			r.Service, r.Cost, r.Targets, r.Wait = "lm", Cost{Slot: 15 * time.Millisecond}, 2, time.Hour
			binary.LittleEndian.PutUint64(r.Content[:], uint64(2*i+r.Class+1))
			d = s.Decide(r, now)
		}
		if i%10 == 0 {
			s.Apply("e1/1", Report{Uptime: time.Duration(i+1) * 10 * time.Millisecond, Entries: 1, Rows: []Row{{Service: "lm", Class: 0, Customer: hash("big"), Asked: 100_000, Admitted: 100_000}}}, now)
		}
	}
	if d.Fraction >= 1 || d.FirstClass != 0 || !strings.Contains(d.FirstCustomer, "big") || d.OldestTotal <= 0 || d.OldestTotal > reportTTL {
		t.Errorf("decision %+v", d)
	}
}

// BenchmarkUpdate measures a renewal of the fractions, which happens beside the decisions.
func BenchmarkUpdate(b *testing.B) {
	for _, customers := range []int{16, 1000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			s := New("e", func() int { return 1 }, hash, start)
			r := Request{Service: "lm", Cost: Cost{Slot: time.Second}, Targets: 100, Wait: time.Hour}
			for i := range 3 * customers {
				r.Class, r.Customer = i%3, fmt.Sprint(i/3)
				binary.LittleEndian.PutUint64(r.Content[:], uint64(i+1))
				s.Decide(r, start)
			}
			b.ReportAllocs()
			for i := range b.N {
				s.services["lm"].computedAt = time.Time{}
				s.Update(start.Add(time.Duration(i%1000) * time.Microsecond))
			}
		})
	}
}

// BenchmarkDecide measures one decision at an entry that gets reports of 300 entries, for 16
// and 1,000 customers and 2,100 targets. The fractions are renewed within the decisions.
func BenchmarkDecide(b *testing.B) {
	for _, customers := range []int{16, 1000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			s, now := New("e0/1", func() int { return 300 }, hash, start), start
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprint("customer ", i)
			}
			for e := range 300 {
				var rows []Row
				for i := range maxCustomers {
					rows = append(rows, Row{Service: "lm", Class: i % 3, Customer: hash(names[(e*7+i)%customers]), Asked: 500_000, Admitted: 300_000})
				}
				s.Apply(fmt.Sprintf("e%d/1", e+1), Report{Uptime: time.Hour, Entries: 1, Rows: rows}, now)
			}
			r := Request{Service: "lm", Cost: Cost{Slot: 94 * time.Millisecond, Prefill: 12 * time.Millisecond}, Targets: 2100, Wait: time.Second, Remaining: 15 * time.Second}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r.Class, r.Customer = i%3, names[i%customers]
				binary.LittleEndian.PutUint64(r.Content[:], uint64(i+1))
				s.Decide(r, now.Add(time.Duration(i%1000)*time.Millisecond))
			}
		})
	}
}
