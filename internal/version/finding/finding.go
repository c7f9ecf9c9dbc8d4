// Package finding describes what a check found and where, so that all findings
// of one input are reported together.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Place is the position of a value in an input. The zero Place is unknown.
type Place struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`   // from 1; zero when the value was not read from text
	Column int    `json:"column,omitempty"` // from 1, in bytes
	Path   string `json:"path,omitempty"`   // such as endpoints[2].address
}

// Finding is one fault in an input.
type Finding struct {
	Place
	Message string `json:"message"`
}

// String returns the finding as file:line:column: path: message.
func (f Finding) String() string {
	var parts []string
	switch {
	case f.File != "":
		parts = append(parts, fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column))
	case f.Line > 0:
		parts = append(parts, fmt.Sprintf("%d:%d", f.Line, f.Column))
	}
	if f.Path != "" {
		parts = append(parts, f.Path)
	}
	return strings.Join(append(parts, f.Message), ": ")
}

// List holds the findings of one input. It is an error if it is not empty.
type List []Finding

// Add appends a finding.
func (l *List) Add(place Place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// HasPath reports whether the list has a finding at the path.
func (l List) HasPath(path string) bool {
	return slices.ContainsFunc(l, func(f Finding) bool { return f.Path == path })
}

// Sort orders the findings by file, line, column and path.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Path, b.Path),
		)
	})
}

// Err returns the sorted list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	l.Sort()
	return l
}

// Error returns one line for each finding.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
