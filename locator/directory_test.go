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
		i.Equal(d.Claim("r", 1, start), locator.Claim{})
		i.Equal(d.Claim("r", 2, start.Add(time.Second)), locator.Claim{Previous: 1})
		i.Equal(d.Claim("r", 1, start), locator.Claim{Replaced: true})
	})
	t.Run("only the home itself ends its request", func(t *testing.T) {
		i := is.New(t)
		d := locator.NewDirectory(10)
		d.Claim("r", 2, start)
		d.End("r", 1)
		i.Equal(d.Len(), 1)
		d.End("r", 2)
		i.Equal(d.Len(), 0)
	})
	t.Run("a full directory enters nothing new", func(t *testing.T) {
		i := is.New(t)
		d := locator.NewDirectory(1)
		d.Claim("r", 1, start)
		d.Claim("s", 1, start)
		i.Equal(d.Len(), 1)
		i.Equal(d.Claim("r", 2, start.Add(1)), locator.Claim{Previous: 1})
	})
}

// TestDirectoryKeepsOneHome claims in any order: of the homes that were not
// told to drop the request, one is left, and it received the request last.
func TestDirectoryKeepsOneHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := locator.NewDirectory(10)
		homes := rapid.IntRange(1, 6).Draw(t, "homes")
		order := rapid.Permutation(numbers(homes)).Draw(t, "order")
		serving := make(map[identifier.Incarnation]bool)
		for _, n := range order {
			home := identifier.Incarnation(n)
			c := d.Claim("r", home, start.Add(time.Duration(n)*time.Millisecond))
			serving[home] = !c.Replaced
			delete(serving, c.Previous)
		}
		if len(only(serving)) != 1 || !serving[identifier.Incarnation(homes)] {
			t.Fatalf("after claims in order %v homes %v serve", order, only(serving))
		}
	})
}

func numbers(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i + 1
	}
	return all
}

func only(serving map[identifier.Incarnation]bool) []identifier.Incarnation {
	var all []identifier.Incarnation
	for home, ok := range serving {
		if ok {
			all = append(all, home)
		}
	}
	return all
}
