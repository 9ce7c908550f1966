package ticketer

import (
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// A ticket is the issuer's incarnation and a secret, in lower-case hexadecimal
// digits, with a hyphen between.
const (
	incarnationDigits = 16
	secretBytes       = 16
	ticketLength      = incarnationDigits + 1 + 2*secretBytes
)

func newTicket(self identifier.Incarnation, random io.Reader) (identifier.Ticket, error) {
	var secret [secretBytes]byte
	if _, err := io.ReadFull(random, secret[:]); err != nil {
		return "", err
	}
	return identifier.Ticket(self.String() + "-" + hex.EncodeToString(secret[:])), nil
}

// Issuer gives the incarnation that issued t. It doesn't tell whether t is
// valid; only the issuer knows.
func Issuer(t identifier.Ticket) (identifier.Incarnation, error) {
	if len(t) != ticketLength {
		return 0, fmt.Errorf("ticket has %d characters, want %d", len(t), ticketLength)
	}
	issuer, secret, found := strings.Cut(string(t), "-")
	if !found || len(issuer) != incarnationDigits {
		return 0, fmt.Errorf("ticket has no hyphen behind %d digits", incarnationDigits)
	}
	if strings.Trim(issuer, "0123456789abcdef") != "" {
		return 0, fmt.Errorf("issuer %q is not in lower-case hexadecimal digits", issuer)
	}
	if strings.Trim(secret, "0123456789abcdef") != "" {
		return 0, fmt.Errorf("ticket's secret is not in lower-case hexadecimal digits")
	}
	n, err := strconv.ParseUint(issuer, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("issuer %q is not a number: %w", issuer, err)
	}
	if n == 0 {
		return 0, fmt.Errorf("issuer is 0")
	}
	return identifier.Incarnation(n), nil
}
