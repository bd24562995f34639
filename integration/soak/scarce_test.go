package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// Figures of scarce capacity.
const (
	// scarceSeconds is how long a seed is played.
	scarceSeconds = 12
	// usualMemoryMB is the memory of an entry's VM. With scarceMemoryMB its responses may hold
	// 4 MB together, less than the streams of all clients that read slowly.
	usualMemoryMB, scarceMemoryMB = 512, 16
	// slowID begins the ids of requests whose client reads slowly, slowCallers is the number of
	// such clients, and slowEventBytes the size of the events that they ask for.
	slowID         = "slow-"
	slowCallers    = 6
	slowEventBytes = 256 << 10
	// slowStall is how long some of them do not read at all: longer than a target waits.
	slowStall = 3 * time.Second
	// slowPercent is by how much a target is slowed down, for slowFor.
	slowPercent = 250
	slowFor     = 500 * time.Millisecond
	// longestSilence bounds how long a target does not answer.
	longestSilence = 4 * time.Second
	// burstCallers is how many more callers send during a burst: three times the usual.
	burstCallers = 3 * callerCount
)

// TestSoakScarce plays clients that read slowly, bursts of load, targets that slow down and
// say so, and targets that do not answer for seconds. Guards against streams that look whole
// and are not, requests run more often than allowed, and false refusals where buffers,
// queues and retries are full.
func TestSoakScarce(t *testing.T) {
	seeds := []uint64{1, 2}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, regression{seed: seed, faults: scarceFaults(), scarce: true, seconds: scarceSeconds})
		})
	}
}

func scarceFaults() []fault {
	byName := func(f fault) bool {
		return slices.Contains([]string{"target shed", "target broken", "target cut", "target refuses", "entry killed", "entry stopped and started", "new weights"}, f.name)
	}
	chosen := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !byName(f) })
	return append(chosen, slowdown, slowdown, slowdown, unresponsive, unresponsive, burst, burst)
}

// slowdown has a target take longer and report it; it goes on to report the usual speed.
var slowdown = fault{"target slows down", func(b *breaker) (time.Duration, func()) {
	tg := b.target()
	tg.SetSlowness(slowPercent)
	return slowFor, func() { tg.SetSlowness(100) }
}}

var unresponsive = fault{"target does not answer", func(b *breaker) (time.Duration, func()) {
	p := b.target().proxy
	p.SetSilent(true)
	return b.upTo(longestSilence), func() { p.SetSilent(false) }
}}

// burst has a customer send several times its usual.
var burst = fault{"customer sends a multiple", func(b *breaker) (time.Duration, func()) {
	stop := make(chan struct{})
	for range burstCallers {
		b.callers.done.Add(1)
		go b.callers.keepSending(stop, rand.New(rand.NewPCG(b.random.Uint64(), b.random.Uint64())), b.callers.sendAny)
	}
	return time.Second + b.upTo(time.Second), func() { close(stop) }
}}

// readSlowly adds clients that read large streams slowly, to the end of the soak.
func (c *callers) readSlowly(seed uint64) {
	for i := range slowCallers {
		c.done.Add(1)
		go c.keepSending(c.stop, rand.New(rand.NewPCG(seed, 1<<35+uint64(i))), func(random *rand.Rand) { c.sendSlow(c.site.anyEntry(random)) })
	}
}

// sendSlow sends a request for a large stream, reads it slowly and reports whether it came
// whole.
func (c *callers) sendSlow(e *entry) bool {
	return c.sendAs(e, "draft", c.newID(slowID, e), 0)
}

func isSlow(id string) bool { return strings.HasPrefix(id, slowID) }

// eventBytesOf is the size of the events that a request asks for; 0 is unpadded.
func eventBytesOf(id string) int {
	if isSlow(id) {
		return slowEventBytes
	}
	return 0
}

// readerOf reads a body as the client of a request does.
func readerOf(id string, body io.Reader) io.Reader {
	if !isSlow(id) {
		return body
	}
	// A third reads steadily, a third does not read at first, a third disconnects.
	var n int
	_, _ = fmt.Sscanf(id, slowID+"%d", &n)
	return &slowReader{body: body, kind: n % 3}
}

// slowReader reads at most 64 KB each 50 ms, less than a target sends.
type slowReader struct {
	body    io.Reader
	kind    int
	stalled bool
}

var errGivenUp = errors.New("the client disconnects")

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	if r.kind > 0 && !r.stalled {
		r.stalled = true
		time.Sleep(slowStall)
		if r.kind == 2 {
			return 0, errGivenUp
		}
	}
	time.Sleep(50 * time.Millisecond)
	return r.body.Read(p[:min(len(p), 64<<10)])
}
