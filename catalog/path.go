package catalog

import "strings"

const upperHex = "0123456789ABCDEF"

// normalizePath returns a path as written in a URI in the form in which equivalent ones are equal
// (RFC 3986, section 6.2.2): escapes of unreserved characters are decoded, others written with upper
// case digits, and characters that a URI can't have, which includes a percent sign that begins no
// escape, are escaped. An escaped slash divides no segments and stays escaped.
func normalizePath(path string) string {
	if isNormal(path) {
		return path
	}
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		c := path[i]
		if c == '%' {
			if decoded, ok := unescape(path[i:]); ok {
				c, i = decoded, i+2
			}
			if isUnreserved(c) {
				out.WriteByte(c)
				continue
			}
		} else if isURIByte(c) {
			out.WriteByte(c)
			continue
		}
		out.Write([]byte{'%', upperHex[c>>4], upperHex[c&0xf]})
	}
	return out.String()
}

func isNormal(path string) bool {
	for i := range len(path) {
		if path[i] == '%' || !isURIByte(path[i]) {
			return false
		}
	}
	return true
}

// unescape decodes the escape with which text begins; ok is false if it begins with none.
func unescape(text string) (c byte, ok bool) {
	if len(text) < 3 {
		return 0, false
	}
	high, low := hexDigit(text[1]), hexDigit(text[2])
	return byte(high<<4 | low), high >= 0 && low >= 0
}

func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// isURIByte reports whether a URI can have the character unescaped.
func isURIByte(c byte) bool { return c > ' ' && c < 0x7f }
