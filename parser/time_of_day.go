package parser

import (
	"fmt"
	"time"
)

// TimeOfDay is the time since midnight UTC, written as "22:30".
type TimeOfDay time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TimeOfDay) UnmarshalText(text []byte) error {
	parsed, err := time.Parse("15:04", string(text))
	if err != nil || len(text) != len("15:04") {
		return fmt.Errorf(`expected a time of day in UTC, such as "22:30", got %.20q`, text)
	}
	*t = TimeOfDay(parsed.Sub(time.Date(0, 1, 1, 0, 0, 0, 0, time.UTC)))
	return nil
}
