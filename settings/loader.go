package settings

import (
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// EnvironmentPrefix is the prefix of environment variables that override
// settings.
const EnvironmentPrefix = "JACKDAWTHREAD_"

// HostAddressVariable is the environment variable with the address of the entry
// host that commands connect to. It is not a settings key, and Load ignores it.
const HostAddressVariable = EnvironmentPrefix + "HOST_ADDRESS"

// Load reads settings from the file at path, if path is not empty, and applies
// the overrides in environ and flags. Entries of environ have the form
// name=value; flags are created with Flag.
func Load(path string, environ []string, flags []decoder.Override) (*Settings, error) {
	var source []byte
	if path != "" {
		var err error
		if source, err = os.ReadFile(path); err != nil {
			return nil, eris.Wrapf(err, "read settings %q", path)
		}
	}
	return FromBytes(path, source, environ, flags)
}

// FromBytes is like Load, but takes the contents of the settings file. name is
// the file name in error messages.
func FromBytes(name string, source []byte, environ []string, flags []decoder.Override) (*Settings, error) {
	if name == "" {
		name = "settings"
	}
	s := &Settings{}
	document := decoder.Decode(name, source, s)
	for _, o := range environmentOverrides(environ) {
		document.Override(s, o)
	}
	for _, o := range flags {
		document.Override(s, o)
	}
	document.Validate(s)
	s.validate(document)
	if err := document.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Flag returns the override for a command-line flag --set path=text.
func Flag(path, text string) decoder.Override {
	return decoder.Override{Origin: "flag --set", Path: path, Text: text}
}

// Keys returns the sorted paths of all keys.
func Keys() []string {
	return decoder.Paths(&Settings{})
}

// environmentOverrides returns the overrides set in environ, sorted by variable
// name.
func environmentOverrides(environ []string) []decoder.Override {
	paths := map[string]string{}
	for _, path := range Keys() {
		paths[environmentVariable(path)] = path
	}
	var overrides []decoder.Override
	for _, entry := range slices.Sorted(slices.Values(environ)) {
		name, text, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, EnvironmentPrefix) || name == HostAddressVariable {
			continue
		}
		path, ok := paths[name]
		if !ok {
			path = strings.ToLower(strings.TrimPrefix(name, EnvironmentPrefix))
		}
		overrides = append(overrides, decoder.Override{Origin: "environment " + name, Path: path, Text: text})
	}
	return overrides
}

// environmentVariable returns the name of the environment variable for a key.
func environmentVariable(path string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.NewReplacer(".", "_", "-", "_").Replace(path))
}

// validate checks constraints that span several keys.
func (s *Settings) validate(document *decoder.Document) {
	if document.Undecodable() {
		return
	}
	s.validateListeners(document)
	s.validateTLS(document)
	if s.Periods.ProbeTimeout > s.Periods.Probe {
		document.Addf("periods.probe-timeout", "expected at most periods.probe of %v, got %v", s.Periods.Probe, s.Periods.ProbeTimeout)
	}
	if s.Periods.Probe > s.Periods.Suspicion {
		document.Addf("periods.probe", "expected at most periods.suspicion of %v, got %v", s.Periods.Suspicion, s.Periods.Probe)
	}
}

func (s *Settings) validateListeners(document *decoder.Document) {
	listeners := []struct {
		path    string
		address identifier.Address
	}{
		{path: "listeners.callers", address: s.Listeners.Callers},
		{path: "listeners.peers", address: s.Listeners.Peers},
		{path: "listeners.operators", address: s.Listeners.Operators},
	}
	seen := map[identifier.Address]string{}
	for _, l := range listeners {
		if other, ok := seen[l.address]; ok && l.address != "" {
			document.Addf(l.path, "expected an address other than that of %s, got %q", other, l.address)
		}
		seen[l.address] = l.path
	}
	address, err := netip.ParseAddrPort(string(s.Listeners.Peers))
	if err == nil && address.Addr().IsUnspecified() {
		document.Addf("listeners.peers", "expected an address that other hosts can reach, got %q", s.Listeners.Peers)
	}
}

func (s *Settings) validateTLS(document *decoder.Document) {
	files := []struct{ path, file string }{
		{path: "tls.certificate", file: s.TLS.Certificate},
		{path: "tls.key", file: s.TLS.Key},
		{path: "tls.authority", file: s.TLS.Authority},
	}
	if s.TLS == (TLS{}) {
		return
	}
	for _, f := range files {
		if f.file == "" {
			document.Addf(f.path, "expected a file, since another key of tls is set, but the key is missing or empty")
		}
	}
}
