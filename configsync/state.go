// Package configsync brings the operators' configuration and the list of VMs
// to every process. In each data centre two processes, the carriers, hold the
// platform's watch; all others wait at a carrier. A process keeps one
// immutable State and takes only a higher revision, whoever it comes from.
package configsync

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"acaciakeel/prefix"
	"acaciakeel/resource"
	"acaciakeel/vm"
)

// State is what a process knows: immutable, swapped as a whole.
type State struct {
	Snapshot *resource.Snapshot
	VMs      []vm.VM
	// VMsHash identifies the list, so that a neighbour can tell a new one.
	VMsHash uint64
}

func newState(s *resource.Snapshot, vms []vm.VM) *State {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b vm.VM) int { return cmp.Compare(a.Name, b.Name) })
	return &State{Snapshot: s, VMs: sorted, VMsHash: hashVMs(sorted)}
}

func hashVMs(vms []vm.VM) uint64 {
	data, _ := json.Marshal(vms)
	return prefix.Root(string(data))
}

// Count returns how many VMs have the role and are not leaving.
func (s *State) Count(role vm.Role) int {
	n := 0
	for _, v := range s.VMs {
		if v.Role == role && !v.Leaving {
			n++
		}
	}
	return n
}

// Leaving reports whether the platform has begun to take the named VM away.
func (s *State) Leaving(name string) bool {
	for _, v := range s.VMs {
		if v.Name == name {
			return v.Leaving
		}
	}
	return false
}

// carriersPerDataCentre is how many processes of a data centre hold the watch.
const carriersPerDataCentre = 2

// Carriers returns the VMs of a data centre in the order in which they carry:
// the first two hold the watch, the next step in when others look for one.
func (s *State) Carriers(dataCentre string) []vm.VM {
	var own []vm.VM
	for _, v := range s.VMs {
		if v.DataCentre.Name == dataCentre && !v.Leaving && v.URL != "" {
			own = append(own, v)
		}
	}
	dc := prefix.NameHash(dataCentre)
	slices.SortFunc(own, func(a, b vm.VM) int {
		return cmp.Compare(prefix.Score(prefix.NameHash(b.Name), dc), prefix.Score(prefix.NameHash(a.Name), dc))
	})
	return own
}

// update is a neighbour's answer.
type update struct {
	Delta resource.Delta `json:"delta"`
	// VMs is nil where the asker has the list already.
	VMs []vm.VM `json:"vms,omitempty"`
}

// encodeFor returns the state for a neighbour that has the given revision and list.
func (s *State) encodeFor(revision int64, vmsHash uint64) ([]byte, error) {
	u := update{Delta: s.Snapshot.Since(revision)}
	if s.VMsHash != vmsHash {
		u.VMs = s.VMs
	}
	data, err := json.Marshal(u)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}
