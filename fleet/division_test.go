package fleet

import (
	"testing"
	"time"

	"acaciakeel/policy"
)

// Guards against streams with a bound that pause beside long prompts though targets are
// reserved for them, and against requests refused on a full side of the division.
func TestDivisionKeepsStreamsFromLongPrompts(t *testing.T) {
	f := New("z")
	f.Disable(policy.Disabled{policy.EventPauses: true})
	indices, reserved := []int32{0, 1, 2, 3}, map[int32]bool{1: true}
	light, heavy := Query{MaxEventGap: 300 * time.Millisecond, light: true}, Query{MaxEventGap: 300 * time.Millisecond}
	if own := f.division(light, indices, reserved); len(own) != 1 || own[0] != 1 {
		t.Errorf("a light request may use %v", own)
	}
	if own := f.division(heavy, indices, reserved); len(own) != 3 {
		t.Errorf("a heavy request may use %v", own)
	}
	if own := f.division(Query{light: true}, indices, reserved); len(own) != len(indices) {
		t.Errorf("a request without a bound may use %v", own)
	}
	if own := f.division(heavy, []int32{1}, reserved); len(own) != 1 {
		t.Errorf("a request without targets of its own may use %v", own)
	}
	f.Disable(policy.Disabled{policy.EventPauses: true, policy.Division: true})
	if own := f.division(light, indices, reserved); len(own) != len(indices) {
		t.Errorf("with the division switched off a request may use %v", own)
	}
}
