// Package examples holds worked declaration files.
//
// # Usage
//
//	fleet, err := compiler.FromBytes("tamsui.toml", examples.Tamsui, 1)
package examples

import _ "embed"

// Tamsui declares three data centres with note-writer, dealer-desk and
// price-lock.
//
//go:embed tamsui.toml
var Tamsui []byte

// Snyrtinams declares three data centres with yfirlestur, innritun and
// seat-confirmation.
//
//go:embed snyrtinams.toml
var Snyrtinams []byte
