package policy

import (
	"strings"
	"testing"
)

// An unknown name that is silently ignored would leave the mechanism enabled although
// the operator believes that it is disabled.
func TestParseRejectsUnknownNames(t *testing.T) {
	off, err := Parse([]string{"apart", "saving"})
	if err != nil || !off[ReserveForLight] || !off[CacheSaving] || off[Packing] {
		t.Errorf("Parse returned %v, %v", off, err)
	}
	if _, err = Parse([]string{"apart", "packs"}); err == nil || !strings.Contains(err.Error(), `"packs"`) || !strings.Contains(err.Error(), "packing") {
		t.Errorf("error %v does not contain the unknown name and the valid ones", err)
	}
}

// A mechanism that is off by default must not take effect before an operator asks for it.
func TestSelectSwitchesOnWhatIsNamed(t *testing.T) {
	off, err := Select([]string{"saving"}, nil)
	if err != nil || !off[EventPauses] || !off[CacheSaving] || off[Division] {
		t.Errorf("Select returned %v, %v", off, err)
	}
	if off, err = Select(nil, []string{"pauses"}); err != nil || off[EventPauses] {
		t.Errorf("Select returned %v, %v with pauses switched on", off, err)
	}
	if _, err = Select([]string{"pauses"}, []string{"pauses"}); err == nil {
		t.Error("a mechanism switched on and off was accepted")
	}
	if _, err = Select(nil, []string{"pause"}); err == nil || !strings.Contains(err.Error(), "--with") {
		t.Errorf("error %v does not name the option", err)
	}
}
