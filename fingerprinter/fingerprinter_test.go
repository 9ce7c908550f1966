package fingerprinter_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/fingerprinter"
)

func quote() fingerprinter.Request {
	return fingerprinter.Request{
		Method: "POST", Host: "quotes.example", Target: "/quotes/2?page=1", Prompt: "a:1,b:2",
		Body: []byte("copper"), Caller: []string{"10.0.0.1", "token"},
	}
}

func TestOf(t *testing.T) {
	t.Run("is equal for repeats", func(t *testing.T) {
		i := is.New(t)
		again := quote()
		again.Host = "Quotes.Example"
		i.Equal(fingerprinter.Of(quote()), fingerprinter.Of(again))
	})
	t.Run("holds nothing of the request", func(t *testing.T) {
		i := is.New(t)
		f := fingerprinter.Of(quote())
		i.Equal(len(f.Request), 32)
		i.Equal(len(f.Caller), 32)
		i.True(f.Request != f.Caller)
	})
	t.Run("with another caller differs in that only", func(t *testing.T) {
		i := is.New(t)
		other := quote()
		other.Caller[0] = "10.0.0.2"
		a, b := fingerprinter.Of(quote()), fingerprinter.Of(other)
		i.Equal(a.Request, b.Request)
		i.True(a.Caller != b.Caller)
	})
	changes := map[string]func(r *fingerprinter.Request){
		"method":                 func(r *fingerprinter.Request) { r.Method = "PUT" },
		"host":                   func(r *fingerprinter.Request) { r.Host = "locks.example" },
		"target":                 func(r *fingerprinter.Request) { r.Target = "/quotes/2?page=2" },
		"prompt":                 func(r *fingerprinter.Request) { r.Prompt = "a:1,c:2" },
		"body":                   func(r *fingerprinter.Request) { r.Body = []byte("copper!") },
		"no body":                func(r *fingerprinter.Request) { r.Body = nil },
		"bytes of another field": func(r *fingerprinter.Request) { r.Target, r.Prompt = r.Target+"a", ":1,b:2" },
	}
	for name, change := range changes {
		t.Run("differs with another "+name, func(t *testing.T) {
			i := is.New(t)
			other := quote()
			change(&other)
			i.True(fingerprinter.Of(quote()).Request != fingerprinter.Of(other).Request)
			i.True(fingerprinter.Of(quote()).Caller != fingerprinter.Of(other).Caller)
		})
	}
}
