package reporter

import (
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rotisserie/eris"
)

// WriteTable writes the windows as a text table with the burn rate and the
// sample counts for each window length.
func WriteTable(w io.Writer, windows []Window) error {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	header := table.Row{"service", "target", "objective"}
	for _, length := range WindowLengths {
		header = append(header, formatLength(length))
	}
	t.AppendHeader(append(header, "level"))
	for _, r := range Rows(windows) {
		t.AppendRow(r.cells())
	}
	_, err := io.WriteString(w, t.Render()+"\n")
	return eris.Wrap(err, "write burn table")
}

func (r Row) cells() table.Row {
	cells := table.Row{r.Service, r.Target, fmt.Sprintf("%.4g", r.Windows[0].Objective)}
	for _, length := range WindowLengths {
		cells = append(cells, r.cell(length))
	}
	return append(cells, r.Level())
}

func (r Row) cell(length time.Duration) string {
	for _, w := range r.Windows {
		if w.Length == length && w.Total > 0 {
			return fmt.Sprintf("%.2f (%d of %d bad)", w.BurnRate(), w.Total-w.Good, w.Total)
		}
	}
	return "-"
}
