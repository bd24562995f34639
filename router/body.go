package router

import (
	"errors"
	"io"
	"net/http"

	"acaciakeel/responsebuffer"
)

// Sizes of what is buffered of a response.
const (
	// maxResponseBytes is the maximum body size of a response that is buffered.
	maxResponseBytes = 8 << 20
	// minBodyChunk and maxBodyChunk bound the chunks into which a body is read: most bodies take
	// some hundred bytes, and what is allocated ahead of the bytes must be little.
	minBodyChunk = 4 << 10
	maxBodyChunk = 64 << 10
	// uncountedBytes of each response are not counted against the memory for all responses: they
	// are about what its connection takes.
	uncountedBytes = minBodyChunk
)

// LimitBodies makes the router count in p what it reads of responses before it passes them on. It
// must be called before the router is used.
func (r *Router) LimitBodies(p *responsebuffer.Pool) { r.bodies = p }

// reserve counts n bytes of a response, of which held are counted already, before they are
// allocated. Every error is an *oversizedError.
func (s *session) reserve(n, held int64) error {
	if n+held <= uncountedBytes {
		return nil
	}
	if err := s.held.Grow(n); err != nil {
		return s.asOversized(err)
	}
	return nil
}

// headerFieldBytes is what a header field takes beside its name and value: two string headers, a
// slice and a place in a map.
const headerFieldBytes = 100

// countHead counts what the header of a response takes, which is kept until the response has been
// passed on. Every error is an *oversizedError.
func (s *session) countHead(resp *Response) error {
	n := int64(0)
	for name, values := range resp.Header {
		for _, value := range values {
			n += headerFieldBytes + int64(len(name)+len(value))
		}
	}
	return s.reserve(n, 0)
}

// asOversized returns the *oversizedError of a response that was given up because of the memory
// that it occupies, otherwise err.
func (s *session) asOversized(err error) error {
	var exceeded *responsebuffer.ReservationError
	if !errors.As(s.held.Err(), &exceeded) {
		return err
	}
	return &oversizedError{part: partAll, bytes: exceeded.Bytes}
}

// readBody reads the whole body of a response in chunks. At the end of the body the error is
// io.EOF, and beyond a bound an *oversizedError.
func (s *session) readBody(resp *Response) ([][]byte, error) {
	if resp.ContentLength > maxResponseBytes && resp.Body != http.NoBody {
		return nil, &oversizedError{part: partBody, bytes: resp.ContentLength}
	}
	var chunks [][]byte
	total := int64(0)
	for size := int64(minBodyChunk); ; size = min(2*size, maxBodyChunk) {
		n := min(size, maxResponseBytes+1-total)
		if resp.ContentLength >= 0 {
			// At least one byte, to read the end of the body.
			n = min(n, max(1, resp.ContentLength-total))
		}
		if err := s.reserve(n, total); err != nil {
			return nil, err
		}
		chunk, err := fill(resp.Body, make([]byte, 0, n))
		total += int64(len(chunk))
		if len(chunk) > 0 {
			chunks = append(chunks, chunk)
		}
		switch {
		case err == io.EOF:
			return chunks, err
		case err != nil:
			return nil, s.asOversized(err)
		case total > maxResponseBytes:
			return nil, &oversizedError{part: partBody, bytes: total}
		}
	}
}

// fill reads into chunk until it is full or reading fails.
func fill(in io.Reader, chunk []byte) ([]byte, error) {
	for len(chunk) < cap(chunk) {
		n, err := in.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		if err != nil {
			return chunk, err
		}
	}
	return chunk, nil
}
