package hoster

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/replicator"
)

var errUnreadable = errors.New("unreadable")

// reader parses items and counts its calls.
type reader struct{ count int }

// read parses an item; an endpoint's name is the item's key.
func (r *reader) read(i replicator.Item) (*registrar.Declarations, *registrar.Endpoint, error) {
	r.count++
	switch string(i.Value) {
	case "declarations":
		return registrar.NewDeclarations(i.Revision, nil, nil, registrar.Limits{}), nil, nil
	case "garbage":
		return nil, nil, errUnreadable
	default:
		return nil, &registrar.Endpoint{Name: identifier.Endpoint(i.Key), StartID: int64(i.Revision)}, nil
	}
}

func items(count int) []replicator.Item {
	var all []replicator.Item
	for n := range count {
		all = append(all, replicator.Item{Key: fmt.Sprintf("e%d", n), Revision: 1})
	}
	return all
}

func TestItemCache(t *testing.T) {
	never := func(i replicator.Item, err error) { t.Errorf("item %s can't be read: %v", i.Key, err) }
	t.Run("parses only the item that changed", func(t *testing.T) {
		i := is.New(t)
		c, r := itemCache{}, &reader{}
		all := items(3000)
		c.update(all, r.read, never)
		i.Equal(r.count, 3000)
		all[7].Revision = 2
		c.update(all, r.read, never)
		i.Equal(r.count, 3001)
		_, endpoints := c.contents()
		i.Equal(len(endpoints), 3000)
		for _, e := range endpoints {
			i.Equal(e.StartID == 2, e.Name == "e7")
		}
	})
	t.Run("parses an item again whose revision was given out twice", func(t *testing.T) {
		i := is.New(t)
		c, r := itemCache{}, &reader{}
		all := items(3)
		c.update(all, r.read, never)
		all[1].Value = []byte("other") // of a later era
		c.update(all, r.read, never)
		i.Equal(r.count, 4)
	})
	t.Run("drops deleted items", func(t *testing.T) {
		i := is.New(t)
		c, r := itemCache{}, &reader{}
		c.update(items(3), r.read, never)
		c.update(items(2), r.read, never)
		_, endpoints := c.contents()
		i.Equal(len(endpoints), 2)
	})
	t.Run("reports a malformed item once", func(t *testing.T) {
		i := is.New(t)
		c, r := itemCache{}, &reader{}
		reports := 0
		bad := []replicator.Item{{Key: "x", Value: []byte("garbage"), Revision: 1}}
		for range 3 {
			c.update(bad, r.read, func(_ replicator.Item, err error) {
				reports++
				i.True(errors.Is(err, errUnreadable))
			})
		}
		i.Equal(reports, 1)
		_, endpoints := c.contents()
		i.Equal(len(endpoints), 0)
	})
	t.Run("returns declarations", func(t *testing.T) {
		i := is.New(t)
		c, r := itemCache{}, &reader{}
		c.update([]replicator.Item{{Key: "d", Value: []byte("declarations"), Revision: 4}}, r.read, never)
		d, _ := c.contents()
		i.Equal(d.Version, identifier.Revision(4))
	})
}

func TestIsFinal(t *testing.T) {
	endpoint := func(leaving bool, startID int64) *registrar.Endpoint {
		return &registrar.Endpoint{Leaving: leaving, StartID: startID}
	}
	cases := []struct {
		name            string
		known, restored *registrar.Endpoint
		want            bool
	}{
		{"an endpoint that leaves", endpoint(true, 1), endpoint(false, 1), true},
		{"an endpoint that serves", endpoint(false, 1), endpoint(false, 1), false},
		{"an endpoint that leaves and an earlier start", endpoint(true, 2), endpoint(false, 1), false},
		{"an endpoint that leaves and an unreadable entry", endpoint(true, 1), nil, false},
		{"an unreadable entry", nil, endpoint(false, 1), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			read := func(i replicator.Item) (*registrar.Declarations, *registrar.Endpoint, error) {
				e := map[string]*registrar.Endpoint{"known": c.known, "restored": c.restored}[i.Key]
				if e == nil {
					return nil, nil, errUnreadable
				}
				return nil, e, nil
			}
			got := isFinal(read, replicator.Item{Key: "known"}, replicator.Item{Key: "restored"})
			is.New(t).Equal(got, c.want)
		})
	}
}
