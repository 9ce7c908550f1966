package decoder

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 128

// Validate checks target, the pointer that was passed to Decode, against its
// "validate" tags. It does nothing if the document is broken.
func (d *Document) Validate(target any) {
	if d.broken {
		return
	}
	err := newValidator().Struct(target)
	fieldErrors, _ := errors.AsType[validator.ValidationErrors](err)
	for _, f := range fieldErrors {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		if !d.hasProblem(path) {
			d.Addf(path, "%s", expectation(f))
		}
	}
}

// hasProblem reports whether the key at path already has a problem, such as a
// value that couldn't be decoded, and needs no further check.
func (d *Document) hasProblem(path string) bool {
	return d.reported[problemKey{at: d.locate(path), key: stripIndexes(path)}]
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	// Registering fails only for a bad tag name or a nil function.
	_ = v.RegisterValidation("name", func(f validator.FieldLevel) bool { return IsName(f.Field().String()) })
	_ = v.RegisterValidation("ip-port", func(f validator.FieldLevel) bool { return IsAddress(f.Field().String()) })
	return v
}

// IsName reports whether text is a valid name: lower-case letters, digits, "-",
// "_" and ".", starting with a letter or digit, at most 128 bytes.
func IsName(text string) bool {
	if text == "" || len(text) > maxNameLength {
		return false
	}
	for i, c := range []byte(text) {
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("-_.", rune(c))) {
			return false
		}
	}
	return true
}

// IsAddress reports whether text is an IP address and a port other than 0.
func IsAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// expectation returns the problem text for a failed validate tag.
func expectation(f validator.FieldError) string {
	got := fmt.Sprintf(", got %v", f.Value())
	if text, ok := stringValue(f); ok {
		got = fmt.Sprintf(", got %q", truncate(text))
	}
	if f.Kind() == reflect.Slice {
		got = fmt.Sprintf(", got %d", reflect.ValueOf(f.Value()).Len())
	}
	switch f.Tag() {
	case "required":
		return "expected a value, but the key is missing or empty"
	case "name":
		return `expected a name of lower-case letters, digits, "-", "_" and "."` + got
	case "ip-port":
		return `expected an IP number and a port, such as "127.0.0.1:7101"` + got
	case "oneof":
		return "expected one of " + quoteAll(strings.Fields(f.Param())) + got
	case "min":
		return "expected " + f.Param() + " or more entries" + got
	case "max":
		return "expected " + f.Param() + " or fewer entries" + got
	default:
		return "expected " + comparisonPhrase(f.Tag()) + f.Param() + got
	}
}

func stringValue(f validator.FieldError) (string, bool) {
	if f.Kind() != reflect.String {
		return "", false
	}
	return reflect.ValueOf(f.Value()).String(), true
}

func comparisonPhrase(tag string) string {
	switch tag {
	case "gt":
		return "more than "
	case "gte":
		return "at least "
	case "lt":
		return "less than "
	case "lte":
		return "at most "
	default:
		return tag + " "
	}
}
