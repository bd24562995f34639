package poison

import (
	"testing"
)

// BenchmarkPartsOfARequest is what the parts of a prompt cost an entry for each request: their
// fingerprints, a decision and a success, without any crash known.
func BenchmarkPartsOfARequest(b *testing.B) {
	table := New(nil)
	for b.Loop() {
		parts := partsOf("head", "5c1e07a2", "91bd3f06")
		table.EvaluateParts(parts, start)
		table.RecordPartsSurvived(parts, start)
	}
}
