package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// windowJSON is the JSON representation of a Window.
type windowJSON struct {
	Service   string  `json:"service"`
	Target    string  `json:"target"`
	WindowMs  int64   `json:"window-ms"`
	Good      uint64  `json:"good"`
	Total     uint64  `json:"total"`
	Objective float64 `json:"objective"`
	BurnRate  float64 `json:"burn-rate"`
	Level     Level   `json:"level"`
}

// WriteJSON writes the windows as a JSON array with one object per window.
func WriteJSON(w io.Writer, windows []Window) error {
	list := make([]windowJSON, 0, len(windows))
	for _, r := range Rows(windows) {
		for _, v := range r.Windows {
			list = append(list, windowJSON{
				Service:   string(v.Service),
				Target:    v.Target,
				WindowMs:  v.Length.Milliseconds(),
				Good:      v.Good,
				Total:     v.Total,
				Objective: v.Objective,
				BurnRate:  v.BurnRate(),
				Level:     r.Level(),
			})
		}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(list), "write burn report")
}

// formatLength formats a window length in hours or minutes, such as 6h or 30m.
func formatLength(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
