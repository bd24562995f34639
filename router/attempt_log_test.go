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
		err  error
		out  attemptResult
		want string
	}{
		{"believed refusal without an ID", &Response{Status: 503, Conn: conn}, nil, notRun, "i-1 refused status=503 id=missing instance=none conn_earlier=3 conn_age_ms=1200 at_ms=5 for_ms=20"},
		{"believed refusal", &Response{Status: 421, RequestID: "r-1", InstanceID: "i-2", Conn: conn}, nil, notRun, "i-1 refused status=421 id=own instance=i-2 conn_earlier=3 conn_age_ms=1200 at_ms=5 for_ms=20"},
		{"response to another request", &Response{Status: 503, RequestID: "r-2", InstanceID: "i-1"}, nil, unknown, "i-1 unmatched status=503 id=other instance=own conn_earlier=0 conn_age_ms=0 at_ms=5 for_ms=20"},
		{"nothing written", nil, &SendError{Conn: conn}, notRun, "i-1 not_sent written=0 conn_earlier=3 conn_age_ms=1200 at_ms=5 for_ms=20"},
		{"served", &Response{Status: 200, RequestID: "r-1"}, nil, succeeded, "i-1 served status=200 id=own instance=none conn_earlier=0 conn_age_ms=0 at_ms=5 for_ms=20"},
		{"client left", nil, &SendError{Sent: true, Written: 80, Conn: conn}, attemptResult{refused: &refusal.Error{Outcome: refusal.Ran}}, "i-1 aborted written=80 conn_earlier=3 conn_age_ms=1200 at_ms=5 for_ms=20"},
	} {
		record := attemptRecord{target: "i-1", at: 5 * time.Millisecond, took: 20 * time.Millisecond}
		if c.err != nil {
			record.recordSendError(c.err)
		}
		if c.resp != nil {
			record.recordResponse("r-1", c.resp)
		}
		record.recordResult(c.out)
		if got := record.String(); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
