package compiler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

func load(t *testing.T, name string) *compiler.Fleet {
	t.Helper()
	f, err := compiler.Load("../examples/" + name)
	is.New(t).NoErr(err)
	return f
}

func TestExamples(t *testing.T) {
	t.Run("tamsui", func(t *testing.T) {
		is := is.New(t)
		f := load(t, "tamsui.toml")
		is.Equal(f.Firm, identifier.Firm("tamsui"))
		is.Equal(len(f.DataCenters), 3)
		is.Equal(len(f.Services["note-writer"].Endpoints), 10)
		is.Equal(len(f.Services["dealer-desk"].Endpoints), 3)
		is.Equal(f.Services["dealer-desk"].FirstToken, 1600*time.Millisecond)
		is.Equal(f.Services["price-lock"].Repeatable, false)
		is.Equal(len(f.Links), 9)
		is.Equal(len(f.Customers), 4)
		is.Equal(f.Customer("unknown").RequestsPerSecond, 2.0)
	})
	t.Run("snyrtinams", func(t *testing.T) {
		is := is.New(t)
		f := load(t, "snyrtinams.toml")
		is.Equal(len(f.Services["yfirlestur"].Endpoints), 12)
		is.Equal(len(f.Services["innritun"].Endpoints), 3)
		is.Equal(f.Services["seat-confirmation"].Repeatable, false)
		is.Equal(len(f.Services["yfirlestur"].Pool("is-hofud-2", compiler.RoleDecode)), 2)
		is.Equal(f.Contracts[0].ActiveAt(time.Date(2026, 1, 1, 23, 0, 0, 0, time.UTC)), true)
	})
}

func TestNumberedEndpoints(t *testing.T) {
	is := is.New(t)
	f := load(t, "tamsui.toml")
	e := f.Endpoints["note-1-d3"]
	is.True(e != nil)
	is.Equal(e.Address, identifier.Address("127.0.0.1:7113"))
	is.Equal(e.Role, compiler.RoleDecode)
	is.Equal(e.Owner, identifier.Firm("tamsui"))
	is.Equal(f.Endpoints["lock-1"].Role, compiler.RolePlain)
	is.Equal(f.Endpoints["desk-3"].ChecksFence, false)
}
