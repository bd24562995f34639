package httphead

// skip passes over bytes of a body or a chunk.
func (s *Scanner) skip(p []byte) (int, Fault) {
	n := min(s.left, int64(len(p)))
	s.left -= n
	if s.left == 0 && s.state == inBody {
		s.state = inStatusLine
	} else if s.left == 0 {
		s.state = afterChunk
	}
	return int(n), ""
}

// nextOfChunk takes a byte of what frames a chunk.
func (s *Scanner) nextOfChunk(b byte) Fault {
	switch s.state {
	case inChunkSize:
		return s.nextOfChunkSize(b)
	case afterChunkSize:
		// White space is allowed here, though not sent (RFC 9112, section 7.1.1).
		if isBlank(b) {
			return ""
		}
		return s.endChunkSize(b)
	case inChunkExtension:
		if b == '\r' {
			s.state = afterChunkSizeCR
		} else if classes[b]&text == 0 {
			return BadChunk
		}
	case afterChunkSizeCR:
		if b != '\n' {
			return BadChunk
		}
		s.beginChunk()
	case afterChunk:
		if b != '\r' {
			return BadChunk
		}
		s.state = afterChunkCR
	case afterChunkCR:
		if b != '\n' {
			return BadChunk
		}
		s.state = inChunkSize
	}
	return ""
}

func (s *Scanner) nextOfChunkSize(b byte) Fault {
	if s.position == 0 {
		s.left = 0
	}
	var digit byte
	switch lower := b | lowerCase; {
	case isDigit(b):
		digit = b - '0'
	case lower >= 'a' && lower <= 'f':
		digit = lower - 'a' + 10
	case s.position == 0:
		return BadChunk
	case isBlank(b):
		s.state = afterChunkSize
		return ""
	default:
		return s.endChunkSize(b)
	}
	if s.position == maxSizeDigits {
		return BadChunk
	}
	s.position++
	s.left = s.left<<4 | int64(digit)
	return ""
}

// endChunkSize takes the byte after the size of a chunk.
func (s *Scanner) endChunkSize(b byte) Fault {
	switch b {
	case ';':
		s.state = inChunkExtension
	case '\r':
		s.state = afterChunkSizeCR
	default:
		return BadChunk
	}
	return ""
}

// beginChunk takes the end of the line with the size.
func (s *Scanner) beginChunk() {
	s.position = 0
	if s.left > 0 {
		s.state = inChunk
		return
	}
	s.state, s.trailing = atLineStart, true
}
