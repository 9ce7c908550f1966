package compiler

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/parser"
)

// Load reads and compiles the declarations file at path, as revision 0.
func Load(path string) (*Fleet, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read declarations %q", path)
	}
	return FromBytes(path, source, 0)
}

// FromBytes parses and compiles a declarations file. Problems in the file are
// returned as decoder.Problems, which identify it by name.
func FromBytes(name string, source []byte, revision identifier.Revision) (*Fleet, error) {
	file, err := parser.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return Compile(file, revision)
}

// Compile turns a file returned by parser.Parse into a Fleet. It fails only if
// the file was modified in between.
func Compile(file *parser.File, revision identifier.Revision) (*Fleet, error) {
	f := &Fleet{
		Revision:    revision,
		Firm:        file.Firm,
		DataCenters: map[identifier.DataCenter]*DataCenter{},
		Services:    map[identifier.Service]*Service{},
		Endpoints:   make(map[identifier.Endpoint]*Endpoint, file.EndpointCount()),
		Links:       map[LinkKey]*Link{},
		Customers:   make(map[identifier.Customer]*Customer, file.CustomerCount()),
		Source:      file.Source,
		Digest:      xxhash.Sum64(file.Source),
	}
	for _, d := range file.DataCenters {
		f.DataCenters[d.Name] = &DataCenter{Name: d.Name, Region: d.Region}
	}
	for i := range file.Services {
		f.addService(&file.Services[i])
	}
	for i := range file.Endpoints {
		if err := f.addEndpoints(&file.Endpoints[i]); err != nil {
			return nil, err
		}
	}
	for _, s := range f.Services {
		slices.SortFunc(s.Endpoints, func(a, b *Endpoint) int { return strings.Compare(string(a.Name), string(b.Name)) })
	}
	f.addLinks(file.Links)
	f.addContracts(file.Contracts)
	f.addCustomers(file)
	return f, nil
}

func (f *Fleet) addService(s *parser.Service) {
	f.Services[s.Name] = &Service{
		Name:            s.Name,
		Kind:            parseKind(s.Kind),
		Model:           s.Model,
		Version:         s.Version,
		Adapters:        slices.Clone(s.Adapters),
		Urgency:         parseUrgency(s.Urgency),
		Repeatable:      s.Repeatable,
		FirstToken:      s.FirstToken,
		BetweenTokens:   s.BetweenTokens,
		Objective:       s.Objective,
		Timeout:         s.Timeout,
		QueueLimit:      s.QueueLimit,
		FloorShare:      s.FloorShare,
		AgeLimit:        s.AgeLimit,
		MaxPromptTokens: s.MaxPromptTokens,
		MaxOutputTokens: s.MaxOutputTokens,
		Retry:           RetryBudget(s.Retry),
	}
}

func (f *Fleet) addEndpoints(e *parser.Endpoint) error {
	s := f.Services[e.Service]
	if s == nil {
		return fmt.Errorf("endpoint %q refers to undeclared service %q", e.Name, e.Service)
	}
	expanded, err := e.Expand()
	if err != nil {
		return eris.Wrapf(err, "endpoint %q", e.Name)
	}
	for _, single := range expanded {
		endpoint := &Endpoint{
			Name:           single.Name,
			Service:        e.Service,
			DataCenter:     e.DataCenter,
			Address:        single.Address,
			Role:           parseRole(e.Role),
			Owner:          e.Owner,
			Slots:          e.Slots,
			Pieces:         e.Pieces,
			TokensPerPiece: e.TokensPerPiece,
			ChecksFence:    e.ChecksFence,
			Leaving:        e.Leaving,
		}
		f.Endpoints[single.Name] = endpoint
		s.Endpoints = append(s.Endpoints, endpoint)
	}
	return nil
}

func (f *Fleet) addLinks(links []parser.Link) {
	for _, l := range links {
		k := LinkKey{From: l.From, To: l.To}
		f.Links[k] = &Link{Key: k, Rate: l.Rate}
	}
}

func (f *Fleet) addContracts(contracts []parser.Contract) {
	for _, c := range contracts {
		f.Contracts = append(f.Contracts, &Contract{
			Name:     c.Name,
			Service:  c.Service,
			Borrower: c.Borrower,
			Share:    c.Share,
			Start:    time.Duration(c.Start),
			End:      time.Duration(c.End),
		})
	}
}

func (f *Fleet) addCustomers(file *parser.File) {
	for i := range file.Customers {
		u := &file.Customers[i]
		for _, name := range u.AllNames() {
			f.Customers[name] = &Customer{
				Name:              name,
				Firm:              u.Firm,
				RequestsPerSecond: u.RequestsPerSecond,
				Burst:             u.Burst,
				TokensPerSecond:   u.TokensPerSecond,
			}
		}
	}
	if u := file.DefaultCustomer; u != nil {
		f.DefaultCustomer = &Customer{
			Firm:              file.Firm,
			RequestsPerSecond: u.RequestsPerSecond,
			Burst:             u.Burst,
			TokensPerSecond:   u.TokensPerSecond,
		}
	}
}

func parseKind(text string) Kind {
	if text == parser.KindPlain {
		return KindPlain
	}
	return KindModel
}

func parseUrgency(text string) Urgency {
	if text == parser.UrgencyPatient {
		return UrgencyPatient
	}
	return UrgencyUrgent
}

func parseRole(text string) Role {
	switch text {
	case parser.RolePrefill:
		return RolePrefill
	case parser.RoleDecode:
		return RoleDecode
	case parser.RolePlain:
		return RolePlain
	default:
		return RoleBoth
	}
}
