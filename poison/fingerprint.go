// Package poison keeps what is known of requests that end the targets which run
// them. Such a request comes again under other ids, at any process, so that nothing
// that counts by id or by process bounds it; what it asks is the same. It is pure:
// time, evidence and other processes' words come in, a verdict and news go out.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Fingerprint names what a request asks, whoever brings it and as often as it comes.
// It is wide enough that nobody finds a second content with the fingerprint of
// another customer's.
type Fingerprint [16]byte

// Content is what stays the same when a request comes again. Its id, the time that
// it has left, the event after which a stream goes on and its key (a customer may
// have several) differ from one to the next.
type Content struct {
	Method string
	Host   string
	// URI is path and query.
	URI      string
	Customer string
	Body     []byte
}

// Fingerprint returns the content's.
func (c Content) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(c.Method), []byte(c.Host), []byte(c.URI), []byte(c.Customer), c.Body} {
		// With its length before it, no field can pass for the end of another.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// String returns the fingerprint as logs and commands show it.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// ParseFingerprint reads what String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(Fingerprint{}) {
		return Fingerprint{}, fmt.Errorf("%q is no fingerprint; want 32 hexadecimal digits as the log shows them", text)
	}
	return Fingerprint(raw), nil
}
