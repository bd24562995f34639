package store

import (
	"net/http"
	"testing"

	"acaciakeel/internal/standin/endless"
)

// Guards against a list of VMs without an end that takes the memory of each process.
func TestListOfVMsEndsEndlessResponses(t *testing.T) {
	const headerBytes, bodyBytes, bufferBytes = 64 << 10, 4 << 20, 16 << 10
	for _, response := range endless.Responses(`[{"x":"`) {
		t.Run(response.Name, func(t *testing.T) {
			most := int64(headerBytes + bufferBytes)
			if response.Part == endless.Body {
				// Chunks of 1,024 bytes come with 7 bytes each.
				most += bodyBytes + bodyBytes*7/1024
			}
			endless.Check(t, response, most, func(m *endless.Meter, address string) error {
				list := NewVMList("http://" + address)
				transport := list.http.Transport.(*http.Transport)
				transport.DialContext = m.Dial(transport.DialContext)
				_, err := list.VMs(t.Context())
				return err
			})
		})
	}
}
