package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEventInterval(t *testing.T) {
	receive := func(count int) *decoding {
		d := &decoding{}
		for n := range count {
			d.recordEvent(time.Unix(1_000_000, 0).Add(time.Duration(n) * 40 * time.Millisecond))
		}
		return d
	}
	t.Run("is the mean time between events", func(t *testing.T) {
		is.New(t).Equal(receive(20).eventInterval(), 40*time.Millisecond)
	})
	t.Run("is unknown of few events", func(t *testing.T) {
		i := is.New(t)
		i.Equal(receive(0).eventInterval(), time.Duration(0))
		i.Equal(receive(minEventsForInterval-1).eventInterval(), time.Duration(0))
	})
}
