package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

const ordinary = "HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\nContent-Type: text/plain; charset=utf-8\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: 3,0,8\r\nDate: Sun, 06 Dec 2026 23:00:00 GMT\r\nContent-Length: 5\r\n\r\n"

// faults has one response for each fault in each part.
var faults = []struct {
	response string
	want     Error
}{
	{"HTTP/1.2 200 OK\r\n\r\n", Error{BadVersion, Head}},
	{"HTTP/2.0 200 OK\r\n\r\n", Error{BadVersion, Head}},
	{"HTTP/1.1  200 OK\r\n\r\n", Error{BadStatus, Head}},
	{"HTTP/1.1 000 OK\r\n\r\n", Error{BadStatus, Head}},
	{"HTTP/1.1 101 OK\r\n\r\n", Error{BadStatus, Head}},
	{"HTTP/1.1 600 OK\r\n\r\n", Error{BadStatus, Head}},
	{"HTTP/1.1 2000 OK\r\n\r\n", Error{BadStatus, Head}},
	{"HTTP/1.1 20\r\n\r\n", Error{BadStatus, Head}},
	{"HTTP/1.1 200 a\x00\r\n\r\n", Error{BadPhrase, Head}},
	{"HTTP/1.1 200 a\rb\r\n\r\n", Error{BadPhrase, Head}},
	{"HTTP/1.1 200 OK\r\nA : b\r\n\r\n", Error{BadName, Head}},
	{"HTTP/1.1 200 OK\r\n: b\r\n\r\n", Error{BadName, Head}},
	{"HTTP/1.1 200 OK\r\nA\r\n\r\n", Error{BadName, Head}},
	{"HTTP/1.1 200 OK\r\nA: b\x00\r\n\r\n", Error{BadValue, Head}},
	{"HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n", Error{BadValue, Head}},
	{"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", Error{FoldedLine, Head}},
	{"HTTP/1.1 200 OK\r\n A: b\r\n\r\n", Error{FoldedLine, Head}},
	{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", Error{BadFraming, Head}},
	{"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", Error{BadFraming, Head}},
	{"HTTP/1.1 200 OK\r\nContent-Length: 1234567890123456789\r\n\r\n", Error{BadFraming, Head}},
	{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", Error{BadFraming, Head}},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", Error{BadFraming, Head}},
	{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Error{BadFraming, Head}},
	{"HTTP/1.1 103 Early\r\nA : b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", Error{BadName, Interim}},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n", Error{BadChunk, Body}},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA : b\r\n\r\n", Error{BadName, Trailer}},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\n", Error{BadChunk, Trailer}},
}

// Guards against a malformed response that passes, and against bytes of it with which a reader would
// find its end.
func TestMalformedResponses(t *testing.T) {
	for _, f := range faults {
		for _, reader := range []io.Reader{strings.NewReader(f.response), iotest.OneByteReader(strings.NewReader(f.response))} {
			passed, err := io.ReadAll(NewReader(reader))
			var fault *Error
			if !errors.As(err, &fault) || *fault != f.want {
				t.Errorf("%q: %v, want %v", f.response, err, &f.want)
			}
			if !strings.HasPrefix(f.response, string(passed)) {
				t.Errorf("%q: passed %q", f.response, passed)
			}
			resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(passed)), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			if err == nil {
				t.Errorf("%q: the HTTP library reads a response from %q", f.response, passed)
			}
		}
	}
}

func TestCheck(t *testing.T) {
	for _, head := range []string{ordinary, "HTTP/1.0 404\n\n", "HTTP/1.1 204 \r\nA:\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" + ordinary} {
		if err := Check([]byte(head)); err != nil {
			t.Errorf("%q: %v", head, err)
		}
	}
	for _, head := range []string{"", ordinary[:len(ordinary)-1], ordinary[:20], "HTTP/1.1 100 Continue\r\n\r\n", ordinary + "HTTP/1.1 200", ordinary + "hello"} {
		if Check([]byte(head)) == nil {
			t.Errorf("%q is taken for a whole header", head)
		}
	}
}

// Guards against a fault on a connection that spoils the complete response before it.
func TestFaultAfterResponse(t *testing.T) {
	for _, body := range []string{"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
		whole := "HTTP/1.1 200 OK\r\n" + body
		r := NewReader(strings.NewReader(whole + "\x00more"))
		got := make([]byte, 1000)
		if n, err := r.Read(got); string(got[:n]) != whole || err != nil {
			t.Errorf("read %q, %v", got[:n], err)
		}
		if n, err := r.Read(got); n != 0 || err == nil {
			t.Errorf("read %q, %v behind the fault", got[:n], err)
		}
	}
}

// Guards against the length in an answer to HEAD that is taken for that of a body.
func TestAnswersToHead(t *testing.T) {
	r := NewReader(strings.NewReader(ordinary + ordinary + "hello" + ordinary))
	r.Begin(true)
	head := make([]byte, len(ordinary))
	if _, err := io.ReadFull(r, head); err != nil {
		t.Fatal(err)
	}
	r.Begin(false)
	if rest, err := io.ReadAll(r); err != nil || string(rest) != ordinary+"hello"+ordinary {
		t.Errorf("read %q, %v", rest, err)
	}
}

// FuzzResponseHead checks that what passes has no invalid line, and that the HTTP library reads the
// same status, fields and end of the body in it.
func FuzzResponseHead(f *testing.F) {
	f.Add([]byte(ordinary + "hello"))
	f.Add([]byte("HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2 ;a=b\r\nok\r\n0\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"))
	for _, c := range faults {
		f.Add([]byte(c.response))
	}
	f.Fuzz(func(t *testing.T, received []byte) {
		var whole Scanner
		n, err := whole.Scan(received)
		checkSplit(t, received, n, err)
		checkLines(t, received[:n])
		in := bytes.NewReader(received[:n])
		buffered := bufio.NewReaderSize(in, max(16, n))
		var s Scanner
		for at := 0; at < n; {
			resp, err := http.ReadResponse(buffered, nil)
			if err != nil {
				if !isUnexpectedEnd(received[at:n]) {
					t.Fatalf("the HTTP library refuses %q: %v", received[at:n], err)
				}
				return
			}
			checkEncoded(t, resp)
			_, err = io.Copy(io.Discard, resp.Body)
			if err != nil {
				return // it is incomplete
			}
			end := n - in.Len() - buffered.Buffered()
			if _, err := s.Scan(received[at:end]); err != nil || s.state != untilClose && (s.state != inStatusLine || s.position != 0) {
				t.Fatalf("the HTTP library finds the end of a response behind %q, the scanner is in state %d (%v)", received[at:end], s.state, err)
			}
			at = end
		}
	})
}

// isUnexpectedEnd reports whether received bytes have no whole header.
func isUnexpectedEnd(received []byte) bool {
	return !bytes.Contains(received, []byte("\n\r\n")) && !bytes.Contains(received, []byte("\n\n"))
}

// checkSplit checks that the result does not depend on how the bytes arrive.
func checkSplit(t *testing.T, received []byte, n int, err error) {
	t.Helper()
	var s Scanner
	passed := 0
	var splitErr error
	for i := range received {
		var m int
		if m, splitErr = s.Scan(received[i : i+1]); splitErr != nil {
			break
		}
		passed += m
	}
	var a, b *Error
	if errors.As(err, &a) != errors.As(splitErr, &b) || a != nil && *a != *b {
		t.Fatalf("%q: %v at once, %v byte by byte", received, err, splitErr)
	}
	if passed < n {
		t.Fatalf("%q: %d bytes pass at once, %d byte by byte", received, n, passed)
	}
}

// checkLines checks the lines of the first header.
func checkLines(t *testing.T, passed []byte) {
	t.Helper()
	head, _, _ := bytes.Cut(bytes.ReplaceAll(passed, []byte("\r\n"), []byte("\n")), []byte("\n\n"))
	lines := bytes.Split(head, []byte("\n"))
	for i, line := range lines {
		if i == len(lines)-1 {
			break // it may be incomplete
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		isToken := len(name) > 0 && !slices.ContainsFunc(name, func(b byte) bool {
			return b <= ' ' || b >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), b) >= 0
		})
		if i > 0 && (!ok || !isToken) || slices.ContainsFunc(line, func(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }) {
			t.Fatalf("the line %q passes", line)
		}
	}
}

// checkEncoded checks that a response is the same when the HTTP library has written and read it.
func checkEncoded(t *testing.T, resp *http.Response) {
	t.Helper()
	if resp.StatusCode < 100 || resp.StatusCode > 599 || resp.ProtoMajor != 1 || resp.ProtoMinor > 1 {
		t.Fatalf("status %d, version %s", resp.StatusCode, resp.Proto)
	}
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 " + resp.Status + "\r\n")
	_ = resp.Header.Write(&text)
	if len(resp.TransferEncoding) > 0 {
		text.WriteString("Transfer-Encoding: chunked\r\n")
	}
	text.WriteString("\r\n")
	again, err := http.ReadResponse(bufio.NewReader(&text), nil)
	if err != nil {
		t.Fatal(err)
	}
	if again.StatusCode != resp.StatusCode || again.ContentLength != resp.ContentLength || len(again.Header) != len(resp.Header) || len(again.TransferEncoding) != len(resp.TransferEncoding) {
		t.Fatalf("%v is %v when encoded", resp, again)
	}
	for name, values := range resp.Header {
		if !slices.Equal(values, again.Header[name]) {
			t.Fatalf("%s: %q is %q when encoded", name, values, again.Header[name])
		}
	}
}

func BenchmarkScan(b *testing.B) {
	response := []byte(ordinary + "hello")
	b.ReportAllocs()
	b.SetBytes(int64(len(response)))
	var s Scanner
	for b.Loop() {
		if _, err := s.Scan(response); err != nil {
			b.Fatal(err)
		}
	}
}
