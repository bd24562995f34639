package store

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"acaciakeel/httpbody"
	"acaciakeel/httphead"
	"acaciakeel/vm"
)

// Limits of one request for the list of VMs.
const (
	listTimeout = 2 * time.Second
	// maxListHeaderBytes bounds the header of the response, of a few hundred bytes.
	maxListHeaderBytes = 64 << 10
	// maxListBytes bounds the list: 20,000 VMs of 200 bytes.
	maxListBytes = 4 << 20
)

// VMList is a Directory that fetches the list of VMs over HTTP.
type VMList struct {
	baseURL string
	http    *http.Client
}

// NewVMList returns a client for the list served at baseURL, such as http://10.0.0.1:4000.
func NewVMList(baseURL string) *VMList {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxListHeaderBytes
	if strings.HasPrefix(baseURL, "http:") {
		// Over TLS the list may come by a proxy or HTTP/2, whose bytes are others.
		transport.DialContext = httphead.Checked(transport.DialContext)
	}
	return &VMList{baseURL: baseURL, http: &http.Client{Timeout: listTimeout, Transport: transport}}
}

// VMs implements Directory.
func (l *VMList) VMs(ctx context.Context) ([]vm.VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.baseURL+"/v1/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("build request for the list of VMs: %w", err)
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("fetch the list of VMs: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fetch the list of VMs: status %d", resp.StatusCode)
	}
	var vms []vm.VM
	if err := httpbody.Decode(resp, maxListBytes, &vms); err != nil {
		return nil, fmt.Errorf("decode the list of VMs: %w", err)
	}
	return vms, nil
}
