package integration

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Bad input of every kind must be refused with a typed error that says "not
// run" and the remedy, and nothing may run.
func TestBadInput(t *testing.T) {
	f := newFleet(t, fleetOptions{services: 1, entries: 1})
	good := "Bearer " + customerKey(0)
	for _, test := range []struct {
		name, method, path, auth, body string
		status                         int
		code                           string
	}{
		{"malformed JSON", "POST", "/v1/chat/completions", good, `{"model":`, 400, "bad_request"},
		{"no messages", "POST", "/v1/chat/completions", good, `{"model":"catalogue"}`, 400, "bad_request"},
		{"an image", "POST", "/v1/chat/completions", good, `{"model":"catalogue","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 400, "bad_request"},
		{"too many tokens", "POST", "/v1/completions", good, `{"model":"catalogue","prompt":"x","max_tokens":99999}`, 400, "bad_request"},
		{"unknown model", "POST", "/v1/completions", good, `{"model":"none","prompt":"x"}`, 404, "unknown_model"},
		{"unknown adapter", "POST", "/v1/completions", good, `{"model":"catalogue:none","prompt":"x"}`, 404, "unknown_model"},
		{"no runner", "POST", "/v1/completions", good, `{"model":"catalogue","prompt":"x"}`, 503, "no_target"},
		{"wrong key", "POST", "/v1/completions", "Bearer wrong", `{"model":"catalogue","prompt":"x"}`, 401, "unauthorized"},
		{"no key", "POST", "/v1/completions", "", `{"model":"catalogue","prompt":"x"}`, 401, "unauthorized"},
		{"a body over the limit", "POST", "/v1/completions", good, `{"model":"` + strings.Repeat("x", 9<<20) + `"}`, 413, "body_too_large"},
		{"unknown service", "POST", "/services/none/holds", good, `x`, 404, "unknown_service"},
		{"a key that is too long", "POST", "/services/cart/holds?long", good, `x`, 400, "bad_request"},
		{"a customer's key at the resource API", "GET", "/api/v1/resources/target", good, ``, 401, "unauthorized"},
		{"unknown kind", "GET", "/api/v1/resources/thing", "Bearer " + operatorKey, ``, 400, "bad_request"},
		{"a bad resource", "PUT", "/api/v1/resources/model/m", "Bearer " + operatorKey, `{"spec":{"weights_version":7}}`, 422, "invalid_resource"},
		{"a resource in use", "DELETE", "/api/v1/resources/service/cart?version=1", "Bearer " + operatorKey, ``, 422, "invalid_resource"},
		{"a stale version", "PUT", "/api/v1/resources/model/catalogue", "Bearer " + operatorKey, `{"version":1,"change_id":"x","spec":{"weights_version":"v9"}}`, 409, "conflict"},
	} {
		t.Run(test.name, func(t *testing.T) {
			req, err := http.NewRequest(test.method, f.direct("entry-0")+test.path, strings.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", test.auth)
			if strings.Contains(test.path, "long") {
				req.Header.Set("Idempotency-Key", strings.Repeat("k", 300))
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != test.status || !strings.Contains(string(body), `"code":"`+test.code+`"`) {
				t.Errorf("status %d: %s", resp.StatusCode, body)
			}
			if !strings.Contains(string(body), `"outcome":"not_run"`) || !strings.Contains(string(body), ";") {
				t.Errorf("the refusal does not say that nothing ran, or names no remedy: %s", body)
			}
		})
	}
	if n := f.runs("x"); n != 0 {
		t.Errorf("%d calls ran", n)
	}
	if n := f.counter("entry-0", "keel_entry_refusals_total"); n < 15 {
		t.Errorf("%v refusals were counted", n)
	}
}
