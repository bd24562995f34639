package node

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"acaciakeel/internal/standin/cut"
)

// Guards against an answer that has no body by its method or status and that reaches its client with
// another length, or, ended within its header, as a whole one.
func TestAnswersWithoutBody(t *testing.T) {
	e := newCutEnv(t)
	number := 0
	for _, c := range []struct {
		method, status, length string
	}{
		{"HEAD", "200 OK", "9"}, {"POST", "204 No Content", ""}, {"GET", "304 Not Modified", ""},
	} {
		text := "HTTP/1.1 " + c.status + "\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n"
		if c.length != "" {
			text += "Content-Length: " + c.length + "\r\n"
		}
		text += "\r\n"
		play := func(bytes int) (id string, got response) {
			number++
			return e.play(c.method, "/hold/x", atFirst(func(id string) cut.Response {
				text := strings.Replace(text, "ID", id, 1)
				return cut.Response{Text: text, Bytes: min(bytes, len(text)), EndsWhole: true, End: cut.Close}
			}), number)
		}
		for bytes := range len(text) {
			if _, got := play(bytes); got.err != nil || got.status != http.StatusBadGateway {
				t.Errorf("%s, %s, ended after %d bytes: the client got %d (%v)", c.method, c.status, bytes, got.status, got.err)
			}
		}
		if _, got := play(1 << 10); got.err != nil || !strings.HasPrefix(c.status, strconv.Itoa(got.status)) || got.header.Get("Content-Length") != c.length || got.header.Get("Response-Seal") != "s" {
			t.Errorf("%s, %s: the client got %d with length %q and seal %q (%v)", c.method, c.status, got.status, got.header.Get("Content-Length"), got.header.Get("Response-Seal"), got.err)
		}
	}
}
