package store

import (
	"testing"

	"acaciakeel/internal/standin/malformed"
)

// Guards against a malformed response that counts as the list of VMs.
func TestMalformedListIsRefused(t *testing.T) {
	for name, head := range malformed.Heads() {
		t.Run(name, func(t *testing.T) {
			if vms, err := NewVMList("http://" + malformed.Serve(t, head, "[]")).VMs(t.Context()); err == nil {
				t.Errorf("%v", vms)
			}
		})
	}
}
