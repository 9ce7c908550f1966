// Package examples embeds complete declaration files of two firms.
//
// # Usage
//
//	fleet, err := compiler.FromBytes("tamsui.toml", examples.Tamsui, 1)
package examples

import _ "embed"

// Tamsui declares three data centers with the services note-writer, dealer-desk and
// price-lock.
//
//go:embed tamsui.toml
var Tamsui []byte

// Snyrtinams declares three data centers with the services yfirlestur, innritun and
// seat-confirmation.
//
//go:embed snyrtinams.toml
var Snyrtinams []byte
