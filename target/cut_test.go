package target

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"acaciakeel/internal/standin/cut"
)

// engineCalls are the calls of an engine whose result others decide on.
var engineCalls = map[string]func(t *testing.T, e *Engine) error{
	"start": func(t *testing.T, e *Engine) error {
		s, err := e.Start(t.Context(), Completion{RequestID: "r"})
		return readStream(s, err)
	},
	"resume": func(t *testing.T, e *Engine) error {
		s, err := e.Resume(t.Context(), "r", 0)
		return readStream(s, err)
	},
	"load":  func(t *testing.T, e *Engine) error { _, err := e.Load(t.Context()); return err },
	"order": func(t *testing.T, e *Engine) error { return e.Order(t.Context(), 1, "v2") },
	"dump":  func(t *testing.T, e *Engine) error { _, err := e.CacheDump(t.Context()); return err },
}

// readStream returns nil if a stream is whole.
func readStream(s *Stream, err error) error {
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		if _, err := s.Next(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// Guards against an engine's answer that ends early and is believed: a stream that seems whole, a
// refusal on which the request is sent elsewhere, an order that seems carried out or refused.
func TestCutAnswersOfEnginesAreNotBelieved(t *testing.T) {
	answers := map[string]string{}
	const body = "{}"
	for _, status := range []int{200, 404, 409, 503} {
		answers[fmt.Sprint(status)] = fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	}
	const stream = "data: {\"offset\":0,\"text\":\"a\"}\n\ndata: [DONE]\n\n"
	answers["stream"] = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(stream), stream)
	for kind, answer := range answers {
		for name, call := range engineCalls {
			if kind == "stream" && name != "start" && name != "resume" {
				continue
			}
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				var cutAt atomic.Int64
				engine := cut.Start(t, func(*http.Request, []byte) cut.Response {
					return cut.Response{Text: answer, Bytes: int(cutAt.Load()), EndsWhole: true, End: cut.Close}
				})
				for n := range answer {
					if kind == "stream" && n >= len(answer)-len("\n\n\r\n0\r\n\r\n") {
						// The end marker has arrived.
						break
					}
					cutAt.Store(int64(n))
					err := engine.Call(func() error { return call(t, NewEngine("http://"+engine.Address)) })
					for _, stated := range []error{nil, ErrNotSent, ErrNotAccepting, ErrStreamNotFound, ErrFenced} {
						if errors.Is(err, stated) {
							t.Errorf("after %d of %d bytes: %v", n, len(answer), err)
						}
					}
				}
			})
		}
	}
}
