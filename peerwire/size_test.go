package peerwire_test

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/peerwire"
)

// maxDecodedBytes bounds the memory that a message may take that announces more entries
// than it has.
const maxDecodedBytes = 64 << 20

// TestAnnouncedSizes guards against a message of a few bytes that takes a host's memory:
// one that announces lists of billions of entries.
func TestAnnouncedSizes(t *testing.T) {
	for _, m := range messages() {
		t.Run(fmt.Sprintf("%T", m), func(t *testing.T) {
			for _, name := range listFields(m) {
				payload := msgp.AppendMapHeader(nil, 1)
				payload = msgp.AppendString(payload, name)
				payload = msgp.AppendArrayHeader(payload, 1<<32-1)
				assertRejectedCheaply(t, m, payload)
			}
		})
	}
}

// listFields returns the names of a message's lists.
func listFields(m message) []string {
	var names []string
	kind := reflect.TypeOf(m).Elem()
	for n := range kind.NumField() {
		f := kind.Field(n)
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() != reflect.Uint8 {
			names = append(names, f.Tag.Get("msg"))
		}
	}
	return names
}

func assertRejectedCheaply(t *testing.T, m message, payload []byte) {
	t.Helper()
	i := is.New(t)
	i.Helper()
	defer func() { i.Equal(recover(), nil) }()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := m.UnmarshalMsg(payload)
	runtime.ReadMemStats(&after)
	i.True(err != nil)
	i.True(after.TotalAlloc-before.TotalAlloc < maxDecodedBytes)
}

// TestLargeValues guards against limits for lists that reject large values.
func TestLargeValues(t *testing.T) {
	large := make([]byte, 1<<20)
	for _, m := range []message{
		&peerwire.StoreItem{Value: large}, &peerwire.TicketCall{Payload: large}, &peerwire.TicketReply{Payload: large},
		&peerwire.Declarations{Whole: large},
	} {
		t.Run(fmt.Sprintf("%T", m), func(t *testing.T) {
			i := is.New(t)
			encoded, err := m.MarshalMsg(nil)
			i.NoErr(err)
			i.Equal(decode(i, m, encoded), m)
		})
	}
}
