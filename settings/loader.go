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

// EnvironmentPrefix starts the names of the environment variables that set
// keys.
const EnvironmentPrefix = "JACKDAWTHREAD_"

// HostAddressVariable names the entry host that commands ask. It is no key of
// the settings, and a process that serves passes it over.
const HostAddressVariable = EnvironmentPrefix + "HOST_ADDRESS"

// Load reads the settings file at path, the environment and the flags. An
// empty path means that there is no file. Entries of environ are name=value;
// flags are as Flag gives them.
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

// FromBytes reads settings as Load does, from a file that is in memory.
func FromBytes(name string, source []byte, environ []string, flags []decoder.Override) (*Settings, error) {
	if name == "" {
		name = "settings"
	}
	s := &Settings{}
	document := decoder.Decode(name, source, s)
	for _, o := range environment(environ) {
		document.Override(s, o)
	}
	for _, o := range flags {
		document.Override(s, o)
	}
	document.Validate(s)
	s.check(document)
	if err := document.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Flag gives the override of a command-line flag --set path=text.
func Flag(path, text string) decoder.Override {
	return decoder.Override{Origin: "flag --set", Path: path, Text: text}
}

// Keys gives the paths of all keys, sorted.
func Keys() []string {
	return decoder.Paths(&Settings{})
}

// environment gives the overrides in environ, sorted by name.
func environment(environ []string) []decoder.Override {
	paths := map[string]string{}
	for _, path := range Keys() {
		paths[variable(path)] = path
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

// variable gives the name of the environment variable for a key.
func variable(path string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.NewReplacer(".", "_", "-", "_").Replace(path))
}

// check checks what spans several keys.
func (s *Settings) check(document *decoder.Document) {
	if document.Broken() {
		return
	}
	s.checkListeners(document)
	s.checkTLS(document)
	if s.Periods.ProbeTimeout > s.Periods.Probe {
		document.Addf("periods.probe-timeout", "expected at most periods.probe of %v, got %v", s.Periods.Probe, s.Periods.ProbeTimeout)
	}
	if s.Periods.Probe > s.Periods.Suspicion {
		document.Addf("periods.probe", "expected at most periods.suspicion of %v, got %v", s.Periods.Suspicion, s.Periods.Probe)
	}
}

func (s *Settings) checkListeners(document *decoder.Document) {
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

func (s *Settings) checkTLS(document *decoder.Document) {
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
