package router

import (
	"testing"
	"time"

	"acaciakeel/refusal"
	"acaciakeel/retry"
)

// The log line of a request tells apart why the entry took it for not run, and what it was told by
// whom.
func TestAttemptsInLogLine(t *testing.T) {
	notRun := attemptResult{refused: refusal.New(refusal.QueueFull, "", ""), reason: retry.TargetUnavailable}
	unknown := attemptResult{refused: &refusal.Error{Outcome: refusal.Unknown}, reason: retry.Unmatched}
	conn := ConnUse{Earlier: 3, Age: 1200 * time.Millisecond}
	for _, c := range []struct {
		name string
		resp *Response
		out  attemptResult
		want string
	}{
		{"believed refusal without an ID", &Response{Status: 503, Conn: conn}, notRun, "i-1 refused status=503 id=missing instance=none conn_earlier=3 conn_age_ms=1200"},
		{"believed refusal", &Response{Status: 421, RequestID: "r-1", InstanceID: "i-2", Conn: conn}, notRun, "i-1 refused status=421 id=own instance=i-2 conn_earlier=3 conn_age_ms=1200"},
		{"response to another request", &Response{Status: 503, RequestID: "r-2", InstanceID: "i-1"}, unknown, "i-1 unmatched status=503 id=other instance=own conn_earlier=0 conn_age_ms=0"},
		{"nothing written", nil, notRun, "i-1 not_sent"},
		{"served", &Response{Status: 200, RequestID: "r-1"}, succeeded, "i-1 served status=200 id=own instance=none conn_earlier=0 conn_age_ms=0"},
		{"client left", nil, attemptResult{refused: &refusal.Error{Outcome: refusal.Ran}}, "i-1 aborted"},
	} {
		record := attemptRecord{target: "i-1"}
		if c.resp != nil {
			record.recordResponse("r-1", c.resp)
		}
		record.recordResult(c.out)
		if got := record.String(); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
