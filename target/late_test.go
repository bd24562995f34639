package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
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
	serve := func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if n > 0 {
				_, _ = io.WriteString(c, late)
			}
			body := req.URL.Path
			switch {
			case body == "/v1/load":
				body = `{"boot_id":"own"}`
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
		lateResponse(200, "data: {\"text\":\"another's\"}\n\ndata: [DONE]\n\n"), lateResponse(200, `{"boot_id":"former"}`),
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
				if load, err := engine.Load(t.Context()); err != nil || load.BootID != "own" {
					t.Errorf("load report %d: %+v (%v)", i, load, err)
				}
			}
		})
	}
}
