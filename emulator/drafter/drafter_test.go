package drafter_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/emulator/drafter"
)

const catalogue = `
[[trouble]]
kind = "cut"
variants = ["", "silent"]
fields = { for_s = 4.0, share = 0.3 }
[[trouble]]
kind = "stop"
planned = true
variants = ["in turn"]
`

func load(t *testing.T, text string) (*drafter.Catalogue, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "troubles.toml")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return drafter.LoadCatalogue(path)
}

func TestCatalogue(t *testing.T) {
	for name, text := range map[string]string{
		"no trouble":    "",
		"no kind":       "[[trouble]]\nvariants = [\"\"]",
		"no variant":    "[[trouble]]\nkind = \"cut\"",
		"unknown field": "[[trouble]]\nkind = \"cut\"\nvariants = [\"\"]\nplaned = true",
		"not TOML":      "[[",
	} {
		t.Run("refuses "+name, func(t *testing.T) {
			_, err := load(t, text)
			is.New(t).True(err != nil)
		})
	}
	t.Run("refuses a missing file", func(t *testing.T) {
		_, err := drafter.LoadCatalogue(filepath.Join(t.TempDir(), "none.toml"))
		is.New(t).True(err != nil)
	})
}

func TestAlone(t *testing.T) {
	i := is.New(t)
	c, err := load(t, catalogue)
	i.NoErr(err)
	days := drafter.Singles(c)
	i.Equal(len(days), 3)
	i.Equal(days[1].Name, "alone-cut-silent")
	i.Equal(len(days[1].Faults), 3)
	i.Equal(days[1].Faults[0]["how"], "silent")
	i.Equal(days[1].Faults[0]["share"], 0.3)
	i.Equal(len(days[2].Plan), 3)
	i.Equal(days[2].Name, "alone-stop-in-turn")
}

func TestPairs(t *testing.T) {
	c, err := load(t, catalogue)
	is.New(t).NoErr(err)
	t.Run("the same seed gives the same days", func(t *testing.T) {
		is.New(t).Equal(drafter.Pairs(c, 7, 20), drafter.Pairs(c, 7, 20))
	})
	t.Run("the second occurs during the recovery from the first", func(t *testing.T) {
		i := is.New(t)
		for _, d := range drafter.Pairs(c, 7, 20) {
			events := slices.Concat(d.Plan, d.Faults)
			i.Equal(len(events), 8)
			var times []float64
			for _, e := range events {
				times = append(times, e["at"].(float64))
			}
			slices.Sort(times)
			i.Equal(times[2], times[3])             // simultaneous
			i.True(times[4] > times[3]+4)           // after the first trouble's 4 s
			i.True(times[7] > d.Length-3)           // at the end
			i.True(times[7] < d.Length)             // within the day
			i.True(times[1] < 1 && times[2]-1 > 10) // at the start
		}
	})
	t.Run("a day is written under its name", func(t *testing.T) {
		i := is.New(t)
		directory := t.TempDir()
		d := drafter.Pairs(c, 7, 1)[0]
		i.NoErr(d.Write(directory))
		text, err := os.ReadFile(filepath.Join(directory, d.Name+".toml"))
		i.NoErr(err)
		i.True(len(text) > 0)
		i.True(d.Write(filepath.Join(directory, "none")) != nil)
	})
}
