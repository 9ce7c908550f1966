package exchanger_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/exchanger"
)

// attributions sends requests with these IDs one after the other and returns what related
// their responses to them.
func attributions(t *testing.T, x *exchanger.Exchanger, e *scriptedServer, ids ...string) []exchanger.Attribution {
	t.Helper()
	var all []exchanger.Attribution
	for _, id := range ids {
		response, err := x.Send(context.Background(), e.address, request(id))
		is.New(t).NoErr(err)
		_, err = response.ReadAll(1 << 10)
		is.New(t).NoErr(err)
		response.Close()
		all = append(all, response.Attribution)
	}
	return all
}

func TestAttribution(t *testing.T) {
	t.Run("of responses on a kept connection", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(id string) string {
			if id == "two" {
				return completeResponse("one", "extra") + completeResponse(id, id)
			}
			return completeResponse(id, id)
		}))
		all := attributions(t, newExchanger(), e, "one", "two")
		i.Equal(all[0], exchanger.Attribution{Connection: 1, Named: true})
		i.Equal(all[1], exchanger.Attribution{Connection: 1, Earlier: 1, Discarded: 1, Named: true})
	})
	t.Run("of responses without an ID", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }))
		x := newExchanger()
		all := attributions(t, x, e, "one", "two")
		i.Equal(all[1], exchanger.Attribution{Connection: 1, Earlier: 1})
		i.Equal(x.Stats().UnnamedResponses, uint64(1))
	})
	t.Run("as text", func(t *testing.T) {
		a := exchanger.Attribution{Connection: 7, Earlier: 3, Discarded: 1, Named: true}
		is.New(t).Equal(a.String(), "connection=7 earlier=3 discarded=1 named=true repeated-id=false")
	})
}
