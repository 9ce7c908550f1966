package messenger_test

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/messenger"
)

// strangers is more connections than may be without a hello at a time.
const strangers = 300

// Connections that don't say who they are take a bounded part of the host.
func TestStrangers(t *testing.T) {
	dial := func(t *testing.T, h *testHost) net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", string(h.address))
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	t.Run("that open many connections are closed", func(t *testing.T) {
		i := is.New(t)
		h := startHost(t, "a", messenger.Options{HelloTimeout: time.Minute}, echo)
		var last net.Conn
		for range strangers {
			last = dial(t, h)
		}
		i.NoErr(last.SetDeadline(time.Now().Add(10 * time.Second)))
		_, err := last.Read(make([]byte, 1))
		i.True(errors.Is(err, io.EOF))
	})
	t.Run("that announce a large hello are refused before it arrives", func(t *testing.T) {
		i := is.New(t)
		h := startHost(t, "a", messenger.Options{HelloTimeout: time.Minute}, echo)
		c := dial(t, h)
		_, err := c.Write(binary.BigEndian.AppendUint32(nil, 1<<20))
		i.NoErr(err)
		i.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
		refusal, err := io.ReadAll(c)
		i.NoErr(err)
		i.True(len(refusal) > 0)
	})
}
