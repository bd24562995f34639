package stream

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// A caller must read every token once and in order. What happens: connections
// break and go silent, are resumed at an offset, events come twice, from
// attempts that were given up, or with holes; the engine dies and another goes
// on. The cause of a broken text would be an event passed on out of turn.
func TestAssemblerPassesEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 30
		var a Assembler
		var got []int
		attempt := uint32(1)
		bases := map[uint32]int{1: 0}
		a.StartAttempt(1)
		for len(got) < length {
			from := rapid.SampledFrom([]uint32{attempt, attempt, attempt, max(1, attempt-1)}).Draw(t, "attempt")
			at := rapid.IntRange(max(0, a.AttemptOffset()-2), a.AttemptOffset()+2).Draw(t, "offset")
			switch a.Accept(from, at) {
			case Next:
				got = append(got, bases[from]+at)
			case Stale:
				if from == attempt {
					t.Fatal("an event of the current attempt was dropped as crossed")
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
		t.Error("only the next token may be added")
	}
	for offset, want := range map[int]bool{4: false, 5: true, 6: true, 7: false} {
		if got := b.CanReadFrom(offset); got != want {
			t.Errorf("holds %d: %v", offset, got)
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
