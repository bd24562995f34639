package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"acaciakeel/prefix"
)

var testStart = time.Unix(1000, 0)

// newTestLimiter returns a limiter that has been running for a minute, among the given
// number of processes.
func newTestLimiter(members int) *Limiter {
	b := NewLimiter(Tolerance{Window: 8 * time.Second}, nil, func() bool { return true }, testStart.Add(-time.Minute))
	b.SetMembers(members)
	return b
}

func tokens(n int) Size { return Size{Tokens: n, Known: true} }

func limits(l Limit) map[string]Limit { return map[string]Limit{"c": l} }

// left returns the remaining amount of customer c.
func left(t *testing.T, b *Limiter, now time.Time) float64 {
	t.Helper()
	uses := b.State(now).Customers
	if len(uses) != 1 {
		t.Fatalf("%d customers have limits, want 1", len(uses))
	}
	return uses[0].Remaining
}

// Guards against charging customers for requests that were not executed, and against
// charging once for two executions.
func TestChargeFollowsExecutions(t *testing.T) {
	b := newTestLimiter(1)
	b.SetLimits(limits(Limit{Rate: 100, Burst: 1000, Unit: Tokens}), testStart)
	charge, _, ok := b.Admit("c", tokens(300), testStart)
	if !ok {
		t.Fatal("request within the limit was refused")
	}
	for _, step := range []struct{ ran, left int }{{1, 700}, {2, 400}, {0, 1000}} {
		charge.SetExecutions(step.ran)
		if got := left(t, b, testStart); got != float64(step.left) {
			t.Errorf("after %d executions: %v remaining, want %d", step.ran, got, step.left)
		}
	}
}

// Guards against requests that cost nothing because they do not state their size.
func TestRequestWithoutSizeIsCharged(t *testing.T) {
	l := Limit{Rate: 100, Burst: 1000, Unit: Tokens, DefaultTokens: 200}
	for _, c := range []struct {
		size Size
		want float64
	}{{Size{}, 200}, {tokens(-5), 0}, {tokens(math.MaxInt), maxTokens}, {tokens(7), 7}} {
		if got := l.cost(c.size); got != c.want {
			t.Errorf("%+v costs %v, want %v", c.size, got, c.want)
		}
	}
	l.Unit = Requests
	if got := l.cost(tokens(900)); got != 1 {
		t.Errorf("a request costs %v requests, want 1", got)
	}
}

// Guards against limits with meaningless numbers or units.
func TestInvalidLimitsAreRejected(t *testing.T) {
	good := Limit{Rate: 1, Burst: 2, Unit: Requests}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for _, l := range []Limit{{Rate: -1, Unit: Tokens}, {Burst: math.Inf(1), Unit: Tokens}, {DefaultTokens: math.NaN(), Unit: Tokens}, {Rate: 1, Unit: "words"}, {Rate: 1}} {
		if l.Check() == nil {
			t.Errorf("%+v passed the check", l)
		}
	}
}

// Guards against a full burst at each process after all were killed together.
func TestStartingProcessHasNoBurst(t *testing.T) {
	l := Limit{Rate: 100, Burst: 1000, Unit: Tokens}
	b := NewLimiter(Tolerance{}, nil, func() bool { return true }, testStart)
	b.SetRecentMembers(4)
	b.SetLimits(limits(l), testStart)
	if _, wait, ok := b.Admit("c", tokens(50), testStart); ok || wait < 200*time.Millisecond {
		t.Errorf("admitted %v with nothing saved up, retry after %v", ok, wait)
	}
	// It expects three other processes, which own three quarters of the limit.
	if got := left(t, b, testStart.Add(800*time.Millisecond)); got != 20 {
		t.Errorf("%v remaining after 0.8 s, want a quarter of 80", got)
	}
	b.ApplyPeerUpdate(UsageUpdate{Sender: "old", Uptime: time.Hour, Reports: []UsageReport{{Customer: b.ids["c"], Total: 5000, Level: 600}}}, testStart.Add(800*time.Millisecond))
	if got := left(t, b, testStart.Add(800*time.Millisecond)); got != 600 {
		t.Errorf("%v remaining, want the 600 reported by a process that started earlier", got)
	}
}

// Guards against limits that each process grants on its own.
func TestPeerUsageCounts(t *testing.T) {
	a, b := newTestLimiter(2), newTestLimiter(2)
	l := Limit{Rate: 100, Burst: 1000, Unit: Tokens}
	a.SetLimits(limits(l), testStart)
	b.SetLimits(limits(l), testStart)
	send := func(from, to *Limiter, name string, now time.Time) {
		n := from.PeerUpdate(now)
		n.Sender = name
		to.ApplyPeerUpdate(n, now)
	}
	send(a, b, "a", testStart)
	send(b, a, "b", testStart)
	a.Admit("c", tokens(900), testStart)
	send(a, b, "a", testStart)
	if got := left(t, b, testStart); got != 100 {
		t.Errorf("%v remaining at the peer, want 100", got)
	}
	b.Admit("c", tokens(400), testStart)
	send(b, a, "b", testStart)
	if _, _, ok := a.Admit("c", tokens(1), testStart); ok {
		t.Error("admitted although the peer has used the rest")
	}
}

// Guards against usage that is never counted because a datagram was lost.
func TestLostUpdatesAreRecovered(t *testing.T) {
	a, b := newTestLimiter(2), newTestLimiter(2)
	for _, limiter := range []*Limiter{a, b} {
		limiter.SetLimits(limits(Limit{Rate: 100, Burst: 1000, Unit: Tokens}), testStart)
	}
	update := func(at time.Duration) UsageUpdate {
		n := a.PeerUpdate(testStart.Add(at))
		n.Sender = "a"
		return n
	}
	b.ApplyPeerUpdate(update(0), testStart)
	a.Admit("c", tokens(300), testStart)
	b.ApplyPeerUpdate(update(100*time.Millisecond), testStart.Add(100*time.Millisecond))
	a.Admit("c", tokens(200), testStart.Add(200*time.Millisecond))
	update(200 * time.Millisecond) // lost
	a.Admit("c", tokens(200), testStart.Add(300*time.Millisecond))
	b.ApplyPeerUpdate(update(300*time.Millisecond), testStart.Add(300*time.Millisecond))
	if got := left(t, b, testStart.Add(300*time.Millisecond)); got != 320 {
		t.Errorf("%v remaining, want 1000 less 700, plus 20 accrued since the first update", got)
	}
}

// Guards against a lowered limit that starts with the burst of the former one, or that
// blocks the customer for long because of earlier usage.
func TestChangedLimits(t *testing.T) {
	b := newTestLimiter(1)
	b.SetLimits(limits(Limit{Rate: 1000, Burst: 1000, Unit: Tokens}), testStart)
	b.Admit("c", tokens(1200), testStart)
	b.SetLimits(limits(Limit{Rate: 100, Burst: 100, Unit: Tokens}), testStart)
	if got := left(t, b, testStart); got != -20 {
		t.Errorf("%v remaining under a tenth of the limit, want a tenth of -200", got)
	}
	b.SetLimits(nil, testStart)
	if _, _, ok := b.Admit("c", tokens(1e6), testStart); !ok {
		t.Error("request without a limit was refused")
	}
}

// Guards against a partition that also uses the other processes' share of a limit.
func TestUnreachableProcessesKeepTheirShare(t *testing.T) {
	hasLease := true
	b := NewLimiter(Tolerance{}, nil, func() bool { return hasLease }, testStart.Add(-time.Minute))
	b.SetMembers(4)
	b.SetLimits(limits(Limit{Rate: 100, Burst: 1000, Unit: Tokens}), testStart)
	fraction := func() float64 { return b.State(testStart.Add(time.Second)).LimitFraction }
	if got := fraction(); got != 0.25 {
		t.Errorf("one of four reachable: fraction %v, want 0.25", got)
	}
	hasLease = false
	if got := fraction(); got != 0 {
		t.Errorf("one of four reachable without a lease: fraction %v, want 0", got)
	}
	b.ApplyPeerUpdate(UsageUpdate{Sender: "x"}, testStart.Add(time.Second))
	if got := fraction(); got != 0.5 {
		t.Errorf("two of four reachable without a lease: fraction %v, want 0.5", got)
	}
}

// Guards against operators who can't see which customers are over their limits.
func TestChangesReportOverLimit(t *testing.T) {
	b := newTestLimiter(1)
	b.SetLimits(limits(Limit{Rate: 10, Burst: 10, Unit: Requests}), testStart)
	for range 12 {
		b.Admit("c", Size{}, testStart)
	}
	got := b.Changes(testStart)
	if len(got) != 1 || !got[0].Over || got[0].Customer != "c" {
		t.Fatalf("changes %+v", got)
	}
	if got = b.Changes(testStart.Add(overLimitHold + time.Second)); len(got) != 1 || got[0].Over {
		t.Errorf("changes after the customer is within its limit: %+v", got)
	}
}

// Guards against a limit without a burst that admits nothing, and against a change of unit
// while totals in the former unit are in flight.
func TestLimitChangesDoNotBlockCustomers(t *testing.T) {
	b := newTestLimiter(1)
	b.SetLimits(limits(Limit{Rate: 10, Unit: Requests}), testStart)
	if _, _, ok := b.Admit("c", Size{}, testStart.Add(time.Second)); !ok {
		t.Error("a limit of 10 requests per second without a burst admits nothing")
	}
	b.ApplyPeerUpdate(UsageUpdate{Sender: "x", Reports: []UsageReport{{Customer: b.ids["c"], Total: 90_000, Increase: 90_000}}}, testStart.Add(time.Second))
	if _, _, ok := b.Admit("c", Size{}, testStart.Add(3*time.Second)); !ok {
		t.Error("usage in the former unit blocks the customer for hours")
	}
}

// Guards against a retry time that is far too long: usage that peers may not have reported
// yet does not block a process's own slice.
func TestRetryAfterFollowsSlice(t *testing.T) {
	b := newTestLimiter(2)
	b.Stagger(1000, rand.New(rand.NewPCG(1, 1)))
	b.SetLimits(limits(Limit{Rate: 1000, Burst: 1000, Unit: Tokens}), testStart)
	other := UsageUpdate{Sender: "other", Uptime: time.Minute, Processes: 1, Reports: []UsageReport{{Customer: prefix.NameHash("c"), Demand: 50_000}}}
	one, now := tokens(1000), testStart
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		b.ApplyPeerUpdate(other, now)
		if b.CanAdmit("c", one, now) {
			b.Consume("c", one, now)
		}
	}
	wait := b.RetryAfter("c", one, now)
	if wait <= 0 || wait >= maxRetryAfter {
		t.Fatalf("retry after %v", wait)
	}
	available, at := false, now
	for end := now.Add(wait + time.Second); !available && at.Before(end); at = at.Add(50 * time.Millisecond) {
		b.ApplyPeerUpdate(other, at)
		available = b.CanAdmit("c", one, at)
	}
	if took := at.Sub(now); !available || took < wait/2 {
		t.Errorf("retry after %v, but room after %v (%v)", wait, took, available)
	}
}
