// Package configsync distributes the operators' configuration and the list of
// VMs to every process. In each data centre two processes, the carriers, watch
// the platform; all others long-poll a carrier. A process holds one immutable
// State and accepts only a higher revision, whatever its source.
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

// State is the configuration and the list of VMs in force at a process. It is
// immutable and replaced as a whole.
type State struct {
	Snapshot *resource.Snapshot
	VMs      []vm.VM
	// VMsHash identifies the list, so that a neighbour can detect a change.
	VMsHash uint64
	earlier vmHistory
}

func newState(s *resource.Snapshot, vms []vm.VM, earlier vmHistory) *State {
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

// Leaving reports whether the platform has begun to remove the named VM.
func (s *State) Leaving(name string) bool {
	for _, v := range s.VMs {
		if v.Name == name {
			return v.Leaving
		}
	}
	return false
}

// carriersPerDataCentre is how many processes of a data centre watch the platform.
const carriersPerDataCentre = 2

// Carriers returns the VMs of a data centre in their order as carriers: the
// first two watch the platform, the next ones replace them on failures.
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

// update is the state in a response to a neighbour.
type update struct {
	Delta resource.Delta `json:"delta"`
	// VMs is the whole list or the changes to the requester's; nil if the
	// requester already has it.
	VMs *vmUpdate `json:"vms,omitempty"`
}

// vmUpdate is the difference between two lists of VMs. At the design size the
// list is some hundred kilobytes and changes hundreds of times a day; sending
// it whole to every process of a data centre would exceed a carrier's budget.
type vmUpdate struct {
	// Whole means that Set is the full list. Otherwise Set holds the added and
	// changed VMs, and Removed the names of the removed ones.
	Whole   bool     `json:"whole,omitempty"`
	Set     []vm.VM  `json:"set,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// maxEarlierLists is how many recent lists a process can compute changes from.
const maxEarlierLists = 16

// vmHistory holds the most recent vmHistory of VMs by hash. It is immutable.
type vmHistory struct {
	hashes []uint64
	byHash map[uint64][]vm.VM
}

// with returns a copy with one more list, dropping the oldest beyond maxEarlierLists.
func (l vmHistory) with(hash uint64, vms []vm.VM) vmHistory {
	if _, known := l.byHash[hash]; known {
		return l
	}
	next := vmHistory{hashes: append(slices.Clone(l.hashes), hash), byHash: maps.Clone(l.byHash)}
	if next.byHash == nil {
		next.byHash = map[uint64][]vm.VM{}
	}
	next.byHash[hash] = vms
	if len(next.hashes) > maxEarlierLists {
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

// apply returns the list after the update, or nil for no update.
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

// encodeFor encodes the changes for a neighbour at the given revision and list.
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
