// Package httpbody reads the bodies of HTTP responses up to a limit, as a faulty server may send a
// body without an end, and those of requests within a budget.
package httpbody

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrTooLarge is returned for a body that is longer than its limit.
var ErrTooLarge = errors.New("the body is too large")

// Read returns a body of at most limit bytes. The caller closes the body; after an error, and
// only then, that closes the connection too.
func Read(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = tooLarge(limit)
	}
	if err != nil {
		return nil, err
	}
	return body, nil
}

// Decode decodes a JSON body of at most limit bytes into out.
func Decode(resp *http.Response, limit int64, out any) error {
	body, err := Read(resp, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// Discard reads a body of at most limit bytes, so that its connection can be reused.
func Discard(resp *http.Response, limit int64) error {
	if resp.ContentLength > limit {
		return tooLarge(limit)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err == nil && n > limit {
		err = tooLarge(limit)
	}
	return err
}

func tooLarge(limit int64) error {
	return fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
}
