package settings_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/settings"
)

const validSource = `host = "entry-1"
firm = "tamsui"
data-center = "tw-north-1"
seeds = ["127.0.0.1:7811"]

[listeners]
callers = "127.0.0.1:7800"
peers = "127.0.0.1:7801"
operators = "127.0.0.1:7802"

[platform]
address = "127.0.0.1:7900"
`

func TestPrecedence(t *testing.T) {
	is := is.New(t)
	environ := []string{
		"HOME=/root",
		"JACKDAWTHREAD_LISTENERS_CALLERS=127.0.0.1:1",
		"JACKDAWTHREAD_PERIODS_LEASE=3s",
		"JACKDAWTHREAD_SEEDS=127.0.0.1:5, 127.0.0.1:6",
	}
	flags := []decoder.Override{
		settings.Flag("periods.lease", "4s"),
		settings.Flag("limits.max-requests", "12"),
	}
	s, err := settings.FromBytes("entry-1.toml", []byte(validSource), environ, flags)
	is.NoErr(err)
	is.Equal(s.Listeners.Callers, identifier.Address("127.0.0.1:1"))
	is.Equal(s.Listeners.Peers, identifier.Address("127.0.0.1:7801"))
	is.Equal(s.Periods.Lease, 4*time.Second)
	is.Equal(s.Periods.Probe, settings.Default().Periods.Probe)
	is.Equal(s.Limits.MaxRequests, 12)
	is.Equal(s.Seeds, []identifier.Address{"127.0.0.1:5", "127.0.0.1:6"})
}

func TestHostAddressVariableIsIgnored(t *testing.T) {
	is := is.New(t)
	_, err := settings.FromBytes("s.toml", []byte(validSource), []string{settings.HostAddressVariable + "=127.0.0.1:7002"}, nil)
	is.NoErr(err)
}

func TestExample(t *testing.T) {
	is := is.New(t)
	s, err := settings.Load("../examples/entry-host.toml", nil, nil)
	is.NoErr(err)
	is.Equal(s.Host, identifier.Host("tw-north-1-a"))
	is.Equal(s.Limits, settings.Default().Limits)
}

func TestInvalidSettings(t *testing.T) {
	assertProblems := func(t *testing.T, source string, environ []string, flags []decoder.Override, expected string) {
		t.Helper()
		is := is.New(t)
		s, err := settings.FromBytes("s.toml", []byte(source), environ, flags)
		is.True(s == nil)
		is.Equal(err.Error(), expected)
	}
	t.Run("missing keys", func(t *testing.T) {
		assertProblems(t, "", nil, nil, `s.toml:1: data-center: expected a value, but the key is missing or empty
s.toml:1: firm: expected a value, but the key is missing or empty
s.toml:1: host: expected a value, but the key is missing or empty
s.toml:1: listeners.callers: expected a value, but the key is missing or empty
s.toml:1: listeners.operators: expected a value, but the key is missing or empty
s.toml:1: listeners.peers: expected a value, but the key is missing or empty
s.toml:1: platform.address: expected a value, but the key is missing or empty`)
	})
	t.Run("invalid overrides", func(t *testing.T) {
		environ := []string{"JACKDAWTHREAD_PERIODS_LEASE=soon", "JACKDAWTHREAD_LOG_LEVEL=loud"}
		flags := []decoder.Override{settings.Flag("limits.max-requests", "many")}
		assertProblems(t, validSource, environ, flags, `environment JACKDAWTHREAD_LOG_LEVEL: log-level: expected one of "debug", "info", "warn", "error", got "loud"
environment JACKDAWTHREAD_PERIODS_LEASE: periods.lease: expected a duration with its unit, such as "1.6s", got "soon"
flag --set: limits.max-requests: expected a whole number, got "many"`)
	})
	t.Run("conflicting keys", func(t *testing.T) {
		source := validSource + "\n[tls]\ncertificate = \"c.pem\"\n\n[periods]\nprobe = \"4s\"\n"
		environ := []string{"JACKDAWTHREAD_LISTENERS_PEERS=0.0.0.0:7800", "JACKDAWTHREAD_LISTENERS_OPERATORS=127.0.0.1:7800"}
		assertProblems(t, source, environ, nil, `environment JACKDAWTHREAD_LISTENERS_OPERATORS: listeners.operators: expected an address other than that of listeners.callers, got "127.0.0.1:7800"
environment JACKDAWTHREAD_LISTENERS_PEERS: listeners.peers: expected an address that other hosts can reach, got "0.0.0.0:7800"
s.toml:14: tls.authority: expected a file, since another key of tls is set, but the key is missing or empty
s.toml:14: tls.key: expected a file, since another key of tls is set, but the key is missing or empty
s.toml:18: periods.probe: expected at most periods.suspicion of 3s, got 4s`)
	})
}

func TestUnknownVariable(t *testing.T) {
	is := is.New(t)
	_, err := settings.FromBytes("s.toml", []byte(validSource), []string{"JACKDAWTHREAD_HOTS=x"}, nil)
	problems, _ := errors.AsType[decoder.Problems](err)
	is.Equal(len(problems), 1)
	is.Equal(problems[0].Origin, "environment JACKDAWTHREAD_HOTS")
	is.Equal(problems[0].Key, "hots")
}
