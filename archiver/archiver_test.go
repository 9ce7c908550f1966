package archiver_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/archiver"
	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// fleet compiles the Tamsui example with a timeout that depends on r.
func fleet(t testing.TB, r identifier.Revision) *compiler.Fleet {
	t.Helper()
	is := is.New(t)
	source, err := os.ReadFile("../examples/tamsui.toml")
	is.NoErr(err)
	source = bytes.Replace(source, []byte(`timeout = "20s"`), fmt.Appendf(nil, `timeout = "%ds"`, 20+r), 1)
	f, err := compiler.FromBytes("tamsui.toml", source, r)
	is.NoErr(err)
	return f
}

func newRequest(f *compiler.Fleet) *peerwire.DeclarationsRequest {
	if f == nil {
		return &peerwire.DeclarationsRequest{}
	}
	return &peerwire.DeclarationsRequest{Revision: f.Revision, Digest: f.Digest}
}

// newArchive returns an archive in which the fleets came into force in order.
func newArchive(fleets ...*compiler.Fleet) *archiver.Archive {
	a := archiver.New()
	var previous *compiler.Fleet
	for _, f := range fleets {
		a.Record(previous, f)
		previous = f
	}
	return a
}

func assertReconstructs(t *testing.T, current *compiler.Fleet, answer *peerwire.Declarations, expected *compiler.Fleet) {
	t.Helper()
	is := is.New(t)
	source, err := archiver.New().Reconstruct(current, answer)
	is.NoErr(err)
	is.Equal(string(source), string(expected.Source))
}

func TestAnswer(t *testing.T) {
	one, two, three := fleet(t, 1), fleet(t, 2), fleet(t, 3)
	a := newArchive(one, two, three)
	t.Run("steps from any kept revision", func(t *testing.T) {
		is := is.New(t)
		answer := a.Answer(newRequest(one))
		is.Equal(len(answer.Steps), 2)
		is.Equal(len(answer.Whole), 0)
		assertReconstructs(t, one, answer, three)
		assertReconstructs(t, two, a.Answer(newRequest(two)), three)
	})
	t.Run("whole for a host that has nothing", func(t *testing.T) {
		assertReconstructs(t, nil, a.Answer(newRequest(nil)), three)
	})
	t.Run("whole for a host with an unknown file", func(t *testing.T) {
		answer := a.Answer(&peerwire.DeclarationsRequest{Revision: 1, Digest: 5})
		is.New(t).Equal(len(answer.Steps), 0)
		assertReconstructs(t, one, answer, three)
	})
	t.Run("nothing for a host that is up to date", func(t *testing.T) {
		is := is.New(t)
		answer := a.Answer(newRequest(three))
		is.Equal(answer.Revision, identifier.Revision(3))
		is.Equal(len(answer.Steps)+len(answer.Whole), 0)
	})
	t.Run("repeated swaps are ignored", func(t *testing.T) {
		twice := newArchive(one, two)
		twice.Record(one, two)
		twice.Record(two, three)
		twice.Record(two, three)
		assertReconstructs(t, one, twice.Answer(newRequest(one)), three)
		is.New(t).Equal(len(twice.Answer(newRequest(one)).Steps), 2)
	})
	t.Run("received steps are forwarded unmerged", func(t *testing.T) {
		is := is.New(t)
		other := newArchive(one)
		_, err := other.Reconstruct(one, a.Answer(newRequest(one)))
		is.NoErr(err)
		other.Record(one, three)
		assertReconstructs(t, two, other.Answer(newRequest(two)), three)
		is.Equal(len(other.Answer(newRequest(two)).Steps), 1)
	})
}

func TestUnusableAnswers(t *testing.T) {
	one, two := fleet(t, 1), fleet(t, 2)
	assertRefused := func(t *testing.T, current *compiler.Fleet, answer *peerwire.Declarations, part string) {
		t.Helper()
		is := is.New(t)
		_, err := archiver.New().Reconstruct(current, answer)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), part))
	}
	good := func() *peerwire.Declarations { return newArchive(one, two).Answer(newRequest(one)) }
	t.Run("other digest", func(t *testing.T) {
		answer := newArchive(two).Answer(newRequest(nil))
		answer.Digest++
		assertRefused(t, nil, answer, "have digest")
	})
	t.Run("other base", func(t *testing.T) { assertRefused(t, two, good(), "don't lead from") })
	t.Run("damaged patch", func(t *testing.T) {
		answer := good()
		answer.Steps[0].Patch[len(answer.Steps[0].Patch)-2]++
		assertRefused(t, one, answer, "have digest")
	})
	t.Run("too long once decompressed", func(t *testing.T) {
		var packed bytes.Buffer
		w, _ := flate.NewWriter(&packed, flate.BestSpeed)
		_, _ = w.Write(make([]byte, decoder.MaxSize+1))
		_ = w.Close()
		assertRefused(t, nil, &peerwire.Declarations{Revision: 1, Whole: packed.Bytes()}, "longer than")
	})
}
