// Package drafter generates day files for the bench from a catalogue of
// troubles: each trouble in isolation, and random pairs that coincide.
//
// # Usage
//
//	c, err := drafter.LoadCatalogue("deploy/troubles.toml")
//	for _, d := range drafter.Singles(c) {
//		err = d.Write(directory)
//	}
//	for _, d := range drafter.Pairs(c, seed, 40) {
//		err = d.Write(directory)
//	}
//
// The package does not interpret the kinds and fields in the catalogue; the
// bench defines them. Output is deterministic for a given catalogue and seed.
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
	dayLength       = 38.0
	middleTime      = 12.0
	startTime       = 0.3
	endMargin       = 2.0
	recoveryDelay   = 0.5 // from the end of one trouble to the start of the next
	defaultDuration = 5.0
)

// Trouble is a kind of trouble with its variants.
type Trouble struct {
	Kind string `toml:"kind"`
	// Planned marks work of operators; all other troubles are faults.
	Planned bool `toml:"planned"`
	// Fields are copied into each event, in addition to the time and variant.
	Fields map[string]any `toml:"fields"`
	// Variants of the kind; "" is the kind without a variant.
	Variants []string `toml:"variants"`
}

// Catalogue is a list of troubles.
type Catalogue struct {
	Troubles []Trouble `toml:"trouble"`
}

// LoadCatalogue reads a catalogue. It rejects unknown fields, troubles without
// a kind or variants, and an empty list.
func LoadCatalogue(path string) (*Catalogue, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open catalogue of troubles")
	}
	defer func() { _ = f.Close() }()
	var c Catalogue
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&c); err != nil {
		return nil, eris.Wrapf(err, "decode catalogue %q", path)
	}
	if len(c.Troubles) == 0 {
		return nil, eris.Errorf("catalogue %q contains no troubles", path)
	}
	for n, t := range c.Troubles {
		if t.Kind == "" || len(t.Variants) == 0 {
			return nil, eris.Errorf("catalogue %q: trouble %d needs a kind and at least one variant", path, n+1)
		}
	}
	return &c, nil
}

// troubleVariant is one variant of a trouble.
type troubleVariant struct {
	trouble *Trouble
	variant string
}

// allVariants returns all variants in the order of the catalogue.
func (c *Catalogue) allVariants() []troubleVariant {
	var all []troubleVariant
	for i := range c.Troubles {
		for _, v := range c.Troubles[i].Variants {
			all = append(all, troubleVariant{trouble: &c.Troubles[i], variant: v})
		}
	}
	return all
}

func (c troubleVariant) name() string {
	words := strings.Fields(strings.ReplaceAll(c.trouble.Kind+" "+c.variant, "_", " "))
	return strings.Join(words, "-")
}

// duration returns how long the trouble lasts, in seconds.
func (c troubleVariant) duration() float64 {
	switch v := c.trouble.Fields["for_s"].(type) {
	case float64:
		return v
	case int64:
		return float64(v)
	}
	return defaultDuration
}

// event returns the day file entry of the trouble at a time.
func (c troubleVariant) event(at float64) map[string]any {
	e := map[string]any{"at": at, "kind": c.trouble.Kind}
	for field, value := range c.trouble.Fields {
		e[field] = value
	}
	if c.variant != "" {
		e["how"] = c.variant
	}
	return e
}

// Day is a day file of the bench.
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

func (d *Day) add(c troubleVariant, at float64) {
	if c.trouble.Planned {
		d.Plan = append(d.Plan, c.event(at))
		return
	}
	d.Faults = append(d.Faults, c.event(at))
}

// Write writes the day to a TOML file named after it in the directory.
func (d *Day) Write(directory string) error {
	text, err := toml.Marshal(d)
	if err != nil {
		return eris.Wrapf(err, "encode day %q", d.Name)
	}
	return eris.Wrapf(os.WriteFile(filepath.Join(directory, d.Name+".toml"), text, 0o644), "write day %q", d.Name)
}

// Singles returns one day per variant, on which that variant occurs three times:
// at the start, in the middle and at the end.
func Singles(c *Catalogue) []*Day {
	var days []*Day
	for n, variant := range c.allVariants() {
		d := newDay("alone-"+variant.name(), uint64(n)+1)
		d.add(variant, startTime)
		d.add(variant, middleTime)
		d.add(variant, dayLength-endMargin)
		days = append(days, d)
	}
	return days
}

// Pairs returns count days on which two variants coincide: simultaneously, one
// during the recovery from the other, at the start and at the end.
func Pairs(c *Catalogue, seed uint64, count int) []*Day {
	random := rand.New(rand.NewPCG(seed, 0))
	all := c.allVariants()
	var days []*Day
	for range count {
		first, second := all[random.IntN(len(all))], all[random.IntN(len(all))]
		name := fmt.Sprintf("pair-%s-and-%s", first.name(), second.name())
		d := newDay(name, random.Uint64N(1<<31))
		d.addPair(first, second)
		days = append(days, d)
	}
	return days
}

// addPair adds both variants at the start, simultaneously in the middle, one
// during the recovery from the other, and at the end.
func (d *Day) addPair(first, second troubleVariant) {
	d.add(first, startTime)
	d.add(second, startTime)
	d.add(first, middleTime)
	d.add(second, middleTime)
	recovery := middleTime + max(first.duration(), second.duration()) + recoveryDelay
	d.add(second, recovery)
	d.add(first, recovery+second.duration()+recoveryDelay)
	d.add(first, dayLength-endMargin)
	d.add(second, dayLength-endMargin)
}
