package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"acaciakeel/internal/standin/engine"
	"acaciakeel/resource"
)

// Scenario names what happens during a run.
type Scenario string

// The scenarios of the bench.
const (
	Steady   Scenario = "steady"
	HotShift Scenario = "hot-shift"
	Crash    Scenario = "crash"
	Herd     Scenario = "herd"
	Overload Scenario = "overload"
	Gaps     Scenario = "gaps"
	// Capacity is the run that overload is compared with.
	Capacity Scenario = "capacity"
)

// Bench compares placement policies in one run, with the same requests.
type Bench struct {
	Fleet    Fleet
	Profile  Profile
	Scenario Scenario
	Policies []string
	Seed     uint64
	// Rate is requests a second; Warmup and Measure are the two parts of a run.
	Rate    float64
	Warmup  time.Duration
	Measure time.Duration
	// Preference is used with the policy replaced.
	Preference resource.Preference
	// MarkFile is written when the scenario wants the script to act.
	MarkFile string
	Out      io.Writer
}

// Constants of the scenarios.
const (
	blockTokens  = 16
	gapLoss      = 0.05
	gapDelayMS   = 500
	flooder      = 3
	flooderTimes = 10
	// overloadTimes is the load of the overload, in capacities.
	overloadTimes = 2
	settleAfter   = 900 * time.Millisecond
)

// Run runs every policy and prints a line for each.
func (b *Bench) Run(ctx context.Context) error {
	for _, policy := range b.Policies {
		if b.Scenario == Overload {
			// The same fleet at its capacity and without a flooder, to compare with.
			base := *b
			base.Scenario = Capacity
			if err := base.runPolicy(ctx, policy); err != nil {
				return fmt.Errorf("policy %s at capacity: %w", policy, err)
			}
		}
		if err := b.runPolicy(ctx, policy); err != nil {
			return fmt.Errorf("policy %s: %w", policy, err)
		}
	}
	return nil
}

func (b *Bench) runPolicy(ctx context.Context, policy string) error {
	if err := b.prepare(ctx, policy); err != nil {
		return err
	}
	requests := b.requests()
	retries := b.Fleet.Metric(ctx, "keel_entry_retries_total")
	began := time.Now()
	watch := make(chan watched, 1)
	go func() { watch <- b.act(ctx, began) }()
	outcomes := b.Fleet.Send(ctx, began, requests)
	w := <-watch
	if w.err != nil {
		return w.err
	}
	after, err := b.Fleet.Truth(ctx)
	if err != nil {
		return err
	}
	wasted, err := b.Fleet.Waste(ctx, blockTokens)
	if err != nil {
		return err
	}
	retried := b.Fleet.Metric(ctx, "keel_entry_retries_total") - retries
	b.report(policy, outcomes, report{
		hitRate: hitRate(w.truth, after),
		wasted:  wasted,
		retried: retried,
	})
	return nil
}

// prepare sets the policy and begins with empty engines.
func (b *Bench) prepare(ctx context.Context, policy string) error {
	p := b.Preference
	p.Policy = policy
	if err := b.Fleet.SetPreference(ctx, p); err != nil {
		return err
	}
	faults := `{"event_loss":0,"event_delay_ms":20}`
	if b.Scenario == Gaps {
		faults = fmt.Sprintf(`{"event_loss":%v,"event_delay_ms":%d}`, gapLoss, gapDelayMS)
	}
	for _, step := range [][2]string{{"/admin/faults", faults}, {"/admin/crash", ""}} {
		if err := b.Fleet.each(ctx, step[0], step[1]); err != nil {
			return err
		}
	}
	time.Sleep(settleAfter)
	return b.Fleet.each(ctx, "/admin/reset", "")
}

// requests makes the run's requests, the same for every policy.
func (b *Bench) requests() []Request {
	w := NewWorkload(b.Profile, b.Seed)
	entries := len(b.Fleet.Entries)
	end := b.Warmup + b.Measure
	switch b.Scenario {
	case HotShift:
		first := w.Arrivals(b.Fleet.Model, 0, b.eventAt(), b.Rate, entries)
		w.Shift()
		return append(first, w.Arrivals(b.Fleet.Model, b.eventAt(), end, b.Rate, entries)...)
	case Overload:
		w.profile.Shares = flooded(b.Profile.Shares)
		return w.Arrivals(b.Fleet.Model, 0, end, overloadTimes*b.Rate, entries)
	}
	return w.Arrivals(b.Fleet.Model, 0, end, b.Rate, entries)
}

// flooded returns shares in which one small customer sends ten times its part.
func flooded(shares []float64) []float64 {
	out := append([]float64{}, shares...)
	out[flooder] *= flooderTimes
	sum := 0.0
	for _, s := range out {
		sum += s
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// eventAt is when the scenario's event comes: in the middle of the measured part.
func (b *Bench) eventAt() time.Duration {
	return b.Warmup + b.Measure/2
}

type watched struct {
	truth engine.Truth
	err   error
}

// act reads the engines' counts when the measured part begins, and makes the
// scenario's event happen.
func (b *Bench) act(ctx context.Context, began time.Time) watched {
	time.Sleep(time.Until(began.Add(b.Warmup)))
	truth, err := b.Fleet.Truth(ctx)
	if err != nil {
		return watched{err: err}
	}
	time.Sleep(time.Until(began.Add(b.eventAt())))
	switch b.Scenario {
	case Crash:
		err = post(ctx, b.Fleet.Engines[0]+"/admin/crash", "")
	case Herd:
		err = os.WriteFile(b.MarkFile, []byte("restart the entries\n"), 0o644)
	}
	return watched{truth: truth, err: err}
}

func hitRate(before, after engine.Truth) float64 {
	return float64(after.HitTokens-before.HitTokens) / max(1, float64(after.PromptTokens-before.PromptTokens))
}

type report struct {
	hitRate float64
	wasted  Waste
	retried float64
}

func (b *Bench) report(policy string, outcomes []Outcome, r report) {
	s := Summarize(outcomes, len(b.Fleet.Keys), func(o Outcome) bool { return o.Request.At >= b.Warmup })
	equal := s.Useful[flooder+1:]
	fmt.Fprintf(b.Out, "bench workload=%s scenario=%s policy=%s requests=%d hit_rate=%.4f wasted_tokens=%d ttft_p50_ms=%.1f ttft_p95_ms=%.1f ttft_p99_ms=%.1f refused=%d errors=%d fairness=%.4f retry_ratio=%.4f recomputed_after_eviction=%d\n",
		b.Profile.Name, b.Scenario, policy, s.Requests, r.hitRate, r.wasted.Total,
		millis(s.FirstToken, 50), millis(s.FirstToken, 95), millis(s.FirstToken, 99),
		s.Refused, s.Errors, Jain(equal), 1+r.retried/float64(max(1, len(outcomes))), r.wasted.Again)
	b.timeline(policy, outcomes)
	if b.Scenario == Overload || b.Scenario == Capacity {
		b.overload(policy, outcomes, s)
	}
}

// timeline prints the hit rate of each second around the scenario's event, by
// the engines' answers.
func (b *Bench) timeline(policy string, outcomes []Outcome) {
	if b.Scenario != HotShift && b.Scenario != Crash && b.Scenario != Herd {
		return
	}
	const before, after = 3, 6
	hits, prompts := make([]float64, before+after), make([]float64, before+after)
	for _, o := range outcomes {
		at := (o.Request.At - b.eventAt() + before*time.Second).Seconds()
		if i := int(at); at >= 0 && i < len(hits) && o.Result.Whole {
			hits[i] += float64(o.Result.CachedTokens)
			prompts[i] += float64(o.Result.PromptTokens)
		}
	}
	var seconds []string
	for i := range hits {
		seconds = append(seconds, fmt.Sprintf("%d:%.3f", i-before, hits[i]/max(1, prompts[i])))
	}
	fmt.Fprintf(b.Out, "timeline policy=%s hit_rate_by_second=%s\n", policy, strings.Join(seconds, ","))
}

// overload prints what the customers other than the flooder got.
func (b *Bench) overload(policy string, outcomes []Outcome, all Summary) {
	others := Summarize(outcomes, len(b.Fleet.Keys), func(o Outcome) bool {
		return o.Request.At >= b.Warmup && o.Request.Customer != flooder
	})
	fmt.Fprintf(b.Out, "%s policy=%s useful_per_s=%.1f others_useful=%.4f others_ttft_p99_ms=%.1f refusal_p50_ms=%.1f refusal_p99_ms=%.1f\n",
		b.Scenario, policy, float64(all.Whole)/b.Measure.Seconds(), float64(others.Whole)/float64(max(1, others.Requests)),
		millis(others.FirstToken, 99), millis(all.Refusal, 50), millis(all.Refusal, 99))
}
