package rationer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestAcquainted guards against a host that takes itself for the only one as no other has
// answered it.
func TestAcquainted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 1, 1)
		defer f.stop()
		f.mu.Lock()
		f.side[1] = 1
		f.mu.Unlock()
		r := f.hosts[0].rationer
		time.Sleep(12 * time.Second)
		is.True(r.Ready(time.Now()))
		is.True(!r.Acquainted())
		f.mu.Lock()
		f.side[1] = 0
		f.mu.Unlock()
		time.Sleep(time.Second)
		is.True(r.Acquainted())
	})
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1, 1)
		defer f.stop()
		is.New(t).True(f.hosts[0].rationer.Acquainted())
	})
}
