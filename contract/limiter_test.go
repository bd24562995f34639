package contract

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestLimits(t *testing.T) {
	a := NewLimiter(Limits{RequestsPerSecond: 2, TokensPerSecond: 100, Streams: 3}.Share(1))
	expect := func(want Exceeded, tokens int, at time.Duration) {
		t.Helper()
		got, wait := a.Acquire(tokens, start.Add(at))
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
	a.Release()
	expect(None, 1, 5*time.Second)
}

// A prompt larger than a second's tokens must pass once, and be paid off.
func TestLargePrompt(t *testing.T) {
	a := NewLimiter(Limits{TokensPerSecond: 100})
	if got, _ := a.Acquire(500, start); got != None {
		t.Fatalf("refused by %s", got)
	}
	if got, wait := a.Acquire(1, start.Add(time.Second)); got != Tokens || wait < 2*time.Second {
		t.Errorf("%s after %v, want the debt to hold it back", got, wait)
	}
}

// Shares of all entries together are the contract.
func TestShare(t *testing.T) {
	share := Limits{RequestsPerSecond: 30, TokensPerSecond: 90, Streams: 4}.Share(3)
	if share.RequestsPerSecond != 10 || share.TokensPerSecond != 30 || share.Streams != 2 {
		t.Errorf("share %+v", share)
	}
}

func TestChangedLimitsCountOn(t *testing.T) {
	a := NewLimiter(Limits{RequestsPerSecond: 1})
	a.Acquire(0, start)
	a.SetLimits(Limits{RequestsPerSecond: 0.5}, start)
	if got, _ := a.Acquire(0, start); got != Requests {
		t.Error("a change of the limits forgave what was used")
	}
}
