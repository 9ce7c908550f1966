package soaker

import (
	_ "embed"
	"fmt"
	"strings"
)

// Regression is a seed that once broke a guarantee, in a run of 3 hosts and 20 s
// of faults.
type Regression struct {
	Seed  uint64
	Cause string
}

//go:embed regressions.txt
var regressionText string

// Regressions returns the regression seeds. A seed's faults stay the same until
// faults are added to the soak or their probabilities change.
func Regressions() ([]Regression, error) {
	var all []Regression
	for line := range strings.Lines(regressionText) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		seed, cause, _ := strings.Cut(line, " ")
		r := Regression{Cause: strings.TrimSpace(cause)}
		if _, err := fmt.Sscan(seed, &r.Seed); err != nil {
			return nil, fmt.Errorf("line %q has no seed: %w", line, err)
		}
		all = append(all, r)
	}
	return all, nil
}
