package httpbody

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// Guards against a body that is cut, read in part as whole, or counted after its request.
func TestReservedBodyIsWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, 2 * firstBuffer, 5*firstBuffer + 3} {
		want := bytes.Repeat([]byte("ab3"), size)[:size]
		for _, length := range []int64{int64(size), -1} {
			for name, in := range map[string]io.Reader{"at once": bytes.NewReader(want), "in pieces": iotest.HalfReader(bytes.NewReader(want)), "with its end": iotest.DataErrReader(bytes.NewReader(want))} {
				budget := NewBudget(64 * firstBuffer)
				held := budget.Reserve()
				got, err := held.Read(in, length)
				if err != nil || !bytes.Equal(got, want) || budget.Held() < int64(size) {
					t.Errorf("%d bytes of length %d %s: %d bytes, %d held (%v)", size, length, name, len(got), budget.Held(), err)
				}
				held.Release()
				if budget.Held() != 0 {
					t.Errorf("%d bytes are held after the release", budget.Held())
				}
			}
		}
	}
	cut := errors.New("cut")
	in := io.MultiReader(strings.NewReader("1234"), iotest.ErrReader(cut))
	if got, err := NewBudget(1<<20).Reserve().Read(in, 8); !errors.Is(err, cut) {
		t.Errorf("a body that breaks off: %q (%v)", got, err)
	}
}

// Guards against a refusal that invites clients to come back with a body that never fits.
func TestBodyThatNeverFitsIsTooLarge(t *testing.T) {
	const total = 8 * firstBuffer
	for _, length := range []int64{total/2 + 1, -1} {
		if _, err := NewBudget(total).Reserve().Read(strings.NewReader(strings.Repeat("x", total/2+1)), length); !errors.Is(err, ErrTooLarge) {
			t.Errorf("a body over half of the budget, length %d: %v", length, err)
		}
	}
}

// Whatever bodies come and go, they stay within the budget, and a body is refused only if it would
// leave less than it takes.
func TestBudget(t *testing.T) {
	const total = 64 * firstBuffer
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget(total)
		var live []*Reservation
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(live) > 0 && rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				i := rapid.IntRange(0, len(live)-1).Draw(t, "ends")
				live[i].Release()
				live = append(live[:i], live[i+1:]...)
				continue
			}
			size := rapid.Int64Range(0, total/2).Draw(t, "size")
			length := rapid.SampledFrom([]int64{size, -1}).Draw(t, "length")
			free := total - budget.Held()
			held := budget.Reserve()
			_, err := held.Read(strings.NewReader(strings.Repeat("x", int(size))), length)
			// Buffers double, and have one byte more than the body.
			if need := 2*size + firstBuffer; err != nil && 2*need <= free {
				t.Fatalf("%d bytes refused with %d free: %v", size, free, err)
			}
			if err == nil && 2*size > free {
				t.Fatalf("%d bytes held with %d free", size, free)
			}
			if budget.Held() > total {
				t.Fatalf("%d bytes held", budget.Held())
			}
			if err != nil {
				held.Release()
				continue
			}
			live = append(live, held)
		}
		for _, r := range live {
			r.Release()
		}
		if budget.Held() != 0 {
			t.Fatalf("%d bytes held at the end", budget.Held())
		}
	})
}
