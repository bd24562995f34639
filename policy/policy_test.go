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
