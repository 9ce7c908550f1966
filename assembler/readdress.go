package assembler

import (
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// endpointTables holds the [[endpoint]] tables of a declarations file.
type endpointTables struct {
	Endpoints []endpointTable `toml:"endpoint"`
}

type endpointTable struct {
	Name           identifier.Endpoint   `toml:"name"`
	Service        identifier.Service    `toml:"service"`
	DataCenter     identifier.DataCenter `toml:"data-center"`
	Address        identifier.Address    `toml:"address"`
	Role           string                `toml:"role,omitempty"`
	Owner          identifier.Firm       `toml:"owner,omitempty"`
	Slots          int                   `toml:"slots"`
	Pieces         identifier.Pieces     `toml:"pieces,omitempty"`
	TokensPerPiece identifier.Tokens     `toml:"tokens-per-piece,omitempty"`
	ChecksFence    *bool                 `toml:"checks-fence,omitempty"`
	Leaving        bool                  `toml:"leaving,omitempty"`
}

// ReplaceEndpointAddresses replaces the [[endpoint]] tables of a declarations file
// with tables that declare the same endpoints at their actual addresses.
func ReplaceEndpointAddresses(source []byte, declared *compiler.Fleet, actual map[identifier.Endpoint]identifier.Address) ([]byte, error) {
	var tables endpointTables
	for name, e := range declared.Endpoints {
		tables.Endpoints = append(tables.Endpoints, newEndpointTable(e, actual[name]))
	}
	slices.SortFunc(tables.Endpoints, func(a, b endpointTable) int { return strings.Compare(string(a.Name), string(b.Name)) })
	text, err := toml.Marshal(tables)
	if err != nil {
		return nil, err
	}
	return append([]byte(removeTables(string(source), "[[endpoint]]")+"\n"), text...), nil
}

func newEndpointTable(e *compiler.Endpoint, address identifier.Address) endpointTable {
	t := endpointTable{
		Name:       e.Name,
		Service:    e.Service,
		DataCenter: e.DataCenter,
		Address:    address,
		Owner:      e.Owner,
		Slots:      e.Slots,
		Leaving:    e.Leaving,
	}
	if e.Role != compiler.RolePlain {
		t.Role = e.Role.String()
		t.Pieces = e.Pieces
		t.TokensPerPiece = e.TokensPerPiece
		t.ChecksFence = &e.ChecksFence
	}
	return t
}

// removeTables removes all tables with the given header.
func removeTables(source, header string) string {
	var lines []string
	skipping := false
	for line := range strings.Lines(source) {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "[") {
			skipping = trimmed == header
		}
		if !skipping {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}
