package hasher

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestBlocks(t *testing.T) {
	first := strings.Repeat("a", BlockBytes)
	second := strings.Repeat("b", BlockBytes)
	t.Run("equal prefixes have equal hashes", func(t *testing.T) {
		is := is.New(t)
		one := Blocks(first + second)
		two := Blocks(first + first)
		is.Equal(len(one), 2)
		is.Equal(len(two), 2)
		is.Equal(one[0], two[0])
		is.True(one[1] != two[1])
	})
	t.Run("equal blocks after different prefixes have different hashes", func(t *testing.T) {
		is := is.New(t)
		is.True(Blocks(first + second)[1] != Blocks(second + second)[1])
	})
	t.Run("partial blocks are not hashed", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(Blocks(first[1:])), 0)
		is.Equal(Blocks(first+"tail"), Blocks(first))
	})
	t.Run("append respects the limit", func(t *testing.T) {
		is := is.New(t)
		is.Equal(Append(nil, first+second, 1), Blocks(first))
	})
}

func TestCountTokens(t *testing.T) {
	is := is.New(t)
	is.Equal(CountTokens(""), CountTokens("")*0)
	is.Equal(int(CountTokens("a")), 1)
	is.Equal(int(CountTokens("abcd")), 1)
	is.Equal(int(CountTokens("abcde")), 2)
}

func FuzzBlocks(f *testing.F) {
	f.Add("short", "tail")
	f.Add(strings.Repeat("x", 3*BlockBytes+1), "y")
	f.Fuzz(func(t *testing.T, prompt, tail string) {
		is := is.New(t)
		short, long := Blocks(prompt), Blocks(prompt+tail)
		is.Equal(len(short), len(prompt)/BlockBytes)
		is.Equal(len(long), (len(prompt)+len(tail))/BlockBytes)
		for i := range short {
			is.Equal(short[i], long[i])
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	prompt := strings.Repeat("portfolio ", 1600)
	hashes := Blocks(prompt)
	b.ReportAllocs()
	for b.Loop() {
		hashes = Append(hashes[:0], prompt, 8)
	}
}
