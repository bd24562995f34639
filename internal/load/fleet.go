package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciakeel/internal/standin/engine"
	"acaciakeel/operator"
	"acaciakeel/resource"
)

// Fleet is a running deployment, as the load tool sees it.
type Fleet struct {
	Entries     []string
	Engines     []string
	Keys        []string
	OperatorKey string
	Model       string
	Service     string
}

func (f *Fleet) operator() *operator.Client {
	return operator.NewClient(f.Entries[0], f.OperatorKey)
}

// SetPreference replaces the default routing preference and waits until it is
// in force at every process.
func (f *Fleet) SetPreference(ctx context.Context, p resource.Preference) error {
	spec, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode preference: %w", err)
	}
	client := f.operator()
	old, err := client.Get(ctx, resource.KindPreference, resource.DefaultPreference)
	if err != nil {
		return fmt.Errorf("read preference: %w", err)
	}
	r, err := client.Put(ctx, resource.KindPreference, resource.DefaultPreference, operator.Change{Version: old.Version, Spec: spec}, false)
	if err != nil {
		return fmt.Errorf("set preference: %w", err)
	}
	for ctx.Err() == nil {
		s, err := client.Status(ctx)
		if err == nil && inForce(s, r.Version) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ctx.Err()
}

func inForce(s operator.Status, version int64) bool {
	for _, revision := range s.InForce {
		if revision < version {
			return false
		}
	}
	return true
}

// each calls an admin path of every engine.
func (f *Fleet) each(ctx context.Context, path, body string) error {
	for _, url := range f.Engines {
		if err := post(ctx, url+path, body); err != nil {
			return err
		}
	}
	return nil
}

func post(ctx context.Context, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("post %s: %w", url, err)
	}
	return resp.Body.Close()
}

func getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// Truth sums the engines' own counts.
func (f *Fleet) Truth(ctx context.Context) (engine.Truth, error) {
	var sum engine.Truth
	for _, url := range f.Engines {
		var t engine.Truth
		if err := getJSON(ctx, url+"/truth", &t); err != nil {
			return sum, err
		}
		sum.Requests += t.Requests
		sum.PromptTokens += t.PromptTokens
		sum.HitTokens += t.HitTokens
		sum.ComputedTokens += t.ComputedTokens
		sum.ImportedTokens += t.ImportedTokens
		sum.CompletionTokens += t.CompletionTokens
		sum.EventsMade += t.EventsMade
	}
	return sum, nil
}

// Waste is the prompt tokens that were computed more than once.
type Waste struct {
	// Total is all computed less the distinct ones over the whole fleet.
	Total int64
	// Again is the part that an engine had computed before and evicted; the
	// rest was computed at several engines.
	Again int64
}

// Waste returns the fleet's recomputation by the engines' own count.
func (f *Fleet) Waste(ctx context.Context, blockTokens int) (Waste, error) {
	distinct := map[uint64]struct{}{}
	own := 0
	for _, url := range f.Engines {
		var hashes []uint64
		if err := getJSON(ctx, url+"/truth/computed", &hashes); err != nil {
			return Waste{}, err
		}
		own += len(hashes)
		for _, h := range hashes {
			distinct[h] = struct{}{}
		}
	}
	truth, err := f.Truth(ctx)
	if err != nil {
		return Waste{}, err
	}
	return Waste{
		Total: truth.ComputedTokens - int64(len(distinct)*blockTokens),
		Again: truth.ComputedTokens - int64(own*blockTokens),
	}, nil
}

// Metric sums a counter over all entries, label sets included.
func (f *Fleet) Metric(ctx context.Context, name string) float64 {
	sum := 0.0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, url := range f.Entries {
		wg.Go(func() {
			v := scrape(ctx, url, name)
			mu.Lock()
			defer mu.Unlock()
			sum += v
		})
	}
	wg.Wait()
	return sum
}

// scrape returns the sum of a metric at one process; 0 where it is not there.
func scrape(ctx context.Context, url, name string) float64 {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	sum := 0.0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Bytes()
		if !bytes.HasPrefix(line, []byte(name)) {
			continue
		}
		rest := line[len(name):]
		if len(rest) == 0 || (rest[0] != ' ' && rest[0] != '{') {
			continue
		}
		fields := strings.Fields(string(line))
		if v, err := strconv.ParseFloat(fields[len(fields)-1], 64); err == nil {
			sum += v
		}
	}
	return sum
}
