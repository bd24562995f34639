package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

const (
	// endlessCallers is how many clients send beside the usual ones.
	endlessCallers = 160
	// endlessSeconds is how long a seed is played.
	endlessSeconds = 6
	// endlessEvery is which target of a service sends without end at the same time as others.
	endlessEvery = 2
	// memoryInterval is how often the memory of the entries is read.
	memoryInterval = 20 * time.Millisecond
)

// Guards against an entry that runs out of memory, and takes the requests of other clients with it,
// as targets send responses without an end.
func TestSoakEndless(t *testing.T) {
	seeds := []uint64{1}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, regression{seed: seed, faults: endlessFaults(), direct: true, endless: true, seconds: endlessSeconds})
		})
	}
}

// sendsWithoutEnd has half of the targets of a service send responses without an end.
func sendsWithoutEnd(kind runner.Fault) fault {
	return fault{"targets " + string(kind), func(b *breaker) (time.Duration, func()) {
		group := [][]*target{b.site.runners, b.site.desks}[b.random.IntN(2)]
		set := func(kind runner.Fault) {
			for i := 0; i < len(group); i += endlessEvery {
				group[i].SetFault(kind)
			}
		}
		set(kind)
		return b.upTo(1500 * time.Millisecond), func() { set(runner.None) }
	}}
}

func endlessFaults() []fault {
	byName := func(f fault) bool {
		return slices.Contains([]string{"entry killed", "entry stopped and started", "new configuration", "target reborn"}, f.name)
	}
	chosen := slices.DeleteFunc(slices.Clone(allFaults), func(f fault) bool { return !byName(f) })
	for range 3 {
		for _, kind := range []runner.Fault{runner.EndlessHead, runner.EndlessChunks, runner.EndlessUntilClose, runner.EndlessRefusal} {
			chosen = append(chosen, sendsWithoutEnd(kind))
		}
	}
	return chosen
}

// sendEndless adds clients to the end of the soak, half of them on connections that they keep.
func (c *callers) sendEndless(seed uint64) {
	for i := range endlessCallers {
		c.done.Add(1)
		kept := &http.Transport{}
		send := c.sendAny
		if i%2 == 0 {
			send = func(random *rand.Rand) {
				e := c.site.anyEntry(random)
				c.sendOn(kept, e, oneOf(random, []string{"stock", "hold", "draft"}), c.newID("endless-", e), random.IntN(12))
			}
		}
		go c.keepSending(c.stop, rand.New(rand.NewPCG(seed, 1<<38+uint64(i))), send)
	}
}

// watchMemory records the most memory that entries have resident until stop is closed.
func (s *site) watchMemory(stop <-chan struct{}) {
	s.residentMB = map[string]int{}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(memoryInterval):
			}
			for _, e := range s.entries {
				mb := residentMB(e.current().cmd.Process.Pid)
				s.mu.Lock()
				s.residentMB[e.name] = max(s.residentMB[e.name], mb)
				s.mu.Unlock()
			}
		}
	}()
}

// residentMB returns the most memory that a process has had resident; 0 if it has ended.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	kb := 0
	_, _ = fmt.Sscan(after, &kb)
	return kb >> 10
}

// judgeMemory adds the entries that exceeded the memory of their VM to what judge reports. With the
// race detector a process takes several times its memory.
func (c *callers) judgeMemory() {
	s := c.site
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("most memory resident, MB: %v of %d", s.residentMB, s.memoryMB)
	if os.Getenv("SOAK_ENTRIES_DIR") == "" {
		return
	}
	for name, mb := range s.residentMB {
		if mb > s.memoryMB {
			c.broken = append(c.broken, fmt.Sprintf("%s had %d MB resident on a VM of %d MB", name, mb, s.memoryMB))
		}
	}
}
