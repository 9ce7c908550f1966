package messenger_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

const testMaxBytes = 1 << 10

func encodeFrame(t testing.TB, e peerwire.Envelope, payload msgp.Marshaler) []byte {
	t.Helper()
	b, err := messenger.AppendFrame(nil, &e, payload, 2*testMaxBytes)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func readFrame(b []byte) (e peerwire.Envelope, payload []byte, err error) {
	payload, err = messenger.NewFrameReader(bytes.NewReader(b), 2*testMaxBytes).Read(&e)
	return e, payload, err
}

func TestFrame(t *testing.T) {
	e := peerwire.Envelope{Type: peerwire.FrameCall, ID: 7, Kind: peerwire.KindAllocate, TimeLeftMs: 1500}
	t.Run("round trip", func(t *testing.T) {
		is := is.New(t)
		got, payload, err := readFrame(encodeFrame(t, e, text("slots")))
		is.NoErr(err)
		is.Equal(got, e)
		is.Equal(payload, []byte(text("slots")))
	})
	t.Run("several frames", func(t *testing.T) {
		is := is.New(t)
		r := messenger.NewFrameReader(bytes.NewReader(append(encodeFrame(t, e, text("one")), encodeFrame(t, e, nil)...)), testMaxBytes)
		_, err := r.Read(&e)
		is.NoErr(err)
		payload, err := r.Read(&e)
		is.NoErr(err)
		is.Equal(len(payload), 0)
		_, err = r.Read(&e)
		is.Equal(err, io.EOF)
	})
	t.Run("unknown envelope fields are ignored", func(t *testing.T) {
		is := is.New(t)
		b := msgp.AppendMapHeader(nil, 2)
		b = msgp.AppendString(b, "later")
		b = msgp.AppendMapStrStr(b, map[string]string{"a": "b"})
		b = msgp.AppendString(b, "t")
		b = msgp.AppendUint8(b, uint8(peerwire.FramePing))
		got, _, err := readFrame(append([]byte{0, 0, 0, byte(len(b))}, b...))
		is.NoErr(err)
		is.Equal(got.Type, peerwire.FramePing)
	})
	t.Run("oversized frame is rejected before its body is read", func(t *testing.T) {
		is := is.New(t)
		_, _, err := readFrame([]byte{0xff, 0xff, 0xff, 0xff})
		_, ok := errors.AsType[*messenger.SizeError](err)
		is.True(ok)
		before := []byte("kept")
		after, err := messenger.AppendFrame(before, &e, text(string(make([]byte, testMaxBytes))), testMaxBytes)
		_, ok = errors.AsType[*messenger.SizeError](err)
		is.True(ok)
		is.Equal(after, before)
	})
	t.Run("malformed frame is rejected", func(t *testing.T) {
		_, _, err := readFrame([]byte{0, 0, 0, 1, 0xc1})
		_, ok := errors.AsType[*messenger.MalformedError](err)
		is.New(t).True(ok)
	})
	t.Run("invalid array header is rejected", func(t *testing.T) {
		headers := map[string]msgp.Raw{
			"more elements than the frame holds": msgp.AppendArrayHeader(nil, 1<<31),
			"more elements than the limit":       msgp.AppendArrayHeader(nil, 1<<17+1),
			"nested too deep":                    bytes.Repeat([]byte{0x91}, 100),
		}
		for name, header := range headers {
			t.Run(name, func(t *testing.T) {
				n := msgp.AppendMapHeader(nil, 1)
				n = msgp.AppendString(n, "u")
				_, _, err := readFrame(encodeFrame(t, e, msgp.Raw(append(n, header...))))
				_, ok := errors.AsType[*messenger.MalformedError](err)
				is.New(t).True(ok)
			})
		}
	})
	t.Run("truncated frame gives ErrUnexpectedEOF", func(t *testing.T) {
		b := encodeFrame(t, e, text("slots"))
		for n := 1; n < len(b); n++ {
			_, _, err := readFrame(b[:n])
			is.New(t).True(errors.Is(err, io.ErrUnexpectedEOF))
		}
	})
}

func FuzzFrame(f *testing.F) {
	f.Add(encodeFrame(f, peerwire.Envelope{Type: peerwire.FrameCall, ID: 7, Kind: peerwire.KindAllocate}, text("slots")))
	f.Add(encodeFrame(f, peerwire.Envelope{Type: peerwire.FrameHello}, &peerwire.Hello{Version: 1, Host: "entry-1", Incarnation: 5}))
	f.Add(encodeFrame(f, peerwire.Envelope{Type: peerwire.FrameSend, Kind: peerwire.KindGossip}, &peerwire.Gossip{
		Updates: []peerwire.Update{{Host: "entry-1", Incarnation: 5, State: 1}},
		Marks:   []peerwire.Mark{{Endpoint: "engine-1", Revision: 3, Leaving: true}},
	}))
	f.Add([]byte{0, 0, 0, 1, 0xc1})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, payload, err := readFrame(b)
		if err != nil {
			return
		}
		if len(payload) > testMaxBytes {
			t.Fatalf("payload of %d bytes", len(payload))
		}
		var body msgp.Marshaler
		if len(payload) > 0 { // an empty Raw is encoded as nil
			body = msgp.Raw(payload)
		}
		again, payloadAgain, err := readFrame(encodeFrame(t, e, body))
		if err != nil || again != e || !bytes.Equal(payloadAgain, payload) {
			t.Fatalf("frame %+v was decoded as %+v: %v", e, again, err)
		}
		var n peerwire.Gossip
		_, _ = n.UnmarshalMsg(payload)
		var h peerwire.Hello
		_, _ = h.UnmarshalMsg(payload)
		var s peerwire.SyncReply
		_, _ = s.UnmarshalMsg(payload)
	})
}
