package differ_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/differ"
)

// fleet compiles the Tamsui example after replacing text, given as pairs of old
// and new.
func fleet(t *testing.T, pairs ...string) *compiler.Fleet {
	t.Helper()
	is := is.New(t)
	source, err := os.ReadFile("../examples/tamsui.toml")
	is.NoErr(err)
	f, err := compiler.FromBytes("tamsui.toml", []byte(strings.NewReplacer(pairs...).Replace(string(source))), 1)
	is.NoErr(err)
	return f
}

func assertText(t *testing.T, older, newer *compiler.Fleet, expected string) {
	t.Helper()
	is.New(t).Equal(differ.Text(differ.Compare(older, newer)), expected)
}

func TestCompare(t *testing.T) {
	base := fleet(t)
	t.Run("equal", func(t *testing.T) { assertText(t, base, fleet(t), "") })
	t.Run("changed", func(t *testing.T) {
		newer := fleet(t, `timeout = "20s"`, `timeout = "30s"`, "queue-limit = 200\n", "queue-limit = 300\n",
			`version = "11"`, "", `start = "10:00"`, `start = "09:30"`, "rate = 20000\n", "rate = 30000\n")
		assertText(t, base, newer, `~ service dealer-desk: version 11 -> "", timeout 20s -> 30s, queue-limit 200 -> 300
~ link tw-north-1 to tw-north-1: rate 20000 -> 30000
~ link tw-north-2 to tw-north-2: rate 20000 -> 30000
~ link tw-north-3 to tw-north-3: rate 20000 -> 30000
~ contract evening-to-snyrtinams: start 10:00 -> 09:30
`)
	})
	t.Run("added and removed", func(t *testing.T) {
		newer := fleet(t, `name = "lock-2"`, `name = "lock-9"`, `name = "bulletin-night"`, `name = "bulletin-day"`)
		assertText(t, base, newer, `- endpoint lock-2
+ endpoint lock-9: service=price-lock data-center=tw-north-2 address=127.0.0.1:7172 role=plain owner=tamsui slots=50 pieces=2000 tokens-per-piece=64 checks-fence=true leaving=false
+ customer bulletin-day: firm=tamsui requests-per-second=10 burst=200 tokens-per-second=60000
- customer bulletin-night
`)
	})
	t.Run("leaving endpoint", func(t *testing.T) {
		newer := fleet(t, `address = "127.0.0.1:7101"`, "address = \"127.0.0.1:7101\"\nleaving = true")
		assertText(t, base, newer, "~ endpoint note-1-p: leaving false -> true\n")
	})
	t.Run("all of the first file", func(t *testing.T) {
		changes := differ.Compare(nil, base)
		is.New(t).Equal(len(changes), 1+3+3+15+9+1+4+1)
	})
	t.Run("default customer removed", func(t *testing.T) {
		newer := fleet(t, "[default-customer]\nrequests-per-second = 2\nburst = 4\n", "")
		assertText(t, base, newer, "- default-customer\n")
	})
}
