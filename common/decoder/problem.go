package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	// Origin is the file's name, or the flag or environment variable that
	// set the key.
	Origin string
	// Line counts from 1; 0 where Origin is no file.
	Line int
	// Key is the dotted TOML key; empty for a fault of the whole file.
	Key string
	// Text says what is expected and what was found.
	Text string
}

// String gives the problem as origin:line: key: text.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.Origin)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Key != "" {
		b.WriteString(": " + p.Key)
	}
	b.WriteString(": " + p.Text)
	return b.String()
}

// Problems are all faults of a file, sorted by line. As an error they read
// one per line.
type Problems []Problem

// Error gives all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// maxProblems bounds the problems that are told of one file.
const maxProblems = 1000

// sorted gives the problems by origin and line, each once.
func (p Problems) sorted() Problems {
	sorted := slices.Clone(p)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Origin, b.Origin),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Text, b.Text),
		)
	})
	sorted = slices.Compact(sorted)
	if more := len(sorted) - maxProblems; more > 0 {
		last := sorted[maxProblems-1]
		text := fmt.Sprintf("expected fewer faults, %d more are not shown", more)
		sorted = append(sorted[:maxProblems], Problem{Origin: last.Origin, Text: text})
	}
	return sorted
}
