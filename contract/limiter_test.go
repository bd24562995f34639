package contract

import (
	"testing"
	"time"
)

var t0 = time.Unix(1000, 0)

func TestRequestTokenAndStreamLimits(t *testing.T) {
	limiter := NewLimiter(Limits{RequestsPerSecond: 2, TokensPerSecond: 100, Streams: 3}.Share(1))
	expect := func(want Exceeded, tokens int, at time.Duration) {
		t.Helper()
		got, wait := limiter.Acquire(tokens, t0.Add(at))
		if got != want || (want != None && wait <= 0) {
			t.Errorf("%s after %v, want %s", got, wait, want)
		}
	}
	expect(None, 10, 0)
	expect(None, 10, 0)
	expect(Requests, 10, 0)
	expect(Tokens, 90, 0)
	expect(None, 10, time.Second)
	expect(Streams, 1, 5*time.Second)
	limiter.Release()
	expect(None, 1, 5*time.Second)
}

// Guards against a prompt larger than the bucket being refused forever, or admitted without counting against the rate.
func TestPromptLargerThanBurstLeavesDebt(t *testing.T) {
	limiter := NewLimiter(Limits{TokensPerSecond: 100})
	if got, _ := limiter.Acquire(500, t0); got != None {
		t.Fatalf("refused by the limit of %s", got)
	}
	if got, wait := limiter.Acquire(1, t0.Add(time.Second)); got != Tokens || wait < 2*time.Second {
		t.Errorf("%s after %v, want the negative balance to delay it", got, wait)
	}
}

// The shares of all entries add up to the limits; the share of streams is rounded up.
func TestShare(t *testing.T) {
	share := Limits{RequestsPerSecond: 30, TokensPerSecond: 90, Streams: 4}.Share(3)
	if share.RequestsPerSecond != 10 || share.TokensPerSecond != 30 || share.Streams != 2 {
		t.Errorf("share %+v", share)
	}
}

func TestSetLimitsKeepsUsage(t *testing.T) {
	limiter := NewLimiter(Limits{RequestsPerSecond: 1})
	limiter.Acquire(0, t0)
	limiter.SetLimits(Limits{RequestsPerSecond: 0.5}, t0)
	if got, _ := limiter.Acquire(0, t0); got != Requests {
		t.Error("usage was lost when the limits changed")
	}
}
