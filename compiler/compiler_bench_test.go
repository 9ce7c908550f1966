package compiler_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/jackdawthread/jackdawthread/compiler"
)

// largeDeclarations returns declarations of 10,000 endpoints and 26,000
// customers.
func largeDeclarations() []byte {
	const (
		dataCenters  = 40
		perTable     = 250
		customers    = 26_000
		perCustomers = 20
	)
	source := []byte("firm = \"tamsui\"\n[[service]]\nname = \"dealer-desk\"\nmodel = \"quotes-8b\"\n")
	for n := range dataCenters {
		source = fmt.Appendf(source, "[[data-center]]\nname = \"tw-%d\"\nregion = \"tw-north\"\n", n)
		source = fmt.Appendf(source, "[[endpoint]]\nname = \"desk-%d-{n}\"\ncount = %d\nservice = \"dealer-desk\"\ndata-center = \"tw-%d\"\naddress = \"127.0.%d.1:7000\"\n", n, perTable, n, n)
	}
	for n := 0; n < customers; n += perCustomers {
		source = fmt.Appendf(source, "[[customer]]\nrequests-per-second = %d\nnames = [\n", 1+n%50)
		for m := range perCustomers {
			source = fmt.Appendf(source, "  \"dealer-%06d-northern-taiwan\",\n", n+m)
		}
		source = append(source, "]\n"...)
	}
	return source
}

func BenchmarkFromBytes(b *testing.B) {
	source := largeDeclarations()
	b.SetBytes(int64(len(source)))
	b.ReportAllocs()
	for b.Loop() {
		f, err := compiler.FromBytes("full.toml", source, 1)
		if err != nil {
			b.Fatal(err)
		}
		if len(f.Endpoints) != 10_000 || len(f.Customers) != 26_000 {
			b.Fatalf("got %d endpoints and %d customers", len(f.Endpoints), len(f.Customers))
		}
	}
	b.ReportMetric(float64(len(source)), "file-bytes")
	b.ReportMetric(liveBytes(b, source), "live-bytes")
}

// liveBytes returns the heap memory that a fleet compiled from source retains.
func liveBytes(b *testing.B, source []byte) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f, err := compiler.FromBytes("full.toml", source, 1)
	if err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(f)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
