// Package malformed implements a server whose responses the protocol does not allow.
package malformed

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// Heads returns forms of the header of a success or a failure that the protocol does not allow, by name.
// The placeholder FRAMING stands for the fields that tell the end of the body.
func Heads() map[string]string {
	return map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\nFRAMING\r\n\r\n",
		"status 999":             "HTTP/1.1 999 OK\r\nFRAMING\r\n\r\n",
		"two blanks":             "HTTP/1.1  200 OK\r\nFRAMING\r\n\r\n",
		"version":                "HTTP/2.0 200 OK\r\nFRAMING\r\n\r\n",
		"phrase":                 "HTTP/1.1 200 O\x00K\r\nFRAMING\r\n\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nBad Name: x\r\nFRAMING\r\n\r\n",
		"blank after a name":     "HTTP/1.1 200 OK\r\nFRAMING\r\nFurther : x\r\n\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nFur\x01ther: x\r\nFRAMING\r\n\r\n",
		"folded line":            "HTTP/1.1 200 OK\r\nFurther: x\r\n y\r\nFRAMING\r\n\r\n",
		"two framings":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\nFRAMING\r\n\r\n",
		"blank after a length":   "HTTP/1.1 200 OK\r\nContent-Length : 1\r\nFRAMING\r\n\r\n",
		"failure":                "HTTP/1.1 503 Busy\r\nBad Name: x\r\nFRAMING\r\n\r\n",
		"interim response":       "HTTP/1.1 103 Early\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nFRAMING\r\n\r\n",
	}
}

// Serve starts a server that answers each request with a header of Heads and a body in chunks, and
// returns its address.
func Serve(t testing.TB, head, body string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	response := strings.Replace(head, "FRAMING", "Transfer-Encoding: chunked", 1)
	if strings.Contains(head, "Transfer-Encoding") {
		response = strings.Replace(head, "FRAMING", "Other: x", 1)
	}
	response += chunk(body) + "0\r\n\r\n"
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, response)
		}
	}()
	return l.Addr().String()
}

func chunk(body string) string {
	if body == "" {
		return ""
	}
	return strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n"
}

func serve(c net.Conn, response string) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}
