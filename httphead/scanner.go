package httphead

import "sync/atomic"

// scanState is what the next byte belongs to.
type scanState uint8

const (
	// inStatusLine is the zero value: a connection begins with a status line.
	inStatusLine scanState = iota
	inPhrase
	// afterLineCR is behind the CR of a line, afterHeadCR behind that of the empty line at its end.
	afterLineCR
	atLineStart
	inName
	inValue
	afterHeadCR
	inBody
	untilClose
	inChunkSize
	afterChunkSize
	inChunkExtension
	afterChunkSizeCR
	inChunk
	afterChunk
	afterChunkCR
)

// The beginning of a status line; minorAt is the position of the minor version, statusAt that of
// the status.
const (
	statusLine = "HTTP/1.x ddd"
	minorAt    = 7
	statusAt   = 9
)

// Scanner checks the bytes of the responses on one connection, one response after the other. It finds
// the end of each body as the HTTP library does. The zero value is ready for the first one.
type Scanner struct {
	state    scanState
	trailing bool // the lines are those of a trailer
	position int  // in the status line, the name or the size of a chunk
	status   int
	minor    byte
	left     int64 // bytes of the body or the chunk that have not arrived

	name     [maxNameBytes]byte
	value    [maxFramingBytes]byte
	valueLen int
	field    string // the field that is read if it tells the end of the body
	length   int64  // what the header states, -1 if it does not
	chunks   bool

	noBody atomic.Bool
	fault  atomic.Pointer[Error]
}

// Begin says whether the next final response answers a HEAD request and has no body. Responses that
// arrive without a call have one if no earlier call said otherwise. It may be called at any time.
func (s *Scanner) Begin(answersHead bool) { s.noBody.Store(answersHead) }

// Fault returns the first fault, or nil. It may be called at any time.
func (s *Scanner) Fault() *Error { return s.fault.Load() }

// Scan checks the next bytes and returns how many of them precede the first fault, and the fault, which
// is that of each further call too. A header with a fault has no end in the bytes before it.
func (s *Scanner) Scan(p []byte) (int, error) {
	if e := s.fault.Load(); e != nil {
		return 0, e
	}
	for i := 0; i < len(p); {
		n, fault := s.step(p[i:])
		i += n
		if fault != "" {
			e := &Error{fault, s.part()}
			s.fault.Store(e)
			return i, e
		}
	}
	return len(p), nil
}

// step checks some of the next bytes, at least one.
func (s *Scanner) step(p []byte) (int, Fault) {
	switch s.state {
	case inName:
		return s.scanName(p)
	case inValue:
		return s.scanValue(p)
	case inPhrase:
		return s.scanPhrase(p)
	case inBody, inChunk:
		return s.skip(p)
	case untilClose:
		return len(p), ""
	}
	fault := s.next(p[0])
	if fault != "" {
		return 0, fault
	}
	return 1, ""
}

// next checks a byte in the states that take one at a time.
func (s *Scanner) next(b byte) Fault {
	switch s.state {
	case inStatusLine:
		return s.nextOfStatusLine(b)
	case atLineStart:
		return s.nextOfLine(b)
	case afterLineCR:
		if b != '\n' {
			return s.badLine()
		}
		s.state = atLineStart
	case afterHeadCR:
		if b != '\n' {
			return s.badLine()
		}
		return s.endHead()
	default:
		return s.nextOfChunk(b)
	}
	return ""
}

func (s *Scanner) badLine() Fault {
	if s.position == inFirstLine {
		return BadPhrase
	}
	return BadValue
}

func (s *Scanner) nextOfStatusLine(b byte) Fault {
	if s.position == 0 {
		s.beginHead()
	}
	switch {
	case s.position == len(statusLine):
		if s.status < minStatus || s.status > maxFinal || s.status == switchProtocol {
			return BadStatus
		}
		return s.endStatus(b)
	case s.position >= statusAt:
		if !isDigit(b) {
			return BadStatus
		}
		s.status = 10*s.status + int(b-'0')
	case s.position == minorAt:
		if b != '0' && b != '1' {
			return BadVersion
		}
		s.minor = b
	case b != statusLine[s.position]:
		return BadVersion
	}
	s.position++
	return ""
}

// inFirstLine is a position while the status line has not ended.
const inFirstLine = -1

// endStatus takes the byte after the status.
func (s *Scanner) endStatus(b byte) Fault {
	s.position = inFirstLine
	switch b {
	case ' ':
		s.state = inPhrase
	case '\r':
		s.state = afterLineCR
	case '\n':
		s.state = atLineStart
	default:
		return BadStatus
	}
	return ""
}

func (s *Scanner) beginHead() {
	s.status, s.length, s.chunks, s.trailing = 0, -1, false, false
}

// scanText returns how many of the bytes are text.
func scanText(p []byte) int {
	for i, b := range p {
		if classes[b]&text == 0 {
			return i
		}
	}
	return len(p)
}

func (s *Scanner) scanPhrase(p []byte) (int, Fault) {
	n := scanText(p)
	if n == len(p) {
		return n, ""
	}
	return s.endLine(p, n, BadPhrase)
}

// endLine takes the byte at n, which is no text.
func (s *Scanner) endLine(p []byte, n int, otherwise Fault) (int, Fault) {
	switch {
	case p[n] == '\r':
		s.state = afterLineCR
	case p[n] != '\n':
		return n, otherwise
	case s.trailing:
		return n, BadChunk
	default:
		s.state = atLineStart
	}
	return n + 1, ""
}

// nextOfLine takes the first byte of a line behind the status line.
func (s *Scanner) nextOfLine(b byte) Fault {
	s.position = 0
	switch {
	case isBlank(b):
		return FoldedLine
	case b == '\r':
		s.state = afterHeadCR
	case b == '\n' && s.trailing:
		return BadChunk
	case b == '\n':
		return s.endHead()
	case classes[b]&token == 0:
		return BadName
	default:
		s.state = inName
		s.name[0], s.position = b|lowerCase, 1
	}
	return ""
}

func (s *Scanner) scanName(p []byte) (int, Fault) {
	for i, b := range p {
		if classes[b]&token == 0 {
			if b != ':' {
				return i, BadName
			}
			s.endName()
			return i + 1, ""
		}
		if s.position < maxNameBytes {
			s.name[s.position] = b | lowerCase
		}
		s.position++
	}
	return len(p), ""
}

func (s *Scanner) endName() {
	s.state, s.field, s.valueLen = inValue, "", 0
	if s.trailing || s.position > maxNameBytes {
		return
	}
	switch string(s.name[:s.position]) {
	case contentLength:
		s.field = contentLength
	case transferEncoding:
		s.field = transferEncoding
	}
}

func (s *Scanner) scanValue(p []byte) (int, Fault) {
	n := scanText(p)
	if s.field != "" && !s.keepValue(p[:n]) {
		return 0, BadFraming
	}
	if n == len(p) {
		return n, ""
	}
	if p[n] == '\r' || p[n] == '\n' {
		if fault := s.endField(); fault != "" {
			return n, fault
		}
	}
	return s.endLine(p, n, BadValue)
}

// endHead takes the end of a header or a trailer.
func (s *Scanner) endHead() Fault {
	s.state, s.position = inStatusLine, 0
	switch {
	case s.trailing:
	case s.chunks && s.length >= 0:
		return BadFraming
	case s.status < minFinal, s.status == noContent, s.status == notModified, s.noBody.Load():
	case s.chunks:
		s.state = inChunkSize
	case s.length > 0:
		s.state, s.left = inBody, s.length
	case s.length < 0:
		s.state = untilClose
	}
	return ""
}

// part returns the part of the response that is being read.
func (s *Scanner) part() Part {
	switch {
	case s.trailing:
		return Trailer
	case s.state >= inBody:
		return Body
	case s.status >= minStatus && s.status < minFinal && s.status != switchProtocol:
		return Interim
	}
	return Head
}
