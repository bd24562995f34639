package rollout

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"acaciakeel/fleet"
)

// loadingRunners are runners that carry out orders, some of which respond to nothing for
// a while.
type loadingRunners struct {
	mu       sync.Mutex
	loadTime time.Duration
	// silentFrom and silentUntil are the times between which runners do not respond.
	silentFrom, silentUntil map[string]time.Time
	loadedAt                map[string]time.Time
	orderedAt               map[string]time.Time
	reports                 map[string]int
	// reportsOfLoaded counts the reports of runners that have loaded the weights.
	reportsOfLoaded map[string]int
	// pauseBefore and pauseAfter are for how long the controller's goroutine is suspended
	// before and after it reads the runners.
	pauseBefore, pauseAfter time.Duration
}

func newLoadingRunners(loadTime time.Duration) *loadingRunners {
	return &loadingRunners{loadTime: loadTime, silentFrom: map[string]time.Time{}, silentUntil: map[string]time.Time{}, loadedAt: map[string]time.Time{}, orderedAt: map[string]time.Time{}, reports: map[string]int{}, reportsOfLoaded: map[string]int{}}
}

func (l *loadingRunners) silent(id string, now time.Time) bool {
	from, ok := l.silentFrom[id]
	until, recovers := l.silentUntil[id]
	return ok && !now.Before(from) && (!recovers || now.Before(until))
}

// await blocks until ctx ends if the runner does not respond.
func (l *loadingRunners) await(ctx context.Context, id string) error {
	l.mu.Lock()
	silent := l.silent(id, time.Now())
	l.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (l *loadingRunners) Report(ctx context.Context, of fleet.Target) (fleet.Status, error) {
	l.mu.Lock()
	l.reports[of.ID]++
	l.mu.Unlock()
	// The platform's client bounds its calls.
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := l.await(ctx, of.ID); err != nil {
		return fleet.Status{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := fleet.Status{Weights: map[string]int64{"m": 1}}
	if at, ok := l.orderedAt[of.ID]; ok {
		s.AcceptedOrders = 1
		s.Busy = time.Since(at) < l.loadTime
		if !s.Busy {
			s.Weights["m"] = 2
			l.reportsOfLoaded[of.ID]++
		}
	}
	return s, nil
}

func (l *loadingRunners) Order(ctx context.Context, o fleet.Order) (fleet.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := l.await(ctx, o.Target.ID); err != nil {
		return fleet.OrderLost, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.orderedAt[o.Target.ID]; ok || o.ExpectedOrders != 0 {
		return fleet.OrderConflict, nil
	}
	l.orderedAt[o.Target.ID] = time.Now()
	time.AfterFunc(l.loadTime, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.loadedAt[o.Target.ID] = time.Now()
	})
	return fleet.OrderAccepted, nil
}

// runRollout runs a rollout to n runners for a time. Each runner has so many long runs
// that can't be resumed elsewhere, for which its order waits first.
func runRollout(t *testing.T, runners *loadingRunners, n, longRuns int, duration time.Duration) {
	f := fleet.New("z")
	for i := range n {
		r := fleet.Target{ID: fmt.Sprintf("r%03d", i), Service: "lm", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 32, Weights: map[string]int64{"m": 1}}
		f.Put(r)
		for range longRuns {
			f.Begin(r.Instance(), fleet.RequestLoad{Long: true}, time.Now())
		}
	}
	f.RecordDesired("m", 2, time.Now(), false)
	c := NewController("n", Config{Leadership: alwaysLeader{}, Client: runners, Fleet: f, Services: modelOfLM, Notify: func() {}}, discardLogger())
	c.targets = func(service string) []fleet.Target {
		time.Sleep(runners.pauseBefore)
		targets := f.Targets(service)
		time.Sleep(runners.pauseAfter)
		return targets
	}
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	c.Run(ctx)
	synctest.Wait()
}

// lastLoad returns when the last of the responsive runners had loaded.
func (l *loadingRunners) lastLoad(t *testing.T, n int, start time.Time) time.Duration {
	last := time.Duration(0)
	for i := range n {
		id := fmt.Sprintf("r%03d", i)
		if _, silent := l.silentFrom[id]; silent {
			continue
		}
		at, ok := l.loadedAt[id]
		if !ok {
			t.Fatalf("responsive runner %s never loaded", id)
		}
		last = max(last, at.Sub(start))
	}
	return last
}

// checkOneOrder fails the test if a runner that reported that it has the weights was asked
// again.
func (l *loadingRunners) checkOneOrder(t *testing.T) {
	for id, n := range l.reportsOfLoaded {
		if n > 1 {
			t.Errorf("runner %s was asked %d times after it had loaded the weights, want once", id, n)
		}
	}
}

// Guards against planning an order for a runner whose load ends while the controller plans: it
// took a slot, for 1.2 s of clearing where long runs counted there.
func TestNoOrderToLoadedRunner(t *testing.T) {
	for _, n := range []int{8, 42, 225} {
		for _, pause := range [][2]time.Duration{{0, time.Nanosecond}, {time.Nanosecond, 0}, {0, time.Millisecond}, {0, 120 * time.Millisecond}, {50 * time.Millisecond, 50 * time.Millisecond}} {
			t.Run(fmt.Sprint(n, " ", pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					start, runners := time.Now(), newLoadingRunners(2*time.Second)
					runners.pauseBefore, runners.pauseAfter = pause[0], pause[1]
					runRollout(t, runners, n, 1, 60*time.Second)
					t.Logf("%d runners loaded after %v", n, runners.lastLoad(t, n, start))
					runners.checkOneOrder(t)
				})
			})
		}
	}
}

// Guards against unresponsive runners in rollout slots: 14 of 56 became unresponsive half
// a second before the announcement, each kept its slot for more than 6 s, and from 6.5 to
// 9.4 s no order was sent.
func TestUnresponsiveRunnersTakeNoSlot(t *testing.T) {
	// Each slot may be lost once for one unanswered request; the first reports of all
	// unresponsive runners take at most two rounds here.
	const maxDelay = 2*reportTimeout + reconcileInterval
	for _, test := range []struct {
		n           int
		silentAfter time.Duration
	}{{56, -500 * time.Millisecond}, {56, 0}, {56, 5 * time.Second}, {300, -500 * time.Millisecond}} {
		t.Run(fmt.Sprint(test.n, " ", test.silentAfter), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				responsive := test.n - test.n/4
				alone := newLoadingRunners(2 * time.Second)
				start := time.Now()
				runRollout(t, alone, responsive, 1, 60*time.Second)
				want := alone.lastLoad(t, responsive, start)
				runners := newLoadingRunners(2 * time.Second)
				start = time.Now()
				for i := range test.n / 4 {
					// These are the first in the order of the plan.
					runners.silentFrom[fmt.Sprintf("r%03d", i)] = start.Add(test.silentAfter)
				}
				runRollout(t, runners, test.n, 1, 60*time.Second)
				got := runners.lastLoad(t, test.n, start)
				t.Logf("%d responsive runners loaded after %v, after %v with %d unresponsive ones", responsive, want, got, test.n/4)
				alone.checkOneOrder(t)
				runners.checkOneOrder(t)
				limit := want + maxDelay
				if test.silentAfter > 0 {
					// Until then they took slots as responsive runners do. Those with an order
					// keep theirs for the first poll delay and two polls without an answer.
					limit += test.silentAfter - longRunGrace + firstPollDelay + missedPolls*reportTimeout + pollInterval
				}
				if got > limit {
					t.Errorf("responsive runners loaded after %v, want at most %v", got, limit)
				}
			})
		})
	}
}

// Guards against a runner that recovers and waits for its order, and against many requests
// to one that does not.
func TestRecoveredRunnerGetsItsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runners := newLoadingRunners(time.Second)
		start := time.Now()
		recovery := start.Add(10 * time.Second)
		for _, id := range []string{"r000", "r001", "r002"} {
			runners.silentFrom[id], runners.silentUntil[id] = start, recovery
		}
		runRollout(t, runners, 8, 0, 15*time.Second)
		for _, id := range []string{"r000", "r001", "r002"} {
			if at := runners.orderedAt[id]; at.Before(recovery) || at.Sub(recovery) > 1200*time.Millisecond {
				t.Errorf("runner %s recovered after %v and got its order after %v", id, recovery.Sub(start), at.Sub(start))
			}
			if n := runners.reports[id]; n > 25 {
				t.Errorf("runner %s got %d requests for its report, want at most 25", id, n)
			}
		}
	})
}

// Guards against a second order to a runner that accepted one and did not respond for a
// while: the first one may still be carried out.
func TestRunnerUnresponsiveDuringLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runners := newLoadingRunners(time.Second)
		start := time.Now()
		runners.silentFrom["r000"], runners.silentUntil["r000"] = start.Add(200*time.Millisecond), start.Add(5*time.Second)
		runRollout(t, runners, 2, 0, 10*time.Second)
		if at := runners.loadedAt["r000"]; at.Sub(start) > 1100*time.Millisecond {
			t.Errorf("the order was carried out again, at %v", at.Sub(start))
		}
	})
}

// Guards against an unresponsive runner that a report of other processes keeps without an
// order though it answers this one.
func TestOwnAnswerOutweighsReports(t *testing.T) {
	c := newContacts()
	l, now := fleet.Instance{ID: "r", Born: 1}, time.Unix(0, 0)
	if !c.unresponsive(l, true, now) || c.unresponsive(l, false, now) {
		t.Error("without own requests the reports of the others are ignored")
	}
	c.recordAnswer(l, now)
	if c.unresponsive(l, true, now.Add(contactValidity-1)) {
		t.Error("a recent answer is outweighed by reports")
	}
	if !c.unresponsive(l, true, now.Add(contactValidity)) {
		t.Error("an old answer outweighs reports")
	}
	c.recordFailure(l, now)
	if !c.unresponsive(l, false, now) {
		t.Error("an unanswered request is ignored")
	}
	if c.unresponsive(fleet.Instance{ID: "r", Born: 2}, false, now) {
		t.Error("the failure of a former instance applies to its successor")
	}
}

// misdirectingClient refuses reports, or orders, in another runner's name.
type misdirectingClient struct {
	recordingClient
	reports bool
}

func (c *misdirectingClient) Report(ctx context.Context, of fleet.Target) (fleet.Status, error) {
	if c.reports {
		return fleet.Status{}, fmt.Errorf("report: %w", fleet.ErrTargetReplaced)
	}
	return c.recordingClient.Report(ctx, of)
}

func (c *misdirectingClient) Order(ctx context.Context, o fleet.Order) (fleet.OrderResult, error) {
	_, _ = c.recordingClient.Order(ctx, o)
	return fleet.OrderMisdirected, nil
}

// holderRecorder records the IDs that it is asked for.
type holderRecorder struct{ asked []string }

func (h *holderRecorder) AskHolder(_ context.Context, _, id string) (fleet.HolderAnswer, error) {
	h.asked = append(h.asked, id)
	return fleet.HolderAnswer{}, nil
}

// Guards against a runner that ends by the refusal of a call in another's name, and against one that
// is not checked after it.
func TestMisdirectedCallEndsNoRunner(t *testing.T) {
	for name, client := range map[string]*misdirectingClient{"report": {reports: true}, "order": {}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New("z")
				r := fleet.Target{ID: "r", Service: "lm", Address: "r:1", Slots: 8, Weights: map[string]int64{"m": 1}}
				f.Put(r)
				f.RecordDesired("m", 2, time.Now(), false)
				c := NewController("n", Config{Leadership: alwaysLeader{}, Client: client, Fleet: f, Notify: func() {}}, discardLogger())
				c.updateRunner(t.Context(), Decision{Runner: r}, "m", 2)
				if !f.IsCurrent(r.Instance()) {
					t.Error("the runner has ended")
				}
				if in := c.planInput("m", 2, []string{"lm"}); !in.Unresponsive["r"] {
					t.Error("the runner takes a slot")
				}
				asker := &holderRecorder{}
				ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
				defer cancel()
				fleet.NewReplacementChecker(f, asker, func(fleet.ReplacementResult) {}).Run(ctx)
				if len(asker.asked) != 1 || asker.asked[0] != "r" {
					t.Errorf("asked for %v, want r", asker.asked)
				}
			})
		})
	}
}
