package runner

import (
	"io"
	"net/http"
	"strings"
)

// endlessParts are what responses without an end consist of: what they begin with, and what is
// repeated until the caller closes the connection.
var endlessParts = map[Fault]struct{ first, repeated string }{
	EndlessHead:       {"HTTP/1.1 200 OK\r\n", "X: " + strings.Repeat("x", 4<<10) + "\r\n"},
	EndlessChunks:     {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4<<10) + "\r\n"},
	EndlessUntilClose: {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n\r\n", strings.Repeat("x", 4<<10)},
	EndlessRefusal:    {"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n\r\n", strings.Repeat("x", 4<<10)},
}

// sendWithoutEnd sends a response without an end, if the fault is one, and reports whether it is.
func sendWithoutEnd(w http.ResponseWriter, req *http.Request, f Fault) bool {
	parts, ok := endlessParts[f]
	if !ok {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, strings.ReplaceAll(parts.first, "ID", req.Header.Get("Request-Id")))
	for err == nil {
		_, err = io.WriteString(conn, parts.repeated)
	}
	return true
}
