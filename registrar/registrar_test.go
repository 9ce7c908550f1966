package registrar_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

func newDeclarations(version identifier.Revision) *registrar.Declarations {
	route := func(name, host, prefix string) *registrar.Route {
		return &registrar.Route{Name: name, Host: host, Prefix: prefix}
	}
	return registrar.NewDeclarations(version, []*registrar.Route{
		route("short", "desk.example", "/a/"),
		route("long", "desk.example", "/a/b/"),
		route("other", "notes.example", "/a/"),
	}, nil, registrar.Limits{})
}

func TestMatch(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"desk.example", "/a/1", "short"},
		{"desk.example", "/a/", "short"},
		{"desk.example", "/a/b/1", "long"},
		{"desk.example", "/a/bc", "short"},
		{"desk.example:80", "/a/1", "short"},
		{"DESK.example", "/a/1", "short"},
		{"notes.example", "/a/b/1", "other"},
		{"desk.example", "/a", ""},
		{"desk.example", "/A/1", ""},
		{"desk.example", "/", ""},
		{"desk.example", "", ""},
		{"example", "/a/1", ""},
		{"", "/a/1", ""},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			r, ok := newDeclarations(1).Match(c.host, c.path)
			i := is.New(t)
			i.Equal(ok, c.want != "")
			if ok {
				i.Equal(r.Name, c.want)
			}
		})
	}
}

func TestPick(t *testing.T) {
	r := &registrar.Route{Splits: []registrar.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	i := is.New(t)
	i.Equal(r.PickService(0), identifier.Service("a"))
	i.Equal(r.PickService(0.89), identifier.Service("a"))
	i.Equal(r.PickService(0.91), identifier.Service("b"))
	i.Equal(r.PickService(0.999), identifier.Service("b"))
	unweighted := &registrar.Route{Splits: []registrar.Split{{Service: "a"}}}
	i.Equal(unweighted.PickService(0.5), identifier.Service("a"))
}

func TestRepeatable(t *testing.T) {
	i := is.New(t)
	i.True((&registrar.Route{Kind: registrar.KindIdempotent}).Repeatable())
	i.True((&registrar.Route{Kind: registrar.KindStream, Resumable: true}).Repeatable())
	i.True(!(&registrar.Route{Kind: registrar.KindStream}).Repeatable())
	i.True(!(&registrar.Route{Kind: registrar.KindUnrepeatable, Resumable: true}).Repeatable())
	i.True(!(&registrar.Route{}).Repeatable()) // the zero value must not allow retries
}

func TestRegistrar(t *testing.T) {
	t.Run("rejects versions that are not newer", func(t *testing.T) {
		i := is.New(t)
		r := registrar.New()
		i.True(r.SetDeclarations(newDeclarations(5)))
		i.True(!r.SetDeclarations(newDeclarations(5)))
		i.True(!r.SetDeclarations(newDeclarations(4)))
		i.Equal(r.Snapshot().Declarations.Version, identifier.Revision(5))
	})
	t.Run("does not modify published snapshots", func(t *testing.T) {
		i := is.New(t)
		r := registrar.New()
		r.SetEndpoints([]*registrar.Endpoint{{Name: "b", Service: "desk"}, {Name: "a", Service: "desk"}})
		before := r.Snapshot()
		r.SetEndpoints(nil)
		i.Equal(before.Count(), 2)
		i.Equal(before.Endpoints("desk")[0].Name, identifier.Endpoint("a"))
		i.Equal(r.Snapshot().Count(), 0)
	})
	t.Run("notifies subscribers of each snapshot", func(t *testing.T) {
		i := is.New(t)
		r := registrar.New()
		seen := 0
		r.Subscribe(func(*registrar.Snapshot) { seen++ })
		r.SetDeclarations(newDeclarations(1))
		r.SetDeclarations(newDeclarations(1))
		r.SetEndpoints(nil)
		i.Equal(seen, 2)
	})
}
