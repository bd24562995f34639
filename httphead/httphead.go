// Package httphead checks the responses that a client of HTTP/1.1 receives, byte by byte and ahead of
// the HTTP library, which accepts more than the protocol has (RFC 9112): names with spaces, any three
// digits as a status, folded lines, a length beside chunks. Another reader of such a response may find
// other fields or another end of the body in it.
package httphead

import "fmt"

// Fault is what is wrong with a response; a label value of counters.
type Fault string

// The faults.
const (
	// BadVersion: the status line does not begin with HTTP/1.1 or HTTP/1.0 and one space.
	BadVersion Fault = "version"
	// BadStatus: the status is not three digits from 100 to 599, or is 101, which no request asks for.
	BadStatus Fault = "status"
	// BadPhrase: the reason phrase has a control character.
	BadPhrase Fault = "phrase"
	// BadName: the name of a field is no token that a colon follows.
	BadName Fault = "name"
	// BadValue: the value of a field has a control character.
	BadValue Fault = "value"
	// FoldedLine: a line of the header begins with white space.
	FoldedLine Fault = "folding"
	// BadFraming: the fields that tell the end of the body are invalid or contradict each other.
	BadFraming Fault = "framing"
	// BadChunk: the size or the end of a chunk is invalid, or a trailer line ends with LF alone.
	BadChunk Fault = "chunk"
	// Incomplete: the header has no end; only Check returns it.
	Incomplete Fault = "incomplete"
)

// Part is the part of a response that has a fault; a label value of counters.
type Part string

// The parts.
const (
	// Head is the header of the response, or of an interim response before it if that has no status yet.
	Head    Part = "head"
	Interim Part = "interim"
	// Body is what frames the chunks of a body.
	Body    Part = "body"
	Trailer Part = "trailer"
)

// Error is a fault of a response.
type Error struct {
	Fault Fault
	Part  Part
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("the response is malformed (%s in its %s)", e.Fault, e.Part)
}

// Check returns a *Error if the bytes are not the whole header of a response, or nil.
func Check(head []byte) error {
	var s Scanner
	s.noBody.Store(true)
	n, err := s.Scan(head)
	if err != nil {
		return err
	}
	if n == 0 || s.state != inStatusLine || s.position != 0 || s.status < minFinal {
		return &Error{Incomplete, Head}
	}
	return nil
}

// Statuses of final responses.
const (
	minFinal       = 200
	maxFinal       = 599
	noContent      = 204
	notModified    = 304
	switchProtocol = 101
	minStatus      = 100
)

// Classes of bytes.
const (
	// token: a character of a field's name.
	token = 1 << iota
	// text: a character of a value or a phrase.
	text
)

var classes = func() (c [256]uint8) {
	for b := range c {
		if b == '\t' || b >= ' ' && b != 0x7f {
			c[b] |= text
		}
	}
	for b := byte('0'); b <= 'z'; b++ {
		if b <= '9' || b >= 'A' && b <= 'Z' || b >= 'a' {
			c[b] |= token
		}
	}
	for _, b := range []byte("!#$%&'*+-.^_`|~") {
		c[b] |= token
	}
	return c
}()

// IsName reports whether a text is the name of a field (RFC 9110, section 5.1).
func IsName(text string) bool {
	for i := range len(text) {
		if classes[text[i]]&token == 0 {
			return false
		}
	}
	return text != ""
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func isBlank(b byte) bool { return b == ' ' || b == '\t' }
