package router

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"acaciakeel/responsebuffer"
)

// Guards against a body that is changed by being read in chunks, or that takes memory which isn't
// counted: for any size, with and without a stated length.
func TestReadBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("0123456789abcdefg"), rapid.IntRange(0, 30_000).Draw(t, "lines"))
		want = want[:len(want)-min(len(want), rapid.IntRange(0, 16).Draw(t, "cut"))]
		resp := &Response{Body: io.NopCloser(bytes.NewReader(want)), ContentLength: int64(len(want))}
		if rapid.Bool().Draw(t, "no length") {
			resp.ContentLength = -1
		}
		if rapid.Bool().Draw(t, "end with the last bytes") {
			resp.Body = io.NopCloser(iotest.DataErrReader(bytes.NewReader(want)))
		}
		pool := responsebuffer.NewPool(responsebuffer.Limits{Response: 1 << 20, Total: 1 << 20}, nil)
		s := &session{held: pool.Reserve(func() {})}
		chunks, err := s.readBody(resp)
		if got := bytes.Join(chunks, nil); err != io.EOF || !bytes.Equal(got, want) {
			t.Fatalf("read %d bytes (%v) of %d", len(got), err, len(want))
		}
		allocated := int64(0)
		for _, chunk := range chunks {
			allocated += int64(cap(chunk))
		}
		if held := pool.Usage().Bytes; allocated > held+uncountedBytes || allocated > int64(len(want))+maxBodyChunk {
			t.Errorf("%d bytes allocated for %d, %d counted", allocated, len(want), held)
		}
	})
}

// Guards against heads within their bound that together fill the memory while their bodies are
// awaited: many short fields take several times their bytes. Usual heads take no lock.
func TestHeadIsCounted(t *testing.T) {
	pool := responsebuffer.NewPool(responsebuffer.Limits{Response: 1 << 20, Total: 1 << 20}, nil)
	header := http.Header{}
	count := func() error {
		return (&session{held: pool.Reserve(func() {})}).countHead(&Response{Header: header})
	}
	for i := range 5000 {
		header[strconv.Itoa(i)] = []string{""}
		if i != 20 {
			continue
		}
		if err := count(); err != nil || pool.Usage().Bytes != 0 {
			t.Errorf("a usual head: %v, %d bytes counted", err, pool.Usage().Bytes)
		}
	}
	if err := count(); err != nil || pool.Usage().Bytes < 500_000 {
		t.Errorf("a head of 5,000 fields: %v, %d bytes counted", err, pool.Usage().Bytes)
	}
	if err := errors.Join(count(), count()); !isOversized(err) || pool.Usage().Bytes > 1<<20 {
		t.Errorf("beyond the limit of all: %v, %d bytes counted", err, pool.Usage().Bytes)
	}
}

// Guards against a body that is read although its stated length is over the bound.
func TestStatedLengthOverBoundIsNotRead(t *testing.T) {
	resp := &Response{Body: io.NopCloser(iotest.ErrReader(io.ErrUnexpectedEOF)), ContentLength: maxResponseBytes + 1}
	if _, err := (&session{}).readBody(resp); !isOversized(err) {
		t.Errorf("ended with %v", err)
	}
}
