package peerwire_test

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/peerwire"
)

// message is a message that hosts exchange.
type message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// messages returns one of each message, the parts of frames included.
func messages() []message {
	return []message{
		&peerwire.Envelope{}, &peerwire.Hello{}, &peerwire.Failure{},
		&peerwire.AllocationRequest{}, &peerwire.AllocationReply{}, &peerwire.Release{}, &peerwire.Renew{},
		&peerwire.RenewReply{}, &peerwire.Grants{}, &peerwire.Progress{}, &peerwire.DecodeRequest{},
		&peerwire.DecodeReply{}, &peerwire.HoldsRequest{}, &peerwire.HoldsReply{},
		&peerwire.TicketCall{}, &peerwire.TicketReply{}, &peerwire.TicketReceipt{},
		&peerwire.DeclarationsRequest{}, &peerwire.Declarations{}, &peerwire.Usage{}, &peerwire.Shares{},
		&peerwire.LocateRequest{}, &peerwire.LocateReply{}, &peerwire.Drop{},
		&peerwire.Gossip{}, &peerwire.SyncRequest{}, &peerwire.SyncReply{}, &peerwire.Update{},
		&peerwire.IndirectProbe{}, &peerwire.IndirectProbeReply{}, &peerwire.LoadDigest{},
		&peerwire.ChangesRequest{}, &peerwire.ChangesReply{}, &peerwire.StoreItem{},
		&peerwire.ValueRequest{}, &peerwire.ValueReply{},
		&peerwire.ReservationRequest{}, &peerwire.ReservationReply{}, &peerwire.ReservationCancel{},
		&peerwire.ReservationOutcome{}, &peerwire.ReservationPing{}, &peerwire.ReservationPong{}, &peerwire.EngineModel{},
		&peerwire.CrashNews{}, &peerwire.LimitNews{}, &peerwire.PermitRequest{}, &peerwire.PermitReply{}, &peerwire.PermitReturn{},
		&peerwire.TrialRequest{}, &peerwire.TrialReply{},
		&peerwire.QuotaRequest{}, &peerwire.QuotaReply{}, &peerwire.QuotaReturn{},
		&peerwire.SlotRequest{}, &peerwire.SlotReply{}, &peerwire.SlotReturn{},
		&peerwire.FenceClaim{},
	}
}

// fill sets all fields of v, at any depth, to values other than zero.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for n := range v.NumField() {
			fill(v.Field(n))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Array:
		for n := range v.Len() {
			fill(v.Index(n))
		}
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1.5)
	default:
		if v.CanInt() {
			v.SetInt(1)
		} else if v.CanUint() {
			v.SetUint(1)
		}
	}
}

// addFields adds a field that no build knows to a decoded message, at any depth.
func addFields(v any) {
	switch v := v.(type) {
	case map[string]any:
		for _, field := range v {
			addFields(field)
		}
		v["of-a-later-build"] = []any{"a", map[string]any{"b": uint64(1)}}
	case []any:
		for _, e := range v {
			addFields(e)
		}
	}
}

// TestCompatibility checks that messages of builds with more or fewer fields stay
// readable.
func TestCompatibility(t *testing.T) {
	for _, m := range messages() {
		name := reflect.TypeOf(m).Elem().Name()
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			fill(reflect.ValueOf(m).Elem())
			encoded, err := m.MarshalMsg(nil)
			i.NoErr(err)
			fields, _, err := msgp.ReadMapStrIntfBytes(encoded, nil)
			i.NoErr(err)
			assertUnknownSkipped(t, m, encoded)
			for field := range fields {
				assertMissingIsZero(t, m, encoded, field)
			}
		})
	}
}

func decode(i *is.I, m message, encoded []byte) message {
	i.Helper()
	decoded := reflect.New(reflect.TypeOf(m).Elem()).Interface().(message)
	rest, err := decoded.UnmarshalMsg(encoded)
	i.NoErr(err)
	i.Equal(len(rest), 0)
	return decoded
}

func assertUnknownSkipped(t *testing.T, m message, encoded []byte) {
	t.Helper()
	i := is.New(t)
	fields, _, err := msgp.ReadMapStrIntfBytes(encoded, nil)
	i.NoErr(err)
	addFields(fields)
	extended, err := msgp.AppendMapStrIntf(nil, fields)
	i.NoErr(err)
	i.Equal(decode(i, m, extended), m)
}

// assertMissingIsZero checks that without one field the message is readable and the
// other fields are as they were.
func assertMissingIsZero(t *testing.T, m message, encoded []byte, field string) {
	t.Helper()
	i := is.New(t)
	fields, _, err := msgp.ReadMapStrIntfBytes(encoded, nil)
	i.NoErr(err)
	delete(fields, field)
	reduced, err := msgp.AppendMapStrIntf(nil, fields)
	i.NoErr(err)
	decoded := reflect.ValueOf(decode(i, m, reduced)).Elem()
	original := reflect.ValueOf(m).Elem()
	different := 0
	for n := range original.NumField() {
		if !reflect.DeepEqual(original.Field(n).Interface(), decoded.Field(n).Interface()) {
			different++
			i.True(decoded.Field(n).IsZero())
		}
	}
	i.Equal(different, 1)
}
