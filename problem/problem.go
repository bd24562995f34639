// Package problem collects mistakes in what people write, so that all are
// reported at once, each with what was found and the remedy.
package problem

import (
	"fmt"
	"strings"
)

// Problem is one mistake: where it is, what was found there, the remedy.
type Problem struct {
	Field  string
	Found  string
	Remedy string
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s; %s", p.Field, p.Found, p.Remedy)
}

// List is every mistake found.
type List []Problem

// Error implements error.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.String()
	}
	return strings.Join(lines, " | ")
}

// Add adds one mistake; format and args say what was found.
func (l *List) Add(field, remedy, format string, args ...any) {
	*l = append(*l, Problem{Field: field, Found: fmt.Sprintf(format, args...), Remedy: remedy})
}

// OrNil returns the list as an error, or nil when it is empty.
func (l List) OrNil() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
