package experimenter

import (
	"testing"

	"github.com/matryer/is"
)

// TestRunShortage compares the order of package admitter with others. Its bounds are the
// aims of docs/design/shortage.md.
func TestRunShortage(t *testing.T) {
	const seed = 1
	loads := []float64{0.9, 1.2, 2}
	t.Run("mixed priorities get nearly what full knowledge could give", func(t *testing.T) {
		is := is.New(t)
		for _, load := range loads[:2] {
			production, oracle := runShortage("three ranks", productionPolicy, load, seed), runShortage("three ranks", oraclePolicy, load, seed)
			is.True(production.Worth >= 0.95*oracle.Worth)
		}
	})
	t.Run("less urgent requests seldom overtake", func(t *testing.T) {
		is := is.New(t)
		for _, load := range loads {
			is.True(runShortage("three ranks", productionPolicy, load, seed).Inversions < 0.01)
		}
	})
	t.Run("callers get more than in the previous order", func(t *testing.T) {
		is := is.New(t)
		for _, mix := range []string{"three ranks", "large urgent", "one rank"} {
			is.True(runShortage(mix, productionPolicy, 2, seed).Worth >= runShortage(mix, "previous", 2, seed).Worth)
		}
	})
	t.Run("all are served below the capacity", func(t *testing.T) {
		is := is.New(t)
		m := runShortage("three ranks", productionPolicy, 0.5, seed)
		is.True(m.Worth > 0.99)
		is.True(m.RefusedTwice == 0)
	})
}
