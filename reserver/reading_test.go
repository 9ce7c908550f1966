package reserver

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReadingTime plays prefills whose engines become busy: a request that
// starts at the last moment would be late.
func TestReadingTime(t *testing.T) {
	play := func(r *readingTime, took time.Duration, count int) {
		for n := range count {
			r.add(took + time.Duration(n%3)*20*time.Millisecond)
		}
	}
	t.Run("nothing is known at first", func(t *testing.T) {
		is.New(t).Equal((&readingTime{}).delay(), time.Duration(0))
	})
	t.Run("idle engines cost no time", func(t *testing.T) {
		r := &readingTime{}
		play(r, 200*time.Millisecond, 50)
		is.New(t).Equal(r.delay(), time.Duration(0))
	})
	t.Run("busy engines make requests start earlier", func(t *testing.T) {
		i := is.New(t)
		r := &readingTime{}
		play(r, 200*time.Millisecond, 50)
		play(r, 500*time.Millisecond, 20)
		i.True(r.delay() > 150*time.Millisecond && r.delay() < 400*time.Millisecond)
		play(r, 200*time.Millisecond, 50)
		i.Equal(r.delay(), time.Duration(0))
	})
	t.Run("the delay is bounded", func(t *testing.T) {
		r := &readingTime{}
		play(r, 5*time.Second, 50)
		is.New(t).Equal(r.delay(), longestDelay)
	})
}
