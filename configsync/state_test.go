package configsync

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"acaciakeel/resource"
	"acaciakeel/vm"
)

// Guards against a follower whose list of VMs differs from its carrier's after
// incremental updates, so that requests go to removed VMs.
func TestVMChangesBringTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		carrier := newState(resource.Empty(), nil, vmHistory{})
		follower := newState(resource.Empty(), nil, vmHistory{})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			carrier = newState(carrier.Snapshot, drawVMs(t), carrier.earlier)
			if rapid.IntRange(0, 3).Draw(t, "sync") != 0 {
				continue
			}
			if u := carrier.vmsFor(follower.VMsHash); u != nil {
				follower = newState(follower.Snapshot, u.apply(follower.VMs), follower.earlier)
			}
			if follower.VMsHash != carrier.VMsHash {
				t.Fatalf("lists differ: %v and %v", follower.VMs, carrier.VMs)
			}
		}
	})
}

func drawVMs(t *rapid.T) []vm.VM {
	var vms []vm.VM
	for i := range 6 {
		if rapid.Bool().Draw(t, "there") {
			vms = append(vms, vm.VM{Name: fmt.Sprint("vm-", i), Leaving: rapid.Bool().Draw(t, "leaving")})
		}
	}
	return vms
}

// Guards against carriers that depend on the order of the list or include
// leaving VMs.
func TestCarriers(t *testing.T) {
	vms := []vm.VM{
		{Name: "a", URL: "u", DataCentre: vm.DataCentre{Name: "d"}},
		{Name: "b", URL: "u", DataCentre: vm.DataCentre{Name: "d"}},
		{Name: "c", URL: "u", DataCentre: vm.DataCentre{Name: "d"}, Leaving: true},
		{Name: "e", URL: "u", DataCentre: vm.DataCentre{Name: "other"}},
	}
	one := newState(resource.Empty(), vms, vmHistory{}).Carriers("d")
	other := newState(resource.Empty(), []vm.VM{vms[3], vms[2], vms[1], vms[0]}, vmHistory{}).Carriers("d")
	if len(one) != 2 || fmt.Sprint(one) != fmt.Sprint(other) {
		t.Errorf("carriers %v and %v", one, other)
	}
}
