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

// maxResponseBytes is the average size allowed for an answer: 6,900 changes a
// day, 4 KB/s of control traffic per node, and each node receiving and sending
// each change once.
const maxResponseBytes = 4096 * 24 * 3600 / 6900 / 2

// largeSource returns about 1 MB of text in the syntax of declarations.
func largeSource() []byte {
	var source []byte
	for n := 0; len(source) < 1_000_000; n++ {
		source = fmt.Appendf(source, "[[customer]]\nname = \"dealer-%016x\"\nrequests-per-second = %d\n\n", xxhash.Sum64String(fmt.Sprint(n)), n%50)
	}
	return source
}

// changes are typical edits of a declarations file, and a worst case, which
// swaps its halves.
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

func encodedSize(b testing.TB, answer *peerwire.Declarations) int {
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
				a := newArchive(older, newer)
				length = encodedSize(b, a.Answer(newRequest(older)))
			}
			b.ReportMetric(float64(length), "answer-bytes")
		})
	}
}

func BenchmarkWhole(b *testing.B) {
	f := rawFleet(largeSource(), 0)
	length := 0
	for b.Loop() {
		length = encodedSize(b, newArchive(f).Answer(newRequest(nil)))
	}
	b.ReportMetric(float64(length), "answer-bytes")
	b.ReportMetric(float64(len(f.Source)), "file-bytes")
}

// TestWholeFileReplacesLargeSteps checks that the whole file is sent if it is
// smaller than the steps.
func TestWholeFileReplacesLargeSteps(t *testing.T) {
	older := rawFleet(largeSource(), 0)
	newer := rawFleet(changes[3].change(older.Source), 1)
	a := newArchive(older, newer)
	if steps, whole := encodedSize(t, a.Answer(newRequest(older))), encodedSize(t, a.Answer(newRequest(nil))); steps > whole {
		t.Fatalf("answer has %d bytes, the whole file %d", steps, whole)
	}
}

// TestStepsFitTraffic checks that typical steps stay within a node's budget for
// control traffic.
func TestStepsFitTraffic(t *testing.T) {
	older := rawFleet(largeSource(), 0)
	for _, c := range changes[:3] {
		t.Run(c.name, func(t *testing.T) {
			newer := rawFleet(c.change(older.Source), 1)
			answer := newArchive(older, newer).Answer(newRequest(older))
			if length := encodedSize(t, answer); length > maxResponseBytes {
				t.Fatalf("answer has %d bytes, expected at most %d", length, maxResponseBytes)
			}
			source, err := archiver.New().Reconstruct(older, answer)
			if err != nil || !bytes.Equal(source, newer.Source) {
				t.Fatalf("steps produce a different file: %v", err)
			}
		})
	}
}
