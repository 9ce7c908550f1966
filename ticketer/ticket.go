package ticketer

import (
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// A ticket consists of the issuer's incarnation, a hyphen and a random secret,
// both in lowercase hexadecimal digits.
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

// Issuer returns the incarnation that issued t. It doesn't check whether t is
// valid, which only the issuer can do.
func Issuer(t identifier.Ticket) (identifier.Incarnation, error) {
	if len(t) != ticketLength {
		return 0, fmt.Errorf("ticket has %d characters, want %d", len(t), ticketLength)
	}
	issuer, secret, found := strings.Cut(string(t), "-")
	if !found || len(issuer) != incarnationDigits {
		return 0, fmt.Errorf("ticket has no hyphen after %d digits", incarnationDigits)
	}
	if strings.Trim(issuer, "0123456789abcdef") != "" {
		return 0, fmt.Errorf("issuer %q is not in lowercase hexadecimal digits", issuer)
	}
	if strings.Trim(secret, "0123456789abcdef") != "" {
		return 0, fmt.Errorf("ticket's secret is not in lowercase hexadecimal digits")
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
