package parser

import (
	"bytes"

	"github.com/jackdawthread/jackdawthread/common/decoder"
)

// Parse decodes a declarations file, sets defaults and validates it. Its error is
// of type decoder.Problems and lists every problem; name identifies the file in
// it.
func Parse(name string, source []byte) (*File, error) {
	f := &File{Name: name, Source: bytes.Clone(source)}
	document := decoder.Decode(name, f.Source, f)
	document.Validate(f)
	if !document.Undecodable() {
		f.setDerivedDefaults()
		newChecker(f, document).check()
	}
	if err := document.Err(); err != nil {
		return nil, err
	}
	return f, nil
}
