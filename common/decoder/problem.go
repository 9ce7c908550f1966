package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem describes one invalid or missing key, or a file that can't be decoded.
type Problem struct {
	// Origin is the file's name, or the flag or environment variable that
	// set the key.
	Origin string
	// Line is numbered from 1; 0 if Origin is not a file.
	Line int
	// Key is the dotted TOML key; empty if the problem concerns the whole file.
	Key string
	// Text describes the expected and the actual value.
	Text string
}

// String returns the problem in the form "origin:line: key: text".
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

// Problems is an error that lists all problems of a file, sorted by line.
type Problems []Problem

// Error returns all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// maxProblems bounds the number of problems reported for a file.
const maxProblems = 1000

// sorted returns the problems sorted by origin and line, without duplicates.
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
