package stream

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against tokens lost, repeated or out of order when connections break and resume, events are duplicated, missing
// or from abandoned attempts, and another engine continues the stream.
func TestAssemblerPassesEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 30
		var a Assembler
		var got []int
		attempt := uint32(1)
		bases := map[uint32]int{1: 0}
		a.StartAttempt(1)
		for len(got) < length {
			attemptNumber := rapid.SampledFrom([]uint32{attempt, attempt, attempt, max(1, attempt-1)}).Draw(t, "attempt")
			offset := rapid.IntRange(max(0, a.AttemptOffset()-2), a.AttemptOffset()+2).Draw(t, "offset")
			switch a.Accept(attemptNumber, offset) {
			case Next:
				got = append(got, bases[attemptNumber]+offset)
			case Stale:
				if attemptNumber == attempt {
					t.Fatal("an event of the current attempt was dropped as stale")
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "break") == 0 {
				attempt++
				a.StartAttempt(attempt)
				bases[attempt] = len(got)
			}
		}
		for i, n := range got {
			if n != i {
				t.Fatalf("passed on %v", got)
			}
		}
	})
}

func TestBuffer(t *testing.T) {
	b := NewBuffer(5)
	if b.Append(4, "x") || b.Append(6, "x") || !b.Append(5, "five") {
		t.Error("Append must accept the next token and no other")
	}
	for offset, want := range map[int]bool{4: false, 5: true, 6: true, 7: false} {
		if got := b.CanReadFrom(offset); got != want {
			t.Errorf("can read from %d: %v", offset, got)
		}
	}
	b.Close(Finish{Reason: "length"})
	b.Close(Finish{Reason: "late"})
	if b.Append(6, "late") {
		t.Error("a token was added after the end")
	}
	tokens, finish, _ := b.TokensFrom(5)
	if fmt.Sprint(tokens) != "[five]" || finish == nil || finish.Reason != "length" {
		t.Errorf("tokens %v, finish %v", tokens, finish)
	}
}
