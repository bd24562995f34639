package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"acaciakeel/internal/faultproxy"
	"acaciakeel/internal/standin/kv"
	"acaciakeel/internal/standin/runner"
	"acaciakeel/platform"
)

// Figures of the orders of several holders.
const (
	// ordersSeconds is how long a seed is played.
	ordersSeconds = 20
	// orderLoss is the share of the packets with orders that are lost, queuedShare that of those
	// that wait in a queue. None arrives later than the sender's kernel gives up.
	orderLoss, queuedShare = 0.3, 0.4
	minRetransmission      = 200 * time.Millisecond
	userTimeout            = 1200 * time.Millisecond
	// leaseMS is the bound of the settings within which holders may not take turns, in
	// milliseconds; thawSlack is for how long orders of an entry that was paused don't count.
	leaseMS   = 3000
	thawSlack = 300 * time.Millisecond
	// longestOrderPause bounds the pause between two names of weights.
	longestOrderPause = 700 * time.Millisecond
	// longestRule bounds the pause before most faults, in which the leader gives orders, and
	// longestWait that for its next one.
	longestRule, longestWait = 1500 * time.Millisecond, time.Second
)

// TestSoakOrders guards against orders of a former leader that arrive after the next one's, and
// leaders that take turns, while packets with orders are lost and leaderships end in all ways.
func TestSoakOrders(t *testing.T) {
	seeds := []uint64{1}
	if n := number("SOAK_SEED", 0); n != 0 {
		seeds = []uint64{uint64(n)}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playOrders(t, seed) })
	}
}

func playOrders(t *testing.T, seed uint64) {
	s := newSite(t, number("SOAK_ENTRIES", 3), regression{})
	s.await("all entries are ready at the start", s.allReady)
	h := &holders{site: s, sent: make(chan struct{}), ending: map[*entry]bool{}, thawed: map[string][]time.Time{}}
	h.delayOrders(seed)
	b := &breaker{site: s, random: rand.New(rand.NewPCG(seed, 1<<32)), faults: h.faults()}
	stop := s.nameWithoutEnd(seed)
	b.breakFor(time.Duration(number("SOAK_SECONDS", ordersSeconds)) * time.Second)
	stop()
	h.starts.Wait()
	s.await("all entries are ready after the faults", s.allReady)
	s.await("every runner has the newest weights", s.allLoaded)
	arrivals := 0
	for _, r := range s.runners {
		all := r.OrderArrivals()
		arrivals += len(all)
		for _, v := range h.judge(all) {
			t.Errorf("%s: %s", r.ID, v)
		}
	}
	t.Logf("soak of orders seed=%d orders=%d holders=%d weights=%d faults=%v", seed, arrivals, h.count(), s.weights, b.played)
	if arrivals == 0 {
		t.Error("no order arrived")
	}
}

// delayOrders has packets with orders be lost and wait on their way.
func (h *holders) delayOrders(seed uint64) {
	for i, r := range h.site.runners {
		random := rand.New(rand.NewPCG(seed, 1<<35+uint64(i)))
		r.proxy.DelayPackets(func(packet []byte) time.Duration {
			if !bytes.Contains(packet, []byte(`"holder":`)) {
				return 0
			}
			select {
			case h.sent <- struct{}{}:
			default:
			}
			return orderDelay(random)
		})
	}
}

// orderDelay draws for how long a packet is on its way: it waits in a queue of the network, or TCP
// sends it again after minRetransmission and after twice that each further time, until the sender
// gives up.
func orderDelay(random *rand.Rand) time.Duration {
	if random.Float64() < queuedShare {
		return time.Duration(random.Int64N(int64(userTimeout)))
	}
	total := time.Duration(0)
	for next := minRetransmission; random.Float64() < orderLoss; next *= 2 {
		total += next
	}
	if total > userTimeout {
		return faultproxy.Lost
	}
	return total
}

// awaitOrder waits until an order is on its way, or for a while.
func (h *holders) awaitOrder() {
	select {
	case <-h.sent:
	case <-time.After(longestWait):
	}
}

// nameWithoutEnd names weights one after the other until the returned function is called.
func (s *site) nameWithoutEnd(seed uint64) (stop func()) {
	random := rand.New(rand.NewPCG(seed, 1<<36))
	ended := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		for {
			select {
			case <-time.After(time.Duration(random.Int64N(int64(longestOrderPause)))):
				s.nameWeights()
			case <-ended:
				return
			}
		}
	})
	return func() { close(ended); done.Wait() }
}

// holders ends the holds of the leader lock and judges the orders.
type holders struct {
	site *site
	// sent receives whenever an order is on its way.
	sent chan struct{}
	// starts are the starts of entries that are due.
	starts sync.WaitGroup

	mu sync.Mutex
	// ending are the entries whose process ends or is to be started again.
	ending map[*entry]bool
	// thawed is when each entry went on after a pause.
	thawed map[string][]time.Time
}

// leader returns the entry that holds the lock, or any.
func (h *holders) leader(b *breaker) *entry {
	item, err := platform.NewStore(h.site.server.URL).Get(h.site.t.Context(), "keel/orders")
	for _, e := range h.site.entries {
		if err == nil && strings.HasPrefix(string(item.Value), e.name+"/") {
			return e
		}
	}
	return b.entry()
}

// end ends an entry's process and starts it again after a while, unless it is ending already.
func (h *holders) end(e *entry, s syscall.Signal, restart time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.signal(s)
	if h.ending[e] {
		return
	}
	h.ending[e] = true
	h.starts.Go(func() {
		e.wait()
		time.Sleep(restart)
		h.mu.Lock()
		defer h.mu.Unlock()
		e.start()
		h.ending[e] = false
	})
}

func (h *holders) pause(e *entry, d time.Duration) {
	e.signal(syscall.SIGSTOP)
	time.Sleep(d)
	h.mu.Lock()
	h.thawed[e.name] = append(h.thawed[e.name], time.Now())
	h.mu.Unlock()
	e.signal(syscall.SIGCONT)
}

// faults are those after which a leader may be another one.
func (h *holders) faults() []fault {
	atOnce := func(name string, do func(b *breaker)) fault {
		return fault{name, func(b *breaker) (time.Duration, func()) {
			time.Sleep(b.upTo(longestRule))
			if b.random.IntN(3) > 0 {
				h.awaitOrder()
			}
			do(b)
			return 0, nil
		}}
	}
	storeFault := func(name string, set func(e *entry) (end func())) fault {
		return fault{name, func(b *breaker) (time.Duration, func()) {
			end := set(h.leader(b))
			return b.upTo(3 * time.Second), end
		}}
	}
	stopped := atOnce("holder stopped", func(b *breaker) { h.end(h.leader(b), syscall.SIGTERM, b.upTo(time.Second)) })
	killed := atOnce("holder killed", func(b *breaker) { h.end(h.leader(b), syscall.SIGKILL, b.upTo(2500*time.Millisecond)) })
	leaseEnds := atOnce("lease of holder ends", func(b *breaker) {
		e := h.leader(b)
		e.proxy.SetRefuse(true)
		e.proxy.Cut()
		time.Sleep(leaseMS * time.Millisecond)
		e.proxy.SetRefuse(false)
	})
	return []fault{
		stopped, stopped, stopped, killed, killed,
		atOnce("holder stopped, then killed", func(b *breaker) {
			e := h.leader(b)
			h.end(e, syscall.SIGTERM, b.upTo(time.Second))
			time.Sleep(b.upTo(2500 * time.Millisecond))
			h.end(e, syscall.SIGKILL, b.upTo(time.Second))
		}),
		atOnce("holder paused", func(b *breaker) { h.pause(h.leader(b), b.upTo(2500*time.Millisecond)) }),
		atOnce("holder paused often", func(b *breaker) {
			e := h.leader(b)
			for range 8 {
				h.pause(e, b.upTo(250*time.Millisecond))
				time.Sleep(b.upTo(100 * time.Millisecond))
			}
		}),
		atOnce("holder paused in its stop", func(b *breaker) {
			e := h.leader(b)
			h.end(e, syscall.SIGTERM, b.upTo(time.Second))
			time.Sleep(b.upTo(300 * time.Millisecond))
			h.pause(e, b.upTo(2*time.Second))
		}),
		atOnce("all entries stopped", func(b *breaker) {
			for _, e := range h.site.entries {
				h.end(e, syscall.SIGTERM, b.upTo(time.Second))
				time.Sleep(b.upTo(400 * time.Millisecond))
			}
		}),
		leaseEnds, leaseEnds,
		atOnce("store silent for holder", func(b *breaker) { h.leader(b).proxy.Freeze() }),
		storeFault("store away from holder", func(e *entry) func() {
			e.proxy.SetRefuse(true)
			e.proxy.Cut()
			return func() { e.proxy.SetRefuse(false) }
		}),
		storeFault("store loses answers to holder", func(e *entry) func() {
			e.proxy.SetLoseAnswers(true)
			return func() { e.proxy.SetLoseAnswers(false) }
		}),
		storeFault("store answers late", func(*entry) func() {
			h.site.service.SetFaults(kv.Faults{LateMS: mostLate})
			return func() { h.site.service.SetFaults(kv.Faults{}) }
		}),
	}
}

// isThawing reports whether an entry had been paused until shortly before.
func (h *holders) isThawing(name string, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.thawed[name], func(t time.Time) bool { return !at.Before(t) && at.Sub(t) < thawSlack })
}

// judge returns what was wrong with the orders that arrived at a target.
func (h *holders) judge(arrivals []runner.Arrival) (wrong []string) {
	holderOf := map[int64]string{}
	last := map[string]runner.Arrival{}
	var highest, previous runner.Arrival
	for _, a := range arrivals {
		if h.isThawing(a.Holder, a.At) {
			continue
		}
		if other, ok := holderOf[a.Fence]; ok && other != a.Holder {
			wrong = append(wrong, fmt.Sprintf("orders of %s and %s had the fencing token %d", other, a.Holder, a.Fence))
		}
		if a.Fence < highest.Fence {
			wrong = append(wrong, fmt.Sprintf("an order of %s arrived with fencing token %d (accepted: %v), %v after one of %s with %d", a.Holder, a.Fence, a.Accepted, a.At.Sub(highest.At).Round(time.Millisecond), highest.Holder, highest.Fence))
		} else {
			highest = a
		}
		before, ok := last[a.Holder]
		if between := a.At.Sub(before.At); ok && previous.Holder != a.Holder && between < leaseMS*time.Millisecond {
			wrong = append(wrong, fmt.Sprintf("orders of %s (%d), %s (%d) and %s (%d) arrived within %v", a.Holder, before.Fence, previous.Holder, previous.Fence, a.Holder, a.Fence, between.Round(time.Millisecond)))
		}
		holderOf[a.Fence], last[a.Holder], previous = a.Holder, a, a
	}
	return wrong
}

// count returns how many holds of the lock gave orders.
func (h *holders) count() int {
	fences := map[int64]bool{}
	for _, r := range h.site.runners {
		for _, a := range r.OrderArrivals() {
			fences[a.Fence] = true
		}
	}
	return len(fences)
}
