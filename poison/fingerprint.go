// Package poison tracks requests that crash the targets that run them. Clients resend such
// a request under new ids and through other processes, so no per-id or per-process limit
// bounds the damage; only its content stays the same. The package does no I/O and has no
// clock: callers pass in the time, the evidence and the reports of other processes.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
)

// Fingerprint is a hash of a request's content, equal for every repetition of the request.
// It is long enough that a collision with another customer's content can't be constructed.
type Fingerprint [16]byte

// Content is the part of a request that stays the same when the request is repeated.
// Excluded are the request id, the remaining deadline, the last event id of a resumed
// stream and the API key, as a customer may have several.
type Content struct {
	Method string
	Host   string
	// URI is the path and the query.
	URI      string
	Customer string
	Body     []byte
}

func (c Content) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(c.Method), []byte(c.Host), []byte(c.URI), []byte(c.Customer), c.Body} {
		writeField(h, field)
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// writeField hashes a field with its length, which keeps field boundaries unambiguous.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write(field)
}

// String returns the hexadecimal form that logs and commands show.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// ParseFingerprint parses the output of Fingerprint.String.
func ParseFingerprint(text string) (Fingerprint, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(Fingerprint{}) {
		return Fingerprint{}, fmt.Errorf("invalid fingerprint %q: want 32 hexadecimal digits, as shown in the log", text)
	}
	return Fingerprint(raw), nil
}
