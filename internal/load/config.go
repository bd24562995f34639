package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"acaciakeel/platform"
	"acaciakeel/resource"
	"acaciakeel/store"
)

// ConfigBench measures how changes reach the members of a deployment.
type ConfigBench struct {
	Platform string
	// Members are the URLs of processes that only follow.
	Members []string
	Changes int
	// Every is the pause between two changes.
	Every time.Duration
	// Resources is how many resources there are before the first change.
	Resources int
	Out       io.Writer
}

// usage is what the members and the platform have used up to a moment.
type usageCount struct {
	at         time.Time
	calls      float64
	bytes, cpu float64
	resident   float64
}

// Run makes the changes and prints one line.
func (b *ConfigBench) Run(ctx context.Context) error {
	store := platform.NewStore(b.Platform)
	if err := b.fill(ctx, store); err != nil {
		return err
	}
	if err := b.awaitAll(ctx, store); err != nil {
		return err
	}
	before := b.usage(ctx)
	written := map[int64]time.Time{}
	for i := range b.Changes {
		revision, err := write(ctx, store, fmt.Sprintf("changed-%d", i))
		if err != nil {
			return err
		}
		written[revision] = time.Now()
		time.Sleep(b.Every)
	}
	time.Sleep(3 * time.Second)
	after := b.usage(ctx)
	return b.report(ctx, written, before, after)
}

// fill writes the resources that the deployment begins with.
func (b *ConfigBench) fill(ctx context.Context, store store.Store) error {
	for i := range b.Resources {
		if _, err := write(ctx, store, fmt.Sprintf("filler-%d", i)); err != nil {
			return err
		}
	}
	return nil
}

// write stores a resource of about the size of a Target.
func write(ctx context.Context, store store.Store, name string) (int64, error) {
	spec := fmt.Sprintf(`{"idempotent_paths":["/%s/checks","/a/path/that/makes/it/about/as/long/as/a/target","/another/one"]}`, name)
	r := resource.Resource{Kind: resource.KindService, Name: name, ChangeID: name, Author: "bench", Changed: time.Now(), Spec: json.RawMessage(spec)}
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	position, err := store.Put(ctx, resource.Key(r.Kind, name), value, 0, "")
	return int64(position), err
}

// awaitAll waits until every member has all there is.
func (b *ConfigBench) awaitAll(ctx context.Context, store store.Store) error {
	listing, err := store.List(ctx, resource.KeyPrefix)
	if err != nil {
		return err
	}
	for _, url := range b.Members {
		for {
			a, err := applied(ctx, url)
			if err == nil && a.highest() >= int64(listing.Revision) {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("member %s never had revision %d: %w", url, listing.Revision, ctx.Err())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Let the list of VMs settle, so that the carriers are those of the rest of the run.
	time.Sleep(4 * time.Second)
	return nil
}

func applied(ctx context.Context, url string) (Applied, error) {
	var a Applied
	err := getJSON(ctx, url+"/applied", &a)
	return a, err
}

func (a Applied) highest() int64 {
	highest := int64(0)
	for revision := range a.At {
		highest = max(highest, revision)
	}
	return highest
}

// since returns when a revision, or one that includes it, came into force.
func (a Applied) since(revision int64) (time.Time, bool) {
	first := int64(0)
	for r, at := range a.At {
		if r >= revision && (first == 0 || at < first) {
			first = at
		}
	}
	return time.Unix(0, first), first != 0
}

func (b *ConfigBench) usage(ctx context.Context) usageCount {
	u := usageCount{at: time.Now()}
	var stats map[string]float64
	if err := getJSON(ctx, b.Platform+"/stats", &stats); err == nil {
		u.calls = stats["calls"]
	}
	for _, url := range b.Members {
		u.bytes += scrape(ctx, url, "keel_member_link_bytes")
		u.cpu += scrape(ctx, url, "process_cpu_seconds_total")
		u.resident = max(u.resident, scrape(ctx, url, "process_resident_memory_bytes"))
	}
	return u
}

func (b *ConfigBench) report(ctx context.Context, written map[int64]time.Time, before, after usageCount) error {
	latency := newHistogram()
	reverts, missing := 0, 0
	for _, url := range b.Members {
		a, err := applied(ctx, url)
		if err != nil {
			return err
		}
		reverts += a.Reverts
		for revision, at := range written {
			in, ok := a.since(revision)
			if !ok {
				missing++
				continue
			}
			_ = latency.RecordValue(max(lowestMicros, in.Sub(at).Microseconds()))
		}
	}
	seconds := after.at.Sub(before.at).Seconds()
	n := float64(len(b.Members))
	fmt.Fprintf(b.Out, "config processes=%d changes=%d resources=%d p50_ms=%.1f p99_ms=%.1f max_ms=%.1f missing=%d reverts=%d platform_calls_s=%.1f bytes_s_per_process=%.0f cpu_pct_per_process=%.3f resident_mb=%.0f\n",
		len(b.Members), b.Changes, b.Resources, millis(latency, 50), millis(latency, 99), float64(latency.Max())/1000, missing, reverts,
		(after.calls-before.calls)/seconds, (after.bytes-before.bytes)/seconds/n, 100*(after.cpu-before.cpu)/seconds/n, after.resident/1e6)
	return nil
}
