package entry

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// countingReader counts what is read of it.
type countingReader struct {
	in   io.Reader
	read atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	r.read.Add(int64(n))
	return n, err
}

// Guards against anyone who takes the memory of an entry by a request for its configuration, which
// needs no key: a body without an end, and a small one that expands.
func TestRequestForConfigurationIsBounded(t *testing.T) {
	const size, most = 64 << 20, 1 << 20
	var small bytes.Buffer
	packed := gzip.NewWriter(&small)
	_, _ = packed.Write(make([]byte, size))
	_ = packed.Close()
	e := newTestEntry(t, nil)
	for name, test := range map[string]struct {
		body     io.Reader
		encoding string
	}{
		"long":     {io.LimitReader(zeros{}, size), ""},
		"expanded": {&small, "gzip"},
	} {
		t.Run(name, func(t *testing.T) {
			body := &countingReader{in: test.body}
			req := httptest.NewRequest(http.MethodPost, "/keel.v1.ConfigService/Fetch", body)
			req.Header.Set("Content-Type", "application/proto")
			req.Header.Set("Connect-Protocol-Version", "1")
			if test.encoding != "" {
				req.Header.Set("Content-Encoding", test.encoding)
			}
			answer := httptest.NewRecorder()
			e.Handler().ServeHTTP(answer, req)
			if body.read.Load() > most || answer.Code != http.StatusTooManyRequests {
				t.Errorf("%d bytes read, status %d %.200s", body.read.Load(), answer.Code, answer.Body)
			}
		})
	}
}

// zeros is an endless sequence of zeros.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
