package archiver_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/archiver"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// maxStepBytes is what an answer may have on average, at 6,900 changes a day
// and 4 KB/s a node, if each node both takes and gives each change once.
const maxStepBytes = 4096 * 24 * 3600 / 6900 / 2

// largeSource gives a text of about 1 MB in the form of declarations.
func largeSource() []byte {
	var source []byte
	for n := 0; len(source) < 1_000_000; n++ {
		source = fmt.Appendf(source, "[[customer]]\nname = \"dealer-%016x\"\nrequests-per-second = %d\n\n", xxhash.Sum64String(fmt.Sprint(n)), n%50)
	}
	return source
}

// changes are typical changes of a file.
var changes = []struct {
	name   string
	change func(source []byte) []byte
}{
	{name: "one-key", change: func(source []byte) []byte {
		return bytes.Replace(source, []byte("requests-per-second = 7\n"), []byte("requests-per-second = 8\n"), 1)
	}},
	{name: "one-table", change: func(source []byte) []byte {
		return fmt.Appendf(bytes.Clone(source), "[[endpoint]]\nname = \"desk-{n}\"\ncount = 250\nservice = \"dealer-desk\"\ndata-center = \"tw-north-1\"\naddress = \"127.0.0.1:7000\"\n")
	}},
	{name: "hundred-keys", change: func(source []byte) []byte {
		return bytes.Replace(source, []byte("requests-per-second = 7\n"), []byte("requests-per-second = 8\n"), 100)
	}},
	{name: "halves-swapped", change: func(source []byte) []byte {
		half := bytes.Index(source[len(source)/2:], []byte("[[")) + len(source)/2
		return append(bytes.Clone(source[half:]), source[:half]...)
	}},
}

func rawFleet(source []byte, digest uint64) *compiler.Fleet {
	f := &compiler.Fleet{Revision: 1, Source: source, Digest: xxhash.Sum64(source)}
	if digest != 0 {
		f.Revision = 2
	}
	return f
}

func size(b testing.TB, answer *peerwire.Declarations) int {
	encoded, err := answer.MarshalMsg(nil)
	if err != nil {
		b.Fatal(err)
	}
	return len(encoded)
}

func BenchmarkStep(b *testing.B) {
	older := rawFleet(largeSource(), 0)
	for _, c := range changes {
		newer := rawFleet(c.change(older.Source), 1)
		b.Run(c.name, func(b *testing.B) {
			length := 0
			for b.Loop() {
				a := holding(older, newer)
				length = size(b, a.Answer(ask(older)))
			}
			b.ReportMetric(float64(length), "answer-bytes")
		})
	}
}

func BenchmarkWhole(b *testing.B) {
	f := rawFleet(largeSource(), 0)
	length := 0
	for b.Loop() {
		length = size(b, holding(f).Answer(ask(nil)))
	}
	b.ReportMetric(float64(length), "answer-bytes")
	b.ReportMetric(float64(len(f.Source)), "file-bytes")
}

// The whole file is sent where it is shorter than the steps.
func TestLongStepsGiveWay(t *testing.T) {
	older := rawFleet(largeSource(), 0)
	newer := rawFleet(changes[3].change(older.Source), 1)
	a := holding(older, newer)
	if steps, whole := size(t, a.Answer(ask(older))), size(t, a.Answer(ask(nil))); steps > whole {
		t.Fatalf("answer has %d bytes, the whole file %d", steps, whole)
	}
}

// A day's changes fit into what a node has for control traffic.
func TestStepsFitTraffic(t *testing.T) {
	older := rawFleet(largeSource(), 0)
	for _, c := range changes[:3] {
		t.Run(c.name, func(t *testing.T) {
			newer := rawFleet(c.change(older.Source), 1)
			answer := holding(older, newer).Answer(ask(older))
			if length := size(t, answer); length > maxStepBytes {
				t.Fatalf("answer has %d bytes, expected at most %d", length, maxStepBytes)
			}
			source, err := archiver.New().Take(older, answer)
			if err != nil || !bytes.Equal(source, newer.Source) {
				t.Fatalf("step gives another file: %v", err)
			}
		})
	}
}
