package authenticator_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

func newIndex(t testing.TB, holders ...authenticator.Holder) *authenticator.Index {
	t.Helper()
	x, err := authenticator.NewIndex(holders)
	is.New(t).NoErr(err)
	return x
}

func holder(name string, keys ...authenticator.Key) authenticator.Holder {
	return authenticator.Holder{Customer: authenticator.Customer{Name: identifier.Customer(name)}, Keys: keys}
}

// assertHolder checks whom a key belongs to; "" stands for nobody.
func assertHolder(t testing.TB, x *authenticator.Index, k authenticator.Key, want identifier.Customer) {
	t.Helper()
	c, ok := x.Authenticate(k)
	i := is.New(t)
	i.Helper()
	i.Equal(ok, want != "")
	if ok {
		i.Equal(c.Name, want)
	}
}

func TestAuthenticate(t *testing.T) {
	long := authenticator.Key(strings.Repeat("k", authenticator.MaxKeyBytes))
	x := newIndex(t, holder("harbour", "one", "two", "", long+"k"), holder("yard", "three", "two", long))
	t.Run("finds the customer of each of its keys", func(t *testing.T) {
		assertHolder(t, x, "one", "harbour")
		assertHolder(t, x, "two", "harbour")
		assertHolder(t, x, "three", "yard")
		assertHolder(t, x, long, "yard")
	})
	t.Run("finds nobody for other keys", func(t *testing.T) {
		for _, k := range []authenticator.Key{"", "four", "on", "onee", "ONE", "one\x00", long + "k"} {
			assertHolder(t, x, k, "")
		}
	})
	t.Run("finds nobody without customers", func(t *testing.T) {
		assertHolder(t, newIndex(t), "one", "")
	})
	t.Run("agrees with a comparison of keys", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			keys := rapid.SliceOfN(rapid.StringN(1, 4, -1), 1, 8).Draw(rt, "keys")
			x := newIndex(t, holder("harbour", asKeys(keys)...))
			asked := rapid.StringN(0, 4, -1).Draw(rt, "asked")
			want := identifier.Customer("")
			for _, k := range keys {
				if k == asked {
					want = "harbour"
				}
			}
			assertHolder(t, x, authenticator.Key(asked), want)
		})
	})
}

func asKeys(all []string) []authenticator.Key {
	keys := make([]authenticator.Key, len(all))
	for i, k := range all {
		keys[i] = authenticator.Key(k)
	}
	return keys
}

func TestKeysAreHidden(t *testing.T) {
	k := authenticator.Key("a-secret-key")
	for _, verb := range []string{"%v", "%s", "%q", "%#v", "%+v"} {
		is.New(t).True(!strings.Contains(fmt.Sprintf(verb, k), "a-secret-key"))
	}
	encoded, err := json.Marshal(holder("harbour", k))
	is.New(t).NoErr(err)
	is.New(t).True(!strings.Contains(string(encoded), "a-secret-key"))
}

func TestCost(t *testing.T) {
	tokens := authenticator.Quota{Unit: authenticator.UnitTokens, PlainTokens: 200}
	for _, c := range []struct {
		quota             authenticator.Quota
		prompt, maxOutput identifier.Tokens
		want              float64
	}{
		{authenticator.Quota{}, 1000, 100, 1},
		{tokens, 1000, 100, 1100},
		{tokens, 0, 100, 100},
		{tokens, 0, 0, 200},
		{tokens, 1<<32 - 1, 1<<32 - 1, 2 * (1<<32 - 1)},
	} {
		is.New(t).Equal(c.quota.Cost(c.prompt, c.maxOutput), c.want)
	}
}

// BenchmarkAuthenticate looks up keys among those of 26,000 customers.
func BenchmarkAuthenticate(b *testing.B) {
	const customers = 26_000
	holders := make([]authenticator.Holder, customers)
	for n := range holders {
		holders[n] = holder(fmt.Sprintf("customer-%d", n), authenticator.Key(fmt.Sprintf("%020d", n)))
	}
	x := newIndex(b, holders...)
	key := authenticator.Key(fmt.Sprintf("%020d", customers/2))
	b.ReportAllocs()
	for b.Loop() {
		x.Authenticate(key)
	}
}
