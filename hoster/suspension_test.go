package hoster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSuspensionDetector(t *testing.T) {
	second := time.Second
	cases := []struct {
		name         string
		boot, steady time.Duration
		want         time.Duration
	}{
		{"is none while both clocks move", 2 * second, 2 * second, 0},
		{"is the time that the steady clock doesn't count", 5 * second, 2 * second, 3 * second},
		{"is none where the difference is small", 2*second + 100*time.Millisecond, 2 * second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			s := &suspensionDetector{}
			s.compare(10*second, 10*second)
			i.Equal(s.compare(10*second+c.boot, 10*second+c.steady), c.want)
			i.Equal(s.compare(20*second+c.boot, 20*second+c.steady), 0*second) // reported once
		})
	}
}
