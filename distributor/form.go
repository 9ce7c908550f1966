package distributor

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

const (
	// maxValueBytes bounds a value and its encoded form.
	maxValueBytes = 4 << 20
	// windowBytes is how far back the compression refers, dictionary included.
	windowBytes = 4 << 20
	// dictionaryID names the dictionary within an encoded form; which one it is stands beside it.
	dictionaryID = 1
)

// form is an encoded form of a value.
type form struct {
	data     []byte
	checksum identifier.Digest
	// base is the value that is the dictionary; 0 for none.
	base identifier.Digest
}

// encode compresses a value. The dictionary is nil for none.
func encode(value []byte, base identifier.Digest, dictionary []byte) (*form, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowBytes),
	}
	if dictionary != nil {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	data := e.EncodeAll(value, nil)
	return &form{data: data, checksum: identifier.DigestOf(data), base: base}, e.Close()
}

// decode returns the value of an encoded form. The dictionary is nil for none.
func decode(data, dictionary []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxValueBytes),
		zstd.WithDecoderMaxWindow(windowBytes),
	}
	if dictionary != nil {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return d.DecodeAll(data, nil)
}

// part returns the reply with the part that starts at an offset.
func (f *form) part(offset uint32) *peerwire.ValueReply {
	from := min(int(offset), len(f.data))
	until := min(from+partBytes, len(f.data))
	return &peerwire.ValueReply{
		Found:    true,
		Encoded:  uint32(len(f.data)),
		Checksum: f.checksum,
		Base:     f.base,
		Part:     f.data[from:until],
	}
}

var (
	errFormChanged = errors.New("part of another form of the value")
	errEmptyPart   = errors.New("part is empty or too long")
	errFormSize    = fmt.Errorf("encoded form is empty or larger than %d bytes", maxValueBytes)
	errWrongValue  = errors.New("value doesn't have the digest that was requested")
)

// assembly collects the parts of an encoded form, from one host or several.
type assembly struct {
	form
	size int
}

// offset is where the next part starts.
func (a *assembly) offset() uint32 {
	return uint32(len(a.data))
}

// add adds the next part. If it belongs to another form, what has been collected is dropped.
func (a *assembly) add(r *peerwire.ValueReply) error {
	if r.Encoded == 0 || r.Encoded > maxValueBytes {
		return errFormSize
	}
	if len(a.data) > 0 && (r.Checksum != a.checksum || r.Base != a.base) {
		*a = assembly{}
		return errFormChanged
	}
	if len(r.Part) == 0 || len(a.data)+len(r.Part) > int(r.Encoded) {
		*a = assembly{}
		return errEmptyPart
	}
	a.checksum, a.base, a.size = r.Checksum, r.Base, int(r.Encoded)
	a.data = append(a.data, r.Part...)
	return nil
}

func (a *assembly) complete() bool {
	return a.size > 0 && len(a.data) == a.size
}

// value decodes the complete form, and checks that it is the value that was requested.
func (a *assembly) value(wanted identifier.Digest, baseDigest identifier.Digest, base []byte) ([]byte, error) {
	if a.base == 0 {
		base = nil
	} else if a.base != baseDigest {
		return nil, errWrongValue
	}
	value, err := decode(a.data, base)
	if err != nil {
		return nil, err
	}
	if identifier.DigestOf(value) != wanted {
		return nil, errWrongValue
	}
	return value, nil
}
