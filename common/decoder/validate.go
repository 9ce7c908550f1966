package decoder

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// maxNameLength bounds a name, in bytes.
const maxNameLength = 128

// Validate checks the "validate" tags of target, a pointer to the struct that
// was decoded. It does nothing for a broken document.
func (d *Document) Validate(target any) {
	if d.broken {
		return
	}
	err := newValidator().Struct(target)
	faults, _ := errors.AsType[validator.ValidationErrors](err)
	for _, f := range faults {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		if !d.faulty(path) {
			d.Addf(path, "%s", expectation(f))
		}
	}
}

// faulty tells whether the key at path couldn't be decoded, so that its value
// needs no check.
func (d *Document) faulty(path string) bool {
	return d.faults[fault{at: d.locate(path), key: display(path)}]
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	// Registering fails only for a bad tag name or a nil function.
	_ = v.RegisterValidation("name", func(f validator.FieldLevel) bool { return IsName(f.Field().String()) })
	_ = v.RegisterValidation("ip-port", func(f validator.FieldLevel) bool { return IsAddress(f.Field().String()) })
	return v
}

// IsName tells whether text is a name: lower-case letters, digits, "-", "_"
// and ".", with a letter or digit first, 128 bytes at most.
func IsName(text string) bool {
	if text == "" || len(text) > maxNameLength {
		return false
	}
	for i, c := range []byte(text) {
		plain := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !plain && (i == 0 || !strings.ContainsRune("-_.", rune(c))) {
			return false
		}
	}
	return true
}

// IsAddress tells whether text is an IP number with a port other than 0.
func IsAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// expectation says what a failed tag expects.
func expectation(f validator.FieldError) string {
	got := fmt.Sprintf(", got %v", f.Value())
	if text, ok := textOf(f); ok {
		got = fmt.Sprintf(", got %q", shorten(text))
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
		return "expected " + comparison(f.Tag()) + f.Param() + got
	}
}

func textOf(f validator.FieldError) (string, bool) {
	if f.Kind() != reflect.String {
		return "", false
	}
	return reflect.ValueOf(f.Value()).String(), true
}

func comparison(tag string) string {
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
