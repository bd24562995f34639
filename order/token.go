package order

import (
	"hash/fnv"
	"time"
)

const (
	// tokensPerMillisecond is how many tokens there are for each millisecond; a process uses
	// only the one that its name selects.
	tokensPerMillisecond = 1000
	// MaxToken is the highest fencing token. JSON decoders that use floating point represent
	// integers exactly up to this one.
	MaxToken = 1<<53 - 1
)

// NextToken returns the fencing token of a new hold by the holder. It is higher than highest,
// the highest token that the holder knows of, and follows the time: a holder that does not know
// of the latest tokens, because the store was restored from an older copy, still gets a higher
// one if the clocks agree. Two holders whose names select different tokens never get an equal
// one, whatever they know.
//
// highest must be less than MaxToken by at least tokensPerMillisecond; see ValidToken.
func NextToken(now time.Time, holder string, highest int64) int64 {
	own := tokenOf(holder)
	if token := now.UnixMilli()*tokensPerMillisecond + own; token > highest {
		return token
	}
	token := highest - highest%tokensPerMillisecond + own
	if token <= highest {
		token += tokensPerMillisecond
	}
	return token
}

// ValidToken reports whether a token read from outside may be one that NextToken returned, so
// that NextToken may continue from it. One read from a damaged record could otherwise use up the
// numbers.
func ValidToken(token int64) bool {
	return token >= 0 && token <= MaxToken/2
}

// tokenOf returns which of the tokens of a millisecond a holder uses.
func tokenOf(holder string) int64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(holder))
	return int64(h.Sum32() % tokensPerMillisecond)
}
