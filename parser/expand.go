package parser

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// numberPlaceholder is replaced by an endpoint's number in the name of a table
// that declares several endpoints.
const numberPlaceholder = "{n}"

// maxEndpoints is the maximum number of endpoints in a file.
const maxEndpoints = 50_000

const maxPort = 65_535

// ExpandedEndpoint is one endpoint declared by an [[endpoint]] table.
type ExpandedEndpoint struct {
	Name    identifier.Endpoint
	Address identifier.Address
}

// Expand returns the endpoints that the table declares. Numbers are assigned
// consecutively from FirstNumber, and ports from that of Address.
func (e *Endpoint) Expand() ([]ExpandedEndpoint, error) {
	address, err := netip.ParseAddrPort(string(e.Address))
	if err != nil {
		return nil, fmt.Errorf("expected an IP address and a port, got %q", e.Address)
	}
	if e.Count > 1 && !strings.Contains(e.Name, numberPlaceholder) {
		return nil, fmt.Errorf("expected %q in the name, since count is %d, got %q", numberPlaceholder, e.Count, e.Name)
	}
	if int(address.Port())+e.Count-1 > maxPort {
		return nil, fmt.Errorf("expected ports up to %d, got %d endpoints from port %d", maxPort, e.Count, address.Port())
	}
	expanded := make([]ExpandedEndpoint, e.Count)
	for n := range expanded {
		name := strings.ReplaceAll(e.Name, numberPlaceholder, strconv.Itoa(e.FirstNumber+n))
		if !decoder.IsName(name) {
			return nil, fmt.Errorf(`expected a name of lower-case letters, digits, "-", "_" and ".", got %.64q`, name)
		}
		expanded[n].Name = identifier.Endpoint(name)
		port := address.Port() + uint16(n)
		expanded[n].Address = identifier.Address(netip.AddrPortFrom(address.Addr(), port).String())
	}
	return expanded, nil
}

// EndpointCount returns the number of endpoints that the file declares, capped
// at maxEndpoints.
func (f *File) EndpointCount() int {
	count := 0
	for i := range f.Endpoints {
		count = min(count+max(f.Endpoints[i].Count, 0), maxEndpoints)
	}
	return count
}

// CustomerCount returns the number of customers that the file declares.
func (f *File) CustomerCount() int {
	count := 0
	for i := range f.Customers {
		count += len(f.Customers[i].AllNames())
	}
	return count
}
