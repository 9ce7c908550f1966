package parser

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// numberMark stands for an endpoint's number in the name of a table that
// declares several.
const numberMark = "{n}"

// maxEndpoints bounds the endpoints of one file.
const maxEndpoints = 50_000

// maxPort is the highest port number.
const maxPort = 65_535

// Single is one of the endpoints that an [[endpoint]] table declares.
type Single struct {
	Name    identifier.Endpoint
	Address identifier.Address
}

// Expand gives the endpoints that the table declares. Their numbers count up
// from FirstNumber and their ports from that of Address.
func (e *Endpoint) Expand() ([]Single, error) {
	address, err := netip.ParseAddrPort(string(e.Address))
	if err != nil {
		return nil, fmt.Errorf("expected an IP number and a port, got %q", e.Address)
	}
	if e.Count > 1 && !strings.Contains(e.Name, numberMark) {
		return nil, fmt.Errorf("expected %q in the name, since count is %d, got %q", numberMark, e.Count, e.Name)
	}
	if int(address.Port())+e.Count-1 > maxPort {
		return nil, fmt.Errorf("expected ports up to %d, got %d endpoints from port %d", maxPort, e.Count, address.Port())
	}
	singles := make([]Single, e.Count)
	for n := range singles {
		name := strings.ReplaceAll(e.Name, numberMark, strconv.Itoa(e.FirstNumber+n))
		if !decoder.IsName(name) {
			return nil, fmt.Errorf(`expected a name of lower-case letters, digits, "-", "_" and ".", got %.64q`, name)
		}
		singles[n].Name = identifier.Endpoint(name)
		port := address.Port() + uint16(n)
		singles[n].Address = identifier.Address(netip.AddrPortFrom(address.Addr(), port).String())
	}
	return singles, nil
}

// EndpointCount gives the number of endpoints that the file declares, up to
// the most that a file may.
func (f *File) EndpointCount() int {
	count := 0
	for i := range f.Endpoints {
		count = min(count+max(f.Endpoints[i].Count, 0), maxEndpoints)
	}
	return count
}

// CustomerCount gives the number of customers that the file declares.
func (f *File) CustomerCount() int {
	count := 0
	for i := range f.Customers {
		count += len(f.Customers[i].All())
	}
	return count
}
