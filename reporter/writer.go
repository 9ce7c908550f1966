package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// windowJSON is a Window as WriteJSON writes it.
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

// WriteJSON writes the windows as a JSON array, one object a window.
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

// lengthText gives a length in hours or minutes, for example 30m or 6h.
func lengthText(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
