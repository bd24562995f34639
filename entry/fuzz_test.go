package entry

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"acaciakeel/refusal"
)

// Any request body must give a typed refusal or a valid request, never a panic.
func FuzzDecodeChat(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":3}`)
	f.Add(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`)
	f.Add(`{"messages":[{"content":7}]}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, body string) {
		decoded, err := decodeChat(context.Background(), httptest.NewRequest("POST", "/", strings.NewReader(body)))
		if err != nil {
			var refused *refusal.Error
			if !errors.As(err, &refused) || refused.Outcome != refusal.NotRun || refused.Remedy == "" {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		c := decoded.(*completionRequest)
		if len(c.prompt.Ends) == 0 || c.prompt.Ends[len(c.prompt.Ends)-1] > len(c.prompt.Text) {
			t.Fatalf("prompt of %d bytes ends at %v", len(c.prompt.Text), c.prompt.Ends)
		}
	})
}

// Guards against event ids that do not survive a round trip through String and parse.
func FuzzResumePoint(f *testing.F) {
	f.Add("id/1/runner-0/0/5")
	f.Add("////")
	f.Fuzz(func(t *testing.T, id string) {
		p, err := parseResumePoint(id)
		if err != nil {
			return
		}
		again, err := parseResumePoint(p.String())
		if err != nil || again != p {
			t.Fatalf("%q reads as %+v, then as %+v, %v", id, p, again, err)
		}
	})
}

func TestResumePoint(t *testing.T) {
	p := resumePoint{requestID: "r", attempt: 2, target: "runner-1", base: 7, offset: 9}
	if got, err := parseResumePoint(p.String()); err != nil || got != p {
		t.Errorf("%+v, %v", got, err)
	}
	for _, bad := range []string{"", "a/b", "r/x/t/0/0", "r/1/t/0"} {
		if _, err := parseResumePoint(bad); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}
