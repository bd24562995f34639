package poison

import (
	"fmt"
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

// BenchmarkPartsBesideCrashes is what a decision costs while crashes for other reasons count against
// many parts.
func BenchmarkPartsBesideCrashes(b *testing.B) {
	const parts, crashes = 200, 10
	table := New(nil)
	for i := range parts {
		for j := range crashes {
			crashParts(table, i*crashes+j, start, partsOf(fmt.Sprint("part", i)))
		}
	}
	request := partsOf("part0", "part1", "part2")
	for b.Loop() {
		table.EvaluateParts(request, start)
	}
}
