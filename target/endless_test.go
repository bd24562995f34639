package target

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciakeel/cache"
	"acaciakeel/internal/standin/endless"
)

// Limits of the bytes of a call's response, with what the buffers of the HTTP library add.
const (
	testHeaderBytes = 64 << 10
	testReportBytes = 256 << 10
	testDumpBytes   = 16 << 20
	testEventBytes  = 1 << 20
	testAnswerBytes = 4 << 20
	testBufferBytes = 16 << 10
	testCallTimeout = time.Second
)

// endlessCall is a call of a target.
type endlessCall struct {
	name string
	// bodyBytes is how much of the body of a response with status 200 may be read, and bodyStart
	// how the endless part of that begins.
	bodyBytes int64
	bodyStart string
	run       func(ctx context.Context, e *Engine, s *Service) error
}

func endlessCalls() []endlessCall {
	const jsonStart, lineStart = `{"x":"`, "data: "
	readStream := func(s *Stream, err error) error {
		if err != nil {
			return err
		}
		defer s.Close()
		_, err = s.Next()
		return err
	}
	return []endlessCall{
		{"load", testReportBytes, jsonStart, func(ctx context.Context, e *Engine, _ *Service) error { _, err := e.Load(ctx); return err }},
		{"cache_dump", testDumpBytes, jsonStart, func(ctx context.Context, e *Engine, _ *Service) error { _, err := e.CacheDump(ctx); return err }},
		{"cache_events", testEventBytes, jsonStart, func(ctx context.Context, e *Engine, _ *Service) error {
			return e.CacheEvents(ctx, 0, func(cache.Event) {})
		}},
		{"order", testReportBytes, jsonStart, func(ctx context.Context, e *Engine, _ *Service) error { return e.Order(ctx, 1, "w") }},
		{"lookup", testReportBytes, jsonStart, func(ctx context.Context, e *Engine, _ *Service) error {
			_, err := e.Lookup(ctx, nil, nil)
			return err
		}},
		{"start", testEventBytes, lineStart, func(ctx context.Context, e *Engine, _ *Service) error {
			return readStream(e.Start(ctx, Completion{}))
		}},
		{"resume", testEventBytes, lineStart, func(ctx context.Context, e *Engine, _ *Service) error {
			return readStream(e.Resume(ctx, "id", 0))
		}},
		{"service", testAnswerBytes, jsonStart, func(ctx context.Context, _ *Engine, s *Service) error {
			_, err := s.Do(ctx, Call{RequestID: "id", Method: http.MethodPost, Path: "/"})
			return err
		}},
	}
}

// Guards against one faulty target that takes the memory and the time of the process: each call
// reads a bounded part of a response without an end, fails and closes its connection.
func TestTargetCallsEndEndlessResponses(t *testing.T) {
	for _, call := range endlessCalls() {
		for _, response := range endless.Responses(call.bodyStart) {
			t.Run(call.name+"/"+response.Name, func(t *testing.T) { testEndless(t, call, response) })
		}
		if call.bodyStart == "data: " {
			comments := endless.Response{Name: "comments", First: "HTTP/1.1 200 OK\r\n\r\n", Repeated: ":" + strings.Repeat("a", 1000) + "\n", Part: endless.Body}
			t.Run(call.name+"/"+comments.Name, func(t *testing.T) { testEndless(t, call, comments) })
			blank := endless.Response{Name: "blank_lines", First: "HTTP/1.1 200 OK\r\n\r\n", Repeated: strings.Repeat("\n", 1024), Part: endless.Body}
			t.Run(call.name+"/"+blank.Name, func(t *testing.T) { testEndless(t, call, blank) })
		}
	}
}

func testEndless(t *testing.T, call endlessCall, response endless.Response) {
	most := int64(testHeaderBytes + testBufferBytes)
	// A service's failure is passed on whole; nothing else reads the body of a failure.
	if response.Part == endless.Body || (response.Part == endless.FailedBody && call.name == "service") {
		// Chunks of 1,024 bytes come with 7 bytes each.
		most += call.bodyBytes + call.bodyBytes*7/1024
	}
	endless.Check(t, response, most, func(m *endless.Meter, address string) error {
		engine, service := NewEngine("http://"+address), NewService("http://"+address)
		for _, client := range []*http.Client{engine.http, service.http} {
			transport := client.Transport.(*http.Transport)
			transport.DialContext = m.Dial(transport.DialContext)
		}
		engine.dial = m.Dial(engine.dial)
		ctx, cancel := context.WithTimeout(t.Context(), testCallTimeout)
		defer cancel()
		return call.run(ctx, engine, service)
	})
}
