package client_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// TestResponsesToOtherRequests guards against a response to another request, such as a late one on a
// connection of HTTP/1.1, or an empty one, that was taken for the response to a call.
func TestResponsesToOtherRequests(t *testing.T) {
	for name, id := range map[string]string{"one that names another request": "other", "one without a name": ""} {
		t.Run(name+", to a call", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				h := &fakeHost{calls: []callStep{answer("foreign")}, named: &id}
				payload, err := newClient(t, h, client.RetryPolicy{}).Call(t.Context(), client.CallRequest{Service: "price-lock", NonRepeatable: true})
				i.Equal(string(payload), "")
				assertMayHaveRun(t, err)
			})
		})
		t.Run(name+", to a generation", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &fakeHost{generates: []generateStep{sequence(sendNamed(id), complete(1))}}
				_, err := newClient(t, h, client.RetryPolicy{}).Generate(t.Context(), client.Request{Service: "dealer-desk"}, func(client.Chunk) error {
					t.Error("a chunk of another request was delivered")
					return nil
				})
				assertMayHaveRun(t, err)
			})
		})
	}
	t.Run("a retry fetches the own response", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			i := is.New(t)
			h := &fakeHost{generates: []generateStep{sendNamed("other"), sequence(send(0, 1, "own"), complete(1))}}
			text, completion, err := generate(t, newClient(t, h, policy))
			i.NoErr(err)
			i.Equal(text, "own")
			i.Equal(completion.TotalTokens, identifier.Tokens(1))
		})
	})
}

func assertMayHaveRun(t *testing.T, err error) {
	t.Helper()
	i := is.New(t)
	i.True(err != nil)
	i.Equal(classifier.VerdictOf(err), classifier.VerdictMayHaveRun)
}
