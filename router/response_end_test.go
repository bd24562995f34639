package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/refusal"
)

// unframedSender sends to targets of which a ends its responses with their connection.
type unframedSender struct {
	silentSender
	body        string
	contentType string
	// confirmed is what a's confirmation returns.
	confirmed error
}

func (s *unframedSender) Send(ctx context.Context, a *Attempt) (*Response, error) {
	response, err := s.silentSender.Send(ctx, a)
	if err == nil && a.Target.ID == "a" {
		response.Framing, response.ContentLength = UntilClose, -1
		response.Body = io.NopCloser(strings.NewReader(s.body))
		response.Header = http.Header{"Content-Type": {s.contentType}}
	}
	return response, err
}

func (s *unframedSender) Confirm(_ context.Context, target fleet.Target) error {
	if target.ID == "a" {
		return s.confirmed
	}
	return nil
}

func (s *unframedSender) Probe(context.Context, fleet.Target) ProbeResult {
	if s.confirmed != nil {
		return NotListening
	}
	return Listening
}

const (
	twoEvents   = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	threeEvents = twoEvents + "id: 3\ndata: z\n\n"
)

// Guards against a response without length or chunks that is taken for complete although its
// target does not say that it still serves, and against one that is refused although it does.
func TestUnframedResponseIsCompleteIfItsTargetServes(t *testing.T) {
	resumable := catalog.Route{Kind: catalog.Stream, Resumable: true, Attempts: 2}
	atMostOnce := catalog.Route{Kind: catalog.Stream, Attempts: 1}
	plain := catalog.Route{Kind: catalog.AtMostOnce, Attempts: 1}
	repeatable := catalog.Route{Kind: catalog.Idempotent, Attempts: 2}
	gone := errors.New("connection refused")
	for _, test := range []struct {
		name      string
		route     catalog.Route
		body      string
		confirmed error
		// want is the outcome of a refusal, "" if the request is served.
		want refusal.Outcome
		got  string
		end  string
	}{
		{"stream, serves", resumable, twoEvents, nil, "", twoEvents, endComplete},
		{"stream, gone", resumable, twoEvents, gone, "", threeEvents, endUnconfirmed},
		{"stream, no answer in time", resumable, twoEvents, context.DeadlineExceeded, "", threeEvents, endUnconfirmed},
		{"stream, inside an event", resumable, twoEvents + "id: 3", nil, "", threeEvents, endInsideEvent},
		{"stream, no event", resumable, "", nil, "", threeEvents, endUnconfirmed},
		{"stream that can't be resumed, serves", atMostOnce, twoEvents, nil, "", twoEvents, endComplete},
		{"stream that can't be resumed, gone", atMostOnce, twoEvents, gone, refusal.Ran, twoEvents, endUnconfirmed},
		{"stream that can't be resumed, no event", atMostOnce, "", nil, refusal.Unknown, "", endUnconfirmed},
		{"plain, serves", plain, "box", nil, "", "box", endComplete},
		{"plain, gone", plain, "bo", gone, refusal.Unknown, "", endUnconfirmed},
		{"plain that may be repeated, gone", repeatable, "bo", gone, "", threeEvents, endUnconfirmed},
	} {
		t.Run(test.name, func(t *testing.T) {
			sender := &unframedSender{body: test.body, contentType: "text/event-stream", confirmed: test.confirmed}
			refused, writer, _, hook := serveAtSilentTarget(t, test.route, sender, ampleRetries)
			if writer.body.String() != test.got || writer.aborted != (test.want == refusal.Ran) {
				t.Errorf("response %q, aborted %v, want %q", writer.body.String(), writer.aborted, test.got)
			}
			if refused == nil && test.want != "" || refused != nil && refused.Outcome != test.want {
				t.Errorf("refused with %+v, want %q", refused, test.want)
			}
			brokeOff := 0
			for _, entry := range hook.AllEntries() {
				if entry.Data["event"] == "broke_off" {
					brokeOff++
				}
				if entry.Data["event"] == "request" && len(sender.sent) == 1 && entry.Data["end"] != test.end {
					t.Errorf("logged end %v, want %s", entry.Data["end"], test.end)
				}
			}
			if want := test.end != endComplete; (brokeOff == 1) != want {
				t.Errorf("%d breaks logged, want one: %v", brokeOff, want)
			}
		})
	}
}

// Guards against bodies without events, of a type of their own, that are taken for truncated
// streams.
func TestBodyOfAnotherTypeIsNoStream(t *testing.T) {
	sender := &unframedSender{body: `{"text":"x"}`, contentType: "application/json; charset=utf-8"}
	refused, writer, _, _ := serveAtSilentTarget(t, catalog.Route{Kind: catalog.Stream, Attempts: 1}, sender, ampleRetries)
	if refused != nil || writer.body.String() != sender.body {
		t.Errorf("response %q, refused with %v", writer.body.String(), refused)
	}
}
