// Package configsync brings the operators' configuration and the list of VMs
// to every process. In each data centre two processes, the carriers, hold the
// platform's watch; all others wait at a carrier. A process keeps one
// immutable State and takes only a higher revision, whoever it comes from.
package configsync

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
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
	earlier lists
}

func newState(s *resource.Snapshot, vms []vm.VM, earlier lists) *State {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b vm.VM) int { return cmp.Compare(a.Name, b.Name) })
	hash := hashVMs(sorted)
	return &State{Snapshot: s, VMs: sorted, VMsHash: hash, earlier: earlier.with(hash, sorted)}
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
		return cmp.Compare(prefix.RendezvousScore(prefix.NameHash(b.Name), dc), prefix.RendezvousScore(prefix.NameHash(a.Name), dc))
	})
	return own
}

// update is a neighbour's answer.
type update struct {
	Delta resource.Delta `json:"delta"`
	// VMs is the list, whole or as changes of the asker's; nil where the asker
	// has it already.
	VMs *vmUpdate `json:"vms,omitempty"`
}

// vmUpdate brings one list of VMs to the next. At the target size the list is
// some hundred kilobytes and changes hundreds of times a day; sent whole to
// every process of a data centre it would exceed a carrier's budget.
type vmUpdate struct {
	// Whole: Set is the list; else it is what changed, and Removed what went.
	Whole   bool     `json:"whole,omitempty"`
	Set     []vm.VM  `json:"set,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// keptLists is how many earlier lists a process can tell changes from.
const keptLists = 16

// lists remembers the last lists by their hashes. It is immutable.
type lists struct {
	hashes []uint64
	byHash map[uint64][]vm.VM
}

// with returns the lists with one more, the oldest left out past the bound.
func (l lists) with(hash uint64, vms []vm.VM) lists {
	if _, known := l.byHash[hash]; known {
		return l
	}
	next := lists{hashes: append(slices.Clone(l.hashes), hash), byHash: maps.Clone(l.byHash)}
	if next.byHash == nil {
		next.byHash = map[uint64][]vm.VM{}
	}
	next.byHash[hash] = vms
	if len(next.hashes) > keptLists {
		delete(next.byHash, next.hashes[0])
		next.hashes = next.hashes[1:]
	}
	return next
}

func diffVMs(old, next []vm.VM) *vmUpdate {
	have := map[string]vm.VM{}
	for _, v := range old {
		have[v.Name] = v
	}
	u := &vmUpdate{}
	for _, v := range next {
		if have[v.Name] != v {
			u.Set = append(u.Set, v)
		}
		delete(have, v.Name)
	}
	u.Removed = slices.Sorted(maps.Keys(have))
	return u
}

// apply returns the list after the update.
func (u *vmUpdate) apply(old []vm.VM) []vm.VM {
	if u == nil {
		return nil
	}
	if u.Whole {
		return u.Set
	}
	byName := map[string]vm.VM{}
	for _, v := range old {
		byName[v.Name] = v
	}
	for _, v := range u.Set {
		byName[v.Name] = v
	}
	for _, name := range u.Removed {
		delete(byName, name)
	}
	return slices.Collect(maps.Values(byName))
}

// encodeFor returns the state for a neighbour that has the given revision and list.
func (s *State) encodeFor(revision int64, vmsHash uint64) ([]byte, error) {
	u := update{Delta: s.Snapshot.Since(revision), VMs: s.vmsFor(vmsHash)}
	data, err := json.Marshal(u)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}

func (s *State) vmsFor(hash uint64) *vmUpdate {
	if hash == s.VMsHash {
		return nil
	}
	if old, known := s.earlier.byHash[hash]; known {
		return diffVMs(old, s.VMs)
	}
	return &vmUpdate{Whole: true, Set: s.VMs}
}
