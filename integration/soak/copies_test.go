package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"acaciakeel/internal/standin/runner"
)

// Guards against a stand-in that copies other responses than refusals, or miscounts the copies.
func TestTargetCopiesRefusals(t *testing.T) {
	target := runner.Start("d0", "desk", nil)
	t.Cleanup(target.Close)
	target.CopyRefusals(2)
	conn, err := net.Dial("tcp", target.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	responses := bufio.NewReader(conn)
	statusOf := func() int {
		resp, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	for _, step := range []struct {
		id    string
		fault runner.Fault
		want  []int
	}{
		{"a", runner.None, []int{200}},
		{"a", runner.Shed, []int{503}},
		{"a", runner.None, []int{200}},
		{"b", runner.Shed, []int{503}},
		{"b", runner.None, []int{503, 200}},
		{"b", runner.Shed, []int{503}},
		{"c", runner.Shed, []int{503}},
		{"d", runner.None, []int{503, 200}},
	} {
		target.SetFault(step.fault)
		_, _ = fmt.Fprintf(conn, "POST /hold/x HTTP/1.1\r\nHost: d0\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", step.id)
		for _, want := range step.want {
			if got := statusOf(); got != want {
				t.Fatalf("response to %s: %d, want %d", step.id, got, want)
			}
		}
	}
	if got, want := target.Copies(), (runner.Copies{Sent: 2, SameID: 1, SameRan: 1}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
