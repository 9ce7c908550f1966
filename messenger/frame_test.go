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

func frameOf(t testing.TB, e peerwire.Envelope, payload msgp.Marshaler) []byte {
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
	e := peerwire.Envelope{Type: peerwire.FrameCall, ID: 7, Kind: peerwire.KindAsk, Left: 1500}
	t.Run("comes back", func(t *testing.T) {
		is := is.New(t)
		got, payload, err := readFrame(frameOf(t, e, text("slots")))
		is.NoErr(err)
		is.Equal(got, e)
		is.Equal(payload, []byte(text("slots")))
	})
	t.Run("follows another", func(t *testing.T) {
		is := is.New(t)
		r := messenger.NewFrameReader(bytes.NewReader(append(frameOf(t, e, text("one")), frameOf(t, e, nil)...)), testMaxBytes)
		_, err := r.Read(&e)
		is.NoErr(err)
		payload, err := r.Read(&e)
		is.NoErr(err)
		is.Equal(len(payload), 0)
		_, err = r.Read(&e)
		is.Equal(err, io.EOF)
	})
	t.Run("may have unknown fields", func(t *testing.T) {
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
	t.Run("is refused when too large, before it is read", func(t *testing.T) {
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
	t.Run("is refused when malformed", func(t *testing.T) {
		_, _, err := readFrame([]byte{0, 0, 0, 1, 0xc1})
		_, ok := errors.AsType[*messenger.MalformedError](err)
		is.New(t).True(ok)
	})
	t.Run("is refused when an array claims what isn't there", func(t *testing.T) {
		claims := map[string]msgp.Raw{
			"more than the frame has": msgp.AppendArrayHeader(nil, 1<<31),
			"more than any may":       msgp.AppendArrayHeader(nil, 1<<17+1),
			"nested too deep":         bytes.Repeat([]byte{0x91}, 100),
		}
		for name, claim := range claims {
			t.Run(name, func(t *testing.T) {
				n := msgp.AppendMapHeader(nil, 1)
				n = msgp.AppendString(n, "u")
				_, _, err := readFrame(frameOf(t, e, msgp.Raw(append(n, claim...))))
				_, ok := errors.AsType[*messenger.MalformedError](err)
				is.New(t).True(ok)
			})
		}
	})
	t.Run("cut short is no end of stream", func(t *testing.T) {
		b := frameOf(t, e, text("slots"))
		_, _, err := readFrame(b[:len(b)-1])
		is.New(t).True(errors.Is(err, io.ErrUnexpectedEOF))
	})
}

func FuzzFrame(f *testing.F) {
	f.Add(frameOf(f, peerwire.Envelope{Type: peerwire.FrameCall, ID: 7, Kind: peerwire.KindAsk}, text("slots")))
	f.Add(frameOf(f, peerwire.Envelope{Type: peerwire.FrameHello}, &peerwire.Hello{Version: 1, Host: "entry-1", Incarnation: 5}))
	f.Add(frameOf(f, peerwire.Envelope{Type: peerwire.FrameSend, Kind: peerwire.KindNews}, &peerwire.News{
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
		if len(payload) > 0 { // an empty Raw is coded as nil
			body = msgp.Raw(payload)
		}
		again, payloadAgain, err := readFrame(frameOf(t, e, body))
		if err != nil || again != e || !bytes.Equal(payloadAgain, payload) {
			t.Fatalf("frame %+v came back as %+v: %v", e, again, err)
		}
		var n peerwire.News
		_, _ = n.UnmarshalMsg(payload)
		var h peerwire.Hello
		_, _ = h.UnmarshalMsg(payload)
		var s peerwire.SyncReply
		_, _ = s.UnmarshalMsg(payload)
	})
}
