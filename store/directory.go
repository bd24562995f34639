package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"acaciakeel/vm"
)

// listTimeout bounds one reading of the list of VMs.
const listTimeout = 2 * time.Second

// VMList reads the list of VMs over HTTP.
type VMList struct {
	base string
	http *http.Client
}

// NewVMList returns a reader of the list at base, such as http://10.0.0.1:4000.
func NewVMList(base string) *VMList {
	return &VMList{base: base, http: &http.Client{Timeout: listTimeout}}
}

// VMs implements Directory.
func (l *VMList) VMs(ctx context.Context) ([]vm.VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/v1/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("build the call for the list of VMs: %w", err)
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read the list of VMs: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read the list of VMs: status %d", resp.StatusCode)
	}
	var vms []vm.VM
	if err := json.NewDecoder(resp.Body).Decode(&vms); err != nil {
		return nil, fmt.Errorf("decode the list of VMs: %w", err)
	}
	return vms, nil
}
