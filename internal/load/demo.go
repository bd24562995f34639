package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
)

// Demo is the main job in a few requests, each with its check.
type Demo struct {
	Entries []string
	Key     string
	Model   string
	Service string
	// ServiceTruth is where the plain service tells how often each call ran.
	ServiceTruth string
	Out          io.Writer
}

// demoAnswer is how many tokens each answer of the demo has.
const demoAnswer = 24

// Run sends the requests and returns an error for the first check that fails.
func (d *Demo) Run(ctx context.Context) error {
	steps := []func(context.Context) error{d.chats, d.hold, d.badInput}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	fmt.Fprintln(d.Out, "demo: every check held")
	return nil
}

func (d *Demo) check(ok bool, format string, args ...any) error {
	line := fmt.Sprintf(format, args...)
	if !ok {
		return fmt.Errorf("check failed: %s", line)
	}
	fmt.Fprintln(d.Out, "ok  ", line)
	return nil
}

func (d *Demo) chats(ctx context.Context) error {
	first := NewClient(d.Entries[0], d.Key)
	second := NewClient(d.Entries[len(d.Entries)-1], d.Key)
	w := NewWorkload(Profiles()["lanzani"], uint64(uuid.New().ID()))
	w.profile.CallShare = 0
	r := w.Next(d.Model, 0, 1)
	r.Chat.MaxTokens = demoAnswer
	cold := first.Chat(ctx, *r.Chat, "")
	if err := d.check(cold.Whole && cold.Err == nil, "a streamed chat came whole: prompt=%d cached=%d first_token=%v (%s %v)",
		cold.PromptTokens, cold.CachedTokens, cold.FirstToken, cold.Code, cold.Err); err != nil {
		return err
	}
	r.Chat.Messages[len(r.Chat.Messages)-1].Content = "another question about the same file"
	warm := second.Chat(ctx, *r.Chat, "")
	return d.check(warm.Whole && warm.CachedTokens > cold.PromptTokens/2,
		"the same long prefix through the other entry hit the cache: prompt=%d cached=%d first_token=%v",
		warm.PromptTokens, warm.CachedTokens, warm.FirstToken)
}

func (d *Demo) hold(ctx context.Context) error {
	key := uuid.NewString()
	body := "box-" + key
	for i, entry := range []string{d.Entries[0], d.Entries[len(d.Entries)-1]} {
		r := NewClient(entry, d.Key).Call(ctx, d.Service, "/holds", body, key)
		if err := d.check(r.Status == http.StatusOK && r.Replayed == (i > 0),
			"a hold with one key, try %d: status=%d replayed=%v (%s)", i+1, r.Status, r.Replayed, r.Code); err != nil {
			return err
		}
	}
	runs, err := d.runs(ctx, body)
	if err != nil {
		return err
	}
	return d.check(runs == 1, "the service ran the hold %d time(s)", runs)
}

func (d *Demo) runs(ctx context.Context, body string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.ServiceTruth, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var truth map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&truth); err != nil {
		return 0, err
	}
	runs := 0
	for call, n := range truth {
		if strings.HasSuffix(call, body) {
			runs += n
		}
	}
	return runs, nil
}

func (d *Demo) badInput(ctx context.Context) error {
	r := NewClient(d.Entries[0], "no such key").Chat(ctx, Chat{Model: d.Model}, "")
	if err := d.check(r.Status == http.StatusUnauthorized && r.Outcome == "not_run", "a wrong key is refused: status=%d code=%s", r.Status, r.Code); err != nil {
		return err
	}
	r = NewClient(d.Entries[0], d.Key).Chat(ctx, Chat{Model: "no-such-model", Messages: []Message{{Role: "user", Content: "hello"}}}, "")
	return d.check(r.Status == http.StatusNotFound && r.Code == "unknown_model", "an unknown model is refused: status=%d code=%s", r.Status, r.Code)
}
