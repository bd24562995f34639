// Package problem collects the errors in user-written input, so that all of them
// are reported at once, each with the value found and a remedy.
package problem

import (
	"fmt"
	"strings"
)

// Problem is one error in the input: the field, what was found in it, and the
// remedy.
type Problem struct {
	Field  string
	Found  string
	Remedy string
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s; %s", p.Field, p.Found, p.Remedy)
}

// List contains all problems found in one input. It implements error.
type List []Problem

// Error implements error.
func (l List) Error() string {
	messages := make([]string, len(l))
	for i, p := range l {
		messages[i] = p.String()
	}
	return strings.Join(messages, " | ")
}

// Add appends a problem; format and args describe what was found.
func (l *List) Add(field, remedy, format string, args ...any) {
	*l = append(*l, Problem{Field: field, Found: fmt.Sprintf(format, args...), Remedy: remedy})
}

// OrNil returns the list as an error, or nil if the list is empty. A List that
// is returned as an error directly is non-nil even if it is empty.
func (l List) OrNil() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
