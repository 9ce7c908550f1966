package reporter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// columnGap is the number of spaces between columns of a table.
const columnGap = 2

// WriteTable writes the windows as a table for people: burn rate and samples
// for each length.
func WriteTable(w io.Writer, windows []Window) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	header := []string{"SERVICE", "TARGET", "OBJECTIVE"}
	for _, length := range Lengths {
		header = append(header, strings.ToUpper(lengthText(length)))
	}
	lines := []string{tableLine(append(header, "LEVEL"))}
	for _, r := range Rows(windows) {
		lines = append(lines, tableLine(r.cells()))
	}
	if _, err := io.WriteString(t, strings.Join(lines, "")); err != nil {
		return eris.Wrap(err, "write burn table")
	}
	return eris.Wrap(t.Flush(), "write burn table")
}

func tableLine(cells []string) string {
	return strings.Join(cells, "\t") + "\n"
}

func (r Row) cells() []string {
	cells := []string{string(r.Service), r.Target, fmt.Sprintf("%.4g", r.Windows[0].Objective)}
	for _, length := range Lengths {
		cells = append(cells, r.cell(length))
	}
	return append(cells, string(r.Level()))
}

func (r Row) cell(length time.Duration) string {
	for _, w := range r.Windows {
		if w.Length == length && w.Total > 0 {
			return fmt.Sprintf("%.2f (%d of %d bad)", w.BurnRate(), w.Total-w.Good, w.Total)
		}
	}
	return "-"
}
