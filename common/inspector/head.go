package inspector

import "strings"

// maxKept is the number of bytes that are kept of a status line. All that are compared are
// shorter.
const maxKept = 32

// head checks the bytes of one head as they arrive. It keeps only the beginning of a line.
type head struct {
	kept []byte // of the status line
	// carriageReturn is set after a CR, which only LF may follow.
	carriageReturn bool
	checked        bool
}

// check checks the bytes up to the status line's end.
func (h *head) check(text []byte) error {
	for _, b := range text {
		if h.checked {
			return nil
		}
		if err := h.checkByte(b); err != nil {
			return err
		}
	}
	return nil
}

func (h *head) checkByte(b byte) error {
	if h.carriageReturn && b != '\n' {
		return broken(PartStatusLine, "CR without LF after %q", h.kept)
	}
	h.carriageReturn = b == '\r'
	if h.carriageReturn {
		return nil
	}
	return h.checkStatusLine(b)
}

func (h *head) checkStatusLine(b byte) error {
	if b == '\n' {
		h.checked = true
		return checkStatus(string(h.kept))
	}
	if len(h.kept) < maxKept {
		h.kept = append(h.kept, b)
	}
	if !isText(b) {
		return broken(PartStatusLine, "control byte at the end of %q", h.kept)
	}
	return nil
}

// checkStatus checks the version and the status of a status line.
func checkStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return broken(PartStatusLine, "unknown version in %q", line)
	}
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

func isDigit(b byte) bool {
	return '0' <= b && b <= '9'
}

// isText reports whether a reason may have the byte.
func isText(b byte) bool {
	return b >= ' ' && b != 0x7f || b == '\t'
}
