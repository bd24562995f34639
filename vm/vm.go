// Package vm describes the virtual machines of the system, the data centres
// that they stand in, and the regions of those.
package vm

// Role is the job of the process on a VM.
type Role string

// The roles of the system's own processes.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// DataCentre is one data centre; links inside a region are short.
type DataCentre struct {
	Name   string `json:"name" toml:"name"`
	Region string `json:"region" toml:"region"`
}

// VM is one machine in the platform's lagging list.
type VM struct {
	// Name is unique among the VMs alive at one time.
	Name       string     `json:"name"`
	Role       Role       `json:"role"`
	DataCentre DataCentre `json:"data_centre"`
	// URL is where the VM's process serves the system's own messages.
	URL string `json:"url"`
	// Leaving is set from the moment the platform begins to take the VM away.
	Leaving bool `json:"leaving"`
}
