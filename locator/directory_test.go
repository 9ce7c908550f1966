package locator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/locator"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func TestDirectory(t *testing.T) {
	t.Run("the newer home replaces the older one", func(t *testing.T) {
		i := is.New(t)
		d := locator.NewDirectory(10)
		i.Equal(d.Claim("r", 1, start), locator.ClaimResult{})
		i.Equal(d.Claim("r", 2, start.Add(time.Second)), locator.ClaimResult{Previous: 1})
		i.Equal(d.Claim("r", 1, start), locator.ClaimResult{Replaced: true})
	})
	t.Run("only the current home can remove its request", func(t *testing.T) {
		i := is.New(t)
		d := locator.NewDirectory(10)
		d.Claim("r", 2, start)
		d.Remove("r", 1)
		i.Equal(d.Len(), 1)
		d.Remove("r", 2)
		i.Equal(d.Len(), 0)
	})
	t.Run("a full directory records no new request", func(t *testing.T) {
		i := is.New(t)
		d := locator.NewDirectory(1)
		d.Claim("r", 1, start)
		d.Claim("s", 1, start)
		i.Equal(d.Len(), 1)
		i.Equal(d.Claim("r", 2, start.Add(1)), locator.ClaimResult{Previous: 1})
	})
}

// TestDirectoryKeepsOneHome checks that claims in any order leave exactly one
// home serving the request: the one that received it last.
func TestDirectoryKeepsOneHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := locator.NewDirectory(10)
		homes := rapid.IntRange(1, 6).Draw(t, "homes")
		order := rapid.Permutation(sequence(homes)).Draw(t, "order")
		serving := make(map[identifier.Incarnation]bool)
		for _, n := range order {
			home := identifier.Incarnation(n)
			c := d.Claim("r", home, start.Add(time.Duration(n)*time.Millisecond))
			serving[home] = !c.Replaced
			delete(serving, c.Previous)
		}
		if len(servingHomes(serving)) != 1 || !serving[identifier.Incarnation(homes)] {
			t.Fatalf("claims in order %v: serving homes are %v", order, servingHomes(serving))
		}
	})
}

func sequence(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i + 1
	}
	return all
}

func servingHomes(serving map[identifier.Incarnation]bool) []identifier.Incarnation {
	var all []identifier.Incarnation
	for home, ok := range serving {
		if ok {
			all = append(all, home)
		}
	}
	return all
}
