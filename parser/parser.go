package parser

import (
	"bytes"

	"github.com/jackdawthread/jackdawthread/common/decoder"
)

// Parse reads a declarations file, sets defaults and checks it whole. Its
// error is of type decoder.Problems and holds every fault; name is used in
// it.
func Parse(name string, source []byte) (*File, error) {
	f := &File{Name: name, Source: bytes.Clone(source)}
	document := decoder.Decode(name, f.Source, f)
	document.Validate(f)
	if !document.Broken() {
		f.complete()
		newChecker(f, document).check()
	}
	if err := document.Err(); err != nil {
		return nil, err
	}
	return f, nil
}
