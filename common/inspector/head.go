package inspector

import (
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxKept is the number of bytes that are kept of a status line or a field name. All that
	// are compared are shorter.
	maxKept = 32

	fieldCoding = "Transfer-Encoding"
	fieldLength = "Content-Length"
)

// place is where in a head the next byte is.
type place uint8

const (
	inStatusLine place = iota
	atLineStart
	inName
	inValue
	afterHead
)

// head checks the bytes of one head as they arrive. It keeps only the beginning of a line.
type head struct {
	place place
	err   error  // what is broken; nil if nothing is
	kept  []byte // of the status line, or the current field's name
	// carriageReturn is set after a CR, which only LF may follow.
	carriageReturn bool
	fields         bool // whether a field has begun
	// http10 is set if the version is HTTP/1.0.
	http10, hasCoding, hasLength bool
}

// check checks the bytes up to the head's end; those that follow belong to the body. After an
// error it returns that again.
func (h *head) check(text []byte) error {
	for _, b := range text {
		if h.err != nil || h.place == afterHead {
			break
		}
		h.err = h.checkByte(b)
	}
	return h.err
}

func (h *head) checkByte(b byte) error {
	if h.carriageReturn && b != '\n' {
		return broken(h.part(), "CR without LF after %q", h.kept)
	}
	h.carriageReturn = b == '\r'
	if h.carriageReturn {
		return nil
	}
	switch h.place {
	case inStatusLine:
		return h.checkStatusLine(b)
	case atLineStart:
		return h.beginLine(b)
	case inName:
		return h.checkName(b)
	default:
		return h.checkValue(b)
	}
}

// part returns the part of the head that the next byte belongs to.
func (h *head) part() Part {
	switch h.place {
	case inStatusLine:
		return PartStatusLine
	case inValue:
		return PartFieldValue
	default:
		return PartFieldName
	}
}

func (h *head) keep(b byte) {
	if len(h.kept) < maxKept {
		h.kept = append(h.kept, b)
	}
}

func (h *head) checkStatusLine(b byte) error {
	if b == '\n' {
		h.place = atLineStart
		return h.checkStatus(string(h.kept))
	}
	h.keep(b)
	if !isText(b) {
		return broken(PartStatusLine, "control byte at the end of %q", h.kept)
	}
	return nil
}

// checkStatus checks the version and the status of a status line.
func (h *head) checkStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return broken(PartStatusLine, "unknown version in %q", line)
	}
	h.http10 = minor == "0"
	status, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if problem := statusProblem(status); problem != "" {
		return broken(PartStatusLine, "%s in %q", problem, line)
	}
	return nil
}

// statusProblem returns what is wrong with a status; empty if nothing is.
func statusProblem(status string) string {
	switch {
	case len(status) != 3 || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]):
		return "status isn't of three digits"
	case status[0] < '1' || status[0] > '5':
		return "status isn't from 100 to 599"
	case status == "101":
		return "unrequested change of the protocol"
	default:
		return ""
	}
}

// beginLine checks the first byte of a line after the status line.
func (h *head) beginLine(b byte) error {
	switch {
	case b == '\n':
		h.place = afterHead
		return h.checkFraming()
	case isBlank(b) && h.fields: // continues the value
		h.place = inValue
		return nil
	default:
		h.place, h.fields, h.kept = inName, true, h.kept[:0]
		return h.checkName(b)
	}
}

func (h *head) checkName(b byte) error {
	if b == ':' && len(h.kept) > 0 {
		h.place = inValue
		h.hasCoding = h.hasCoding || strings.EqualFold(string(h.kept), fieldCoding)
		h.hasLength = h.hasLength || strings.EqualFold(string(h.kept), fieldLength)
		return nil
	}
	if !httpguts.IsTokenRune(rune(b)) {
		return broken(PartFieldName, "byte %q after %q", b, h.kept)
	}
	h.keep(b)
	return nil
}

func (h *head) checkValue(b byte) error {
	switch {
	case b == '\n':
		h.place = atLineStart
		return nil
	case !isText(b):
		return broken(PartFieldValue, "control byte %q in the field %q", b, h.kept)
	default:
		return nil
	}
}

func (h *head) checkFraming() error {
	switch {
	case h.hasCoding && h.hasLength:
		return broken(PartFraming, "both %s and %s", fieldCoding, fieldLength)
	case h.hasCoding && h.http10:
		return broken(PartFraming, "%s in HTTP/1.0", fieldCoding)
	default:
		return nil
	}
}

func isDigit(b byte) bool {
	return '0' <= b && b <= '9'
}

func isBlank(b byte) bool {
	return b == ' ' || b == '\t'
}

// isText reports whether a field value or a reason may have the byte.
func isText(b byte) bool {
	return b >= ' ' && b != 0x7f || b == '\t'
}
