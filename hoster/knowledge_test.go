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

// reader reads items, and counts them.
type reader struct{ count int }

// read takes the key of an item for the name of its endpoint.
func (r *reader) read(i replicator.Item) (*registrar.Declarations, *registrar.Endpoint, error) {
	r.count++
	switch string(i.Value) {
	case "declarations":
		return registrar.NewDeclarations(i.Revision, nil, nil, registrar.Limits{}), nil, nil
	case "garbage":
		return nil, nil, errUnreadable
	default:
		return nil, &registrar.Endpoint{Name: identifier.Endpoint(i.Key), Started: int64(i.Revision)}, nil
	}
}

func items(count int) []replicator.Item {
	var all []replicator.Item
	for n := range count {
		all = append(all, replicator.Item{Key: fmt.Sprintf("e%d", n), Revision: 1})
	}
	return all
}

func TestCatalogue(t *testing.T) {
	never := func(i replicator.Item, err error) { t.Errorf("item %s can't be read: %v", i.Key, err) }
	t.Run("reads a change of one item without the others", func(t *testing.T) {
		i := is.New(t)
		c, r := catalogue{}, &reader{}
		all := items(3000)
		c.update(all, r.read, never)
		i.Equal(r.count, 3000)
		all[7].Revision = 2
		c.update(all, r.read, never)
		i.Equal(r.count, 3001)
		_, endpoints := c.known()
		i.Equal(len(endpoints), 3000)
		for _, e := range endpoints {
			i.Equal(e.Started == 2, e.Name == "e7")
		}
	})
	t.Run("forgets what is gone", func(t *testing.T) {
		i := is.New(t)
		c, r := catalogue{}, &reader{}
		c.update(items(3), r.read, never)
		c.update(items(2), r.read, never)
		_, endpoints := c.known()
		i.Equal(len(endpoints), 2)
	})
	t.Run("tells once of what can't be read", func(t *testing.T) {
		i := is.New(t)
		c, r := catalogue{}, &reader{}
		told := 0
		bad := []replicator.Item{{Key: "x", Value: []byte("garbage"), Revision: 1}}
		for range 3 {
			c.update(bad, r.read, func(_ replicator.Item, err error) {
				told++
				i.True(errors.Is(err, errUnreadable))
			})
		}
		i.Equal(told, 1)
		_, endpoints := c.known()
		i.Equal(len(endpoints), 0)
	})
	t.Run("gives declarations", func(t *testing.T) {
		i := is.New(t)
		c, r := catalogue{}, &reader{}
		c.update([]replicator.Item{{Key: "d", Value: []byte("declarations"), Revision: 4}}, r.read, never)
		d, _ := c.known()
		i.Equal(d.Version, identifier.Revision(4))
	})
}
