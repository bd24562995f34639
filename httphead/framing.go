package httphead

// lowerCase is the bit that makes a letter a small one. The hyphen has it, and no other character of a
// token becomes a small letter or a hyphen by it.
const lowerCase = 0x20

const (
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
	chunked          = "chunked"
	// maxNameBytes is the length of the longest name that has a meaning here.
	maxNameBytes = len(transferEncoding)
	// maxFramingBytes bounds the value of a field that tells the end of a body: 18 digits, which 63
	// bits hold, and some zeros before them.
	maxFramingBytes = 24
	maxDigits       = 18
	// maxSizeDigits bounds the hexadecimal size of a chunk, which 63 bits hold.
	maxSizeDigits = 15
)

// keepValue keeps a part of a value and reports whether it has room, without the blanks before it.
func (s *Scanner) keepValue(p []byte) bool {
	for _, b := range p {
		if s.valueLen == 0 && isBlank(b) {
			continue
		}
		if s.valueLen == len(s.value) {
			return false
		}
		s.value[s.valueLen] = b
		s.valueLen++
	}
	return true
}

// endField takes the field that tells the end of the body, if it is one.
func (s *Scanner) endField() Fault {
	value := s.value[:s.valueLen]
	for len(value) > 0 && isBlank(value[len(value)-1]) {
		value = value[:len(value)-1]
	}
	switch s.field {
	case contentLength:
		n, ok := parseLength(value)
		if !ok || s.length >= 0 && n != s.length {
			return BadFraming
		}
		s.length = n
	case transferEncoding:
		if s.chunks || s.minor == '0' || !isChunked(value) {
			return BadFraming
		}
		s.chunks = true
	}
	s.field = ""
	return ""
}

func parseLength(value []byte) (n int64, ok bool) {
	digits := 0
	for _, b := range value {
		if !isDigit(b) {
			return 0, false
		}
		if n > 0 || b != '0' {
			digits++
		}
		if digits > maxDigits {
			return 0, false
		}
		n = 10*n + int64(b-'0')
	}
	return n, len(value) > 0
}

func isChunked(value []byte) bool {
	if len(value) != len(chunked) {
		return false
	}
	for i, b := range value {
		if b|lowerCase != chunked[i] {
			return false
		}
	}
	return true
}
