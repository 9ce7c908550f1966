// Package drafter draws files of days for the bench from a catalogue of
// troubles: each trouble alone, and pairs that meet.
//
// # Usage
//
//	c, err := drafter.LoadCatalogue("deploy/troubles.toml")
//	for _, d := range drafter.Alone(c) {
//		err = d.Write(directory)
//	}
//	for _, d := range drafter.Pairs(c, seed, 40) {
//		err = d.Write(directory)
//	}
//
// The catalogue holds the words of the bench; the package gives them no
// meaning. The same catalogue and seed give the same days.
package drafter

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Times of a day, in seconds from the start of traffic.
const (
	dayLength  = 38.0
	middle     = 12.0
	start      = 0.3
	beforeEnd  = 2.0
	afterFirst = 0.5 // from the end of one trouble to the start of the next
	usualSpan  = 5.0
)

// Trouble is one kind of trouble with its variants.
type Trouble struct {
	Kind string `toml:"kind"`
	// Planned troubles are work of operators; the others are faults.
	Planned bool `toml:"planned"`
	// Fields are given as they are, but for the time and the variant.
	Fields map[string]any `toml:"fields"`
	// Variants of the kind; "" is the plain one.
	Variants []string `toml:"variants"`
}

// Catalogue lists troubles.
type Catalogue struct {
	Troubles []Trouble `toml:"trouble"`
}

// LoadCatalogue reads a catalogue. It refuses unknown fields, troubles without
// a kind or a variant, and an empty list.
func LoadCatalogue(path string) (*Catalogue, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "catalogue of troubles")
	}
	defer func() { _ = f.Close() }()
	var c Catalogue
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&c); err != nil {
		return nil, eris.Wrapf(err, "catalogue %q", path)
	}
	if len(c.Troubles) == 0 {
		return nil, eris.Errorf("catalogue %q: it lists no trouble", path)
	}
	for n, t := range c.Troubles {
		if t.Kind == "" || len(t.Variants) == 0 {
			return nil, eris.Errorf("catalogue %q: trouble %d: it needs a kind and a variant", path, n+1)
		}
	}
	return &c, nil
}

// choice is one variant of a trouble.
type choice struct {
	trouble *Trouble
	variant string
}

// choices gives all variants, in the catalogue's order.
func (c *Catalogue) choices() []choice {
	var all []choice
	for i := range c.Troubles {
		for _, v := range c.Troubles[i].Variants {
			all = append(all, choice{trouble: &c.Troubles[i], variant: v})
		}
	}
	return all
}

func (c choice) name() string {
	words := strings.Fields(strings.ReplaceAll(c.trouble.Kind+" "+c.variant, "_", " "))
	return strings.Join(words, "-")
}

// span gives how long the trouble lasts, in seconds.
func (c choice) span() float64 {
	switch v := c.trouble.Fields["for_s"].(type) {
	case float64:
		return v
	case int64:
		return float64(v)
	}
	return usualSpan
}

// event gives the trouble at a time.
func (c choice) event(at float64) map[string]any {
	e := map[string]any{"at": at, "kind": c.trouble.Kind}
	for field, value := range c.trouble.Fields {
		e[field] = value
	}
	if c.variant != "" {
		e["how"] = c.variant
	}
	return e
}

// Day is a day of the bench.
type Day struct {
	Name   string           `toml:"name"`
	Slot   string           `toml:"slot"`
	Seed   uint64           `toml:"seed"`
	Length float64          `toml:"length_s"`
	Plan   []map[string]any `toml:"plan"`
	Faults []map[string]any `toml:"faults"`
}

func newDay(name string, seed uint64) *Day {
	return &Day{Name: name, Slot: "trouble", Seed: seed, Length: dayLength}
}

func (d *Day) add(c choice, at float64) {
	if c.trouble.Planned {
		d.Plan = append(d.Plan, c.event(at))
		return
	}
	d.Faults = append(d.Faults, c.event(at))
}

// Write writes the day into the directory, in a file of its name.
func (d *Day) Write(directory string) error {
	text, err := toml.Marshal(d)
	if err != nil {
		return eris.Wrapf(err, "day %q", d.Name)
	}
	return eris.Wrapf(os.WriteFile(filepath.Join(directory, d.Name+".toml"), text, 0o644), "day %q", d.Name)
}

// Alone gives a day for each variant, in which nothing else happens but that
// it comes three times: at the start, in the middle and at the end.
func Alone(c *Catalogue) []*Day {
	var days []*Day
	for n, choice := range c.choices() {
		d := newDay("alone-"+choice.name(), uint64(n)+1)
		d.add(choice, start)
		d.add(choice, middle)
		d.add(choice, dayLength-beforeEnd)
		days = append(days, d)
	}
	return days
}

// Pairs gives count days on which two variants meet: at once, one in the
// recovery from the other, at the start and at the end.
func Pairs(c *Catalogue, seed uint64, count int) []*Day {
	random := rand.New(rand.NewPCG(seed, 0))
	all := c.choices()
	var days []*Day
	for range count {
		first, second := all[random.IntN(len(all))], all[random.IntN(len(all))]
		name := fmt.Sprintf("pair-%s-and-%s", first.name(), second.name())
		d := newDay(name, random.Uint64N(1<<31))
		d.meet(first, second)
		days = append(days, d)
	}
	return days
}

// meet adds both at the start, at once, one after the other and at the end.
func (d *Day) meet(first, second choice) {
	d.add(first, start)
	d.add(second, start)
	d.add(first, middle)
	d.add(second, middle)
	recovery := middle + max(first.span(), second.span()) + afterFirst
	d.add(second, recovery)
	d.add(first, recovery+second.span()+afterFirst)
	d.add(first, dayLength-beforeEnd)
	d.add(second, dayLength-beforeEnd)
}
