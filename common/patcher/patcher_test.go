package patcher_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/patcher"
)

const maxBytes = 1 << 20

func drawText(t *rapid.T, name string) []byte {
	lines := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e", "[[x]]"}), 0, 40)
	return []byte(strings.Join(lines.Draw(t, name), "\n"))
}

func TestApplyReproducesNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		older, newer := drawText(t, "older"), drawText(t, "newer")
		got, err := patcher.Apply(older, patcher.Diff(older, newer), maxBytes)
		if err != nil || string(got) != string(newer) {
			t.Fatalf("got %q from %q, expected %q: %v", got, older, newer, err)
		}
	})
}

func TestSmallChangeGivesSmallPatch(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	for n := range 1000 {
		fmt.Fprintf(&b, "[[customer]]\nname = \"dealer-%d\"\n\n", n)
	}
	older := b.String()
	newer := "firm = \"tamsui\"\n" + older + "[[link]]\n"
	is.True(len(patcher.Diff([]byte(older), []byte(newer))) < 60)
}

func TestInvalidPatchIsRejected(t *testing.T) {
	is := is.New(t)
	patch := patcher.Diff([]byte("a\nb\nc\n"), []byte("a\nx\nc\n"))
	_, err := patcher.Apply([]byte("a"), patch, maxBytes)
	is.True(err != nil)
	_, err = patcher.Apply([]byte("a\nb\nc\n"), patch[:len(patch)-1], maxBytes)
	is.True(err != nil)
	_, err = patcher.Apply([]byte("a\nb\nc\n"), patch, 3)
	is.True(err != nil)
}

func FuzzApply(f *testing.F) {
	f.Add([]byte("a\nb\n"), patcher.Diff([]byte("a\nb\n"), []byte("a\nc\n")))
	f.Fuzz(func(t *testing.T, older, patch []byte) {
		got, err := patcher.Apply(older, patch, 1000)
		if err == nil && len(got) > 1000 {
			t.Fatalf("patched text has %d bytes", len(got))
		}
	})
}
