package parser_test

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/parser"
)

var update = flag.Bool("update", false, "update the golden files")

func read(t testing.TB, path string) []byte {
	t.Helper()
	source, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	return source
}

// assertGolden compares text with the golden file at path.
func assertGolden(t *testing.T, path, text string) {
	t.Helper()
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	}
	is.Equal(text, string(read(t, path)))
}

func TestExamplesAccepted(t *testing.T) {
	for _, name := range []string{"tamsui.toml", "snyrtinams.toml"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source := read(t, "../examples/"+name)
			f, err := parser.Parse(name, source)
			is.NoErr(err)
			is.Equal(f.Source, source)
		})
	}
}

func TestBrokenFilesRefused(t *testing.T) {
	paths, _ := filepath.Glob("testdata/broken/*.toml")
	is.New(t).True(len(paths) >= 12)
	for _, path := range paths {
		name := filepath.Base(path)
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, err := parser.Parse(name, read(t, path))
			is.True(f == nil)
			_, ok := errors.AsType[decoder.Problems](err)
			is.True(ok)
			assertGolden(t, strings.TrimSuffix(path, ".toml")+".golden", err.Error()+"\n")
		})
	}
}

func TestOversizeRefused(t *testing.T) {
	is := is.New(t)
	source := bytes.Repeat([]byte("#\n"), decoder.MaxSize/2)
	_, err := parser.Parse("big.toml", append(source, '\n'))
	is.Equal(err.Error(), "big.toml: expected at most 1048576 bytes, got 1048577")
}

func TestExcessProblemsAreCounted(t *testing.T) {
	is := is.New(t)
	source := bytes.Repeat([]byte("[[link]]\nrate = true\n"), 2000)
	_, err := parser.Parse("many.toml", source)
	problems, _ := errors.AsType[decoder.Problems](err)
	is.Equal(len(problems), 1001)
	// Three problems per link and three of the file as a whole.
	is.Equal(problems[1000].String(), "many.toml: expected fewer faults, 5003 more are not shown")
}

func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"../examples/*.toml", "testdata/broken/*.toml"} {
		paths, _ := filepath.Glob(pattern)
		for _, path := range paths {
			f.Add(read(f, path))
		}
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		file, err := parser.Parse("fuzz.toml", source)
		if (file == nil) != (err != nil) {
			t.Fatalf("file %v with error %v", file, err)
		}
		if problems, ok := errors.AsType[decoder.Problems](err); ok {
			for _, p := range problems {
				if p.Text == "" || p.Line > bytes.Count(source, []byte("\n"))+1 {
					t.Fatalf("bad problem %+v", p)
				}
			}
		}
	})
}
