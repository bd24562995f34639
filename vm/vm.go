// Package vm describes the virtual machines of the system, their data centres
// and the regions of the data centres.
package vm

// Role is the function of the process on a VM.
type Role string

// Roles of the system's own processes.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// DataCentre is a data centre. Links within a region have a low latency.
type DataCentre struct {
	Name   string `json:"name" toml:"name"`
	Region string `json:"region" toml:"region"`
}

// VM is one VM in the platform's list, which lags behind the actual state.
type VM struct {
	// Name is unique among the VMs that exist at the same time.
	Name       string     `json:"name"`
	Role       Role       `json:"role"`
	DataCentre DataCentre `json:"data_centre"`
	// URL is the address at which the VM's process serves the other processes of
	// the system.
	URL string `json:"url"`
	// Leaving is set once the platform has begun to remove the VM.
	Leaving bool `json:"leaving"`
}
