package origin

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The model of a deployment whose entries are killed while two versions serve: a release
// replaces one of 18 targets every 0.4 s. Each stream breaks off at a random moment, by its
// client's connection or by the end of its entry, and is resumed at another entry.
const (
	modelStreams     = 20000
	streamLife       = 1.5      // seconds
	startsPerEntry   = 13.0     // a second, 4,800 over 370 entries
	datagramLoss     = 0.01     // of each datagram
	entryEndShare    = 0.5      // of the streams that break off
	ownGroupShare    = 0.6      // of the resumptions at other entries
	restartedShare   = 0.1      // of the entries that are asked have just started
	roundTrip        = 0.003    // seconds
	againAfter       = 0.040    // seconds
	groupSize        = 25       // entries
	targetsOfService = 18       // of both versions
	releaseStep      = 0.4      // seconds from one replaced target to the next
	resumedShare     = 0.02     // of all streams
	datagramHeader   = 28 + 40  // bytes of a datagram besides its records
	recordBytes      = 4.0      // a stream in a pulse
	loneRecordBytes  = 4.0 + 20 // a stream in a datagram of its own, with its version
)

// way is one way to hold what began a stream, as seen by one resumption.
type way struct {
	name string
	// resolve returns whether the version is known and right, and the wait in seconds.
	resolve func(m *model, s modelStream) (known, right bool, wait float64)
	// bytes returns the bytes a second that an entry receives.
	bytes func(n int) float64
}

type model struct {
	random  *rand.Rand
	entries int
}

// modelStream is a stream that was broken off and resumed.
type modelStream struct {
	// age is the stream's age when it broke off, resumed the time until the client came back.
	age, resumed float64
	entryEnded   bool
	ownGroup     bool
}

func (m *model) groups() int { return (m.entries + groupSize - 1) / groupSize }

func (m *model) groupMembers() int { return (m.entries + m.groups() - 1) / m.groups() }

// pulse is the interval between two pulses.
func (m *model) pulse() float64 {
	perPeer := 0.005
	if m.groups() > 1 {
		perPeer = 0.008
	}
	return max(0.05, float64(m.groupMembers()-1)*perPeer)
}

func (m *model) stream() modelStream {
	return modelStream{
		age:        m.random.ExpFloat64() * streamLife,
		resumed:    0.005 + 0.3*m.random.Float64(),
		entryEnded: m.random.Float64() < entryEndShare,
		ownGroup:   m.groups() == 1 || m.random.Float64() < ownGroupShare,
	}
}

func (m *model) lost() bool { return m.random.Float64() < datagramLoss }

// askOne asks one entry that was sent the record, and reports whether it answers with it: the
// record, the question and the answer may be lost.
func (m *model) askOne() bool {
	for range 3 {
		if m.lost() {
			return false
		}
	}
	return m.random.Float64() >= restartedShare
}

// toldToGroup: the beginning is reported to the group with the next pulse; others are asked.
func toldToGroup(m *model, s modelStream) (known, right bool, wait float64) {
	if s.entryEnded && m.random.Float64()*m.pulse() > s.age {
		return false, false, 0.15
	}
	if s.ownGroup && !m.lost() {
		return true, true, 0
	}
	asked := min(3, m.groupMembers()-1)
	for round := range 2 {
		for range asked {
			if m.askOne() {
				return true, true, roundTrip + float64(round)*againAfter
			}
		}
	}
	return false, false, 0.15
}

// toldToAll: the beginning is reported to all entries.
func toldToAll(m *model, s modelStream) (known, right bool, wait float64) {
	interval := max(0.05, float64(m.entries-1)*0.005)
	if s.entryEnded && m.random.Float64()*interval > s.age || m.lost() {
		return false, false, 0
	}
	return true, true, 0
}

// heldByTwo: two entries chosen by rendezvous get a datagram at the beginning and are asked.
func heldByTwo(m *model, _ modelStream) (known, right bool, wait float64) {
	for range 2 {
		if !m.lost() && m.askOne() {
			return true, true, roundTrip
		}
	}
	return false, false, 0.15
}

// computed: the version is computed from the stream's ID, weighted by the versions' targets.
func computed(m *model, s modelStream) (known, right bool, wait float64) {
	moved := (s.age + s.resumed) / releaseStep / targetsOfService
	return true, m.random.Float64() >= math.Min(1, moved), 0
}

func ways() []way {
	return []way{
		{"told to the group, others asked", toldToGroup, func(n int) float64 {
			m := &model{entries: n}
			asks := startsPerEntry * resumedShare * (1 - ownGroupShare) * float64(3+m.groups()) * 2 * (datagramHeader + 20)
			return startsPerEntry*float64(m.groupMembers()-1)*recordBytes + asks
		}},
		{"told to all", toldToAll, func(n int) float64 { return startsPerEntry * float64(n-1) * recordBytes }},
		{"held by two, asked", heldByTwo, func(int) float64 {
			return startsPerEntry*2*(datagramHeader+loneRecordBytes) + startsPerEntry*resumedShare*2*2*(datagramHeader+20)
		}},
		{"computed", computed, func(int) float64 { return 0 }},
	}
}

// Guards against a way that knows too little of streams, or something wrong, at any size.
func TestWaysToKnowWhatBeganAStream(t *testing.T) {
	t.Log("entries  way                               known   wrong   bytes/s   mean wait")
	for _, n := range []int{3, 22, 103, 370} {
		for i, w := range ways() {
			m := &model{random: rand.New(rand.NewPCG(1, uint64(n))), entries: n}
			var known, wrong int
			var waited float64
			for range modelStreams {
				ok, right, wait := w.resolve(m, m.stream())
				if ok {
					known++
				}
				if ok && !right {
					wrong++
				}
				waited += wait
			}
			share := float64(known) / modelStreams
			t.Logf("%7d  %-32s  %.3f   %.3f   %7.0f   %v", n, w.name, share, float64(wrong)/modelStreams, w.bytes(n), time.Duration(waited/modelStreams*float64(time.Second)).Round(100*time.Microsecond))
			// A third of the 12 KB/s that an entry may use for control.
			if i == 0 && (share < 0.9 || wrong > 0 || w.bytes(n) > 4096) {
				t.Errorf("%d entries: %.3f known, %d wrong, %.0f bytes a second", n, share, wrong, w.bytes(n))
			}
		}
	}
}
