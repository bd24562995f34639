package order

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawTime returns a time until the year 2100.
func drawTime(t *rapid.T, name string) time.Time {
	return time.UnixMilli(rapid.Int64Range(0, 4102444800000).Draw(t, name))
}

// Guards against a token that is not higher than all that the holder knows of, such as after its
// clock has stepped back, and against one that a JSON number cannot hold.
func TestTokenIsHigherThanKnownOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		highest := rapid.Int64Range(0, MaxToken/2).Draw(t, "highest")
		for range rapid.IntRange(1, 20).Draw(t, "holds") {
			token := NextToken(drawTime(t, "now"), rapid.String().Draw(t, "holder"), highest)
			if token <= highest || token > MaxToken || int64(float64(token)) != token {
				t.Fatalf("token %d after %d", token, highest)
			}
			highest = token
		}
	})
}

// Guards against two holders with one token: neither knows of the other's, and their clocks or
// the highest tokens that they know of are equal.
func TestTokensOfTwoHoldersDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := rapid.String().Draw(t, "one")
		selectsAnother := func(name string) bool { return tokenOf(name) != tokenOf(one) }
		other := rapid.String().Filter(selectsAnother).Draw(t, "other")
		now, highest := drawTime(t, "now"), rapid.Int64Range(0, MaxToken/2).Draw(t, "highest")
		later := now.Add(time.Duration(rapid.Int64Range(-3, 3).Draw(t, "ms")) * time.Millisecond)
		further := highest + rapid.Int64Range(0, 3*tokensPerMillisecond).Draw(t, "ahead")
		if a, b := NextToken(now, one, highest), NextToken(later, other, further); a == b {
			t.Fatalf("both holders get the token %d", a)
		}
	})
}

// Guards against a lower token after a higher one where a holder does not know of the latest ones
// because the store was restored.
func TestLaterHolderWithoutMemoryGetsHigherToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := drawTime(t, "now")
		first := NextToken(now, rapid.String().Draw(t, "one"), 0)
		later := now.Add(time.Duration(rapid.Int64Range(1, math.MaxInt32).Draw(t, "ms")) * time.Millisecond)
		if second := NextToken(later, rapid.String().Draw(t, "other"), 0); second <= first {
			t.Fatalf("token %d after %d", second, first)
		}
	})
}

// Guards against a damaged record that uses up the numbers, and against a valid one that is
// taken for damaged.
func TestValidToken(t *testing.T) {
	for token, want := range map[int64]bool{
		-1: false, 0: true, 41: true, math.MaxInt64: false, MaxToken: false,
		NextToken(time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC), "a", 0): true,
	} {
		if got := ValidToken(token); got != want {
			t.Errorf("ValidToken(%d) = %t", token, got)
		}
	}
}
