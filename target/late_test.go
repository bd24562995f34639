package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startLate returns the URL of a target that sends late ahead of each response on a connection
// but the first. It answers calls of a service with their path, and those of an engine with a
// stream.
func startLate(t *testing.T, late string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var reports atomic.Int64
	serve := func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			body, report := req.URL.Path, int64(0)
			if body == "/v1/load" {
				report = reports.Add(1)
			}
			if n > 0 {
				_, _ = io.WriteString(c, late)
			}
			switch {
			case body == "/v1/load":
				// The next call is sent before the report that is due.
				body = fmt.Sprintf(`{"boot_id":"report-%d"}`, report)
				time.Sleep(20 * time.Millisecond)
			case strings.HasPrefix(body, "/v1/"):
				body = "data: {\"text\":\"own\"}\n\ndata: [DONE]\n\n"
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return "http://" + l.Addr().String()
}

func lateResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Late\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Guards against a late second response of a service or an engine that is taken for the answer to
// the next call, which may be another customer's or a second send: responses here name no request.
func TestLateResponsesAnswerNoOtherCall(t *testing.T) {
	for _, late := range []string{
		lateResponse(200, "another customer's answer"), lateResponse(503, ""), lateResponse(409, ""), lateResponse(500, ""), lateResponse(204, ""),
		lateResponse(200, "data: {\"text\":\"another's\"}\n\ndata: [DONE]\n\n"),
	} {
		t.Run(fmt.Sprintf("%q", late), func(t *testing.T) {
			url := startLate(t, late)
			service, engine := NewService(url), NewEngine(url)
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				for i := range 3 {
					path := fmt.Sprintf("/holds/%d", i)
					answer, err := service.Do(t.Context(), Call{RequestID: "one", IdempotencyKey: "one", Method: method, Path: path})
					if err != nil || answer.Status != http.StatusOK || string(answer.Body) != path {
						t.Errorf("%s %s was answered %d %q (%v)", method, path, answer.Status, answer.Body, err)
					}
				}
			}
			for i := range 3 {
				stream, err := engine.Start(t.Context(), Completion{RequestID: "one"})
				if err != nil {
					t.Errorf("completion %d: %v", i, err)
					continue
				}
				if chunk, err := stream.Next(); err != nil || chunk.Text != "own" {
					t.Errorf("completion %d: got %q (%v)", i, chunk.Text, err)
				}
				_, _ = io.Copy(io.Discard, stream.body)
				stream.Close()
				if err := engine.Order(t.Context(), 1, "v"); err != nil {
					t.Errorf("order %d: %v", i, err)
				}
			}
		})
	}
}

// Guards against a surplus response of an engine that leaves its load reports out of step: two refusals
// in a row make an agent take its engine for down, and an earlier report brings back former weights.
func TestLoadReportsAreTheirOwn(t *testing.T) {
	for name, late := range map[string]string{
		"copy of a refusal": lateResponse(503, ""), "copy of an error with a body": lateResponse(500, "no"), "copy of a report": lateResponse(200, `{"boot_id":"former"}`),
	} {
		t.Run(name, func(t *testing.T) {
			engine, failed := NewEngine(startLate(t, late)), false
			for i := range 6 {
				load, err := engine.Load(t.Context())
				if err != nil && failed {
					t.Errorf("load reports %d and %d failed: %v", i-1, i, err)
				}
				if failed = err != nil; !failed && load.BootID != fmt.Sprintf("report-%d", i+1) {
					t.Errorf("load report %d: %+v", i, load)
				}
			}
		})
	}
}
