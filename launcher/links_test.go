package launcher

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/certifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/settings"
)

// newSettings returns settings for a host on loopback whose platform is
// unreachable.
func newSettings(name identifier.Host, files settings.TLS, seeds ...identifier.Address) *settings.Settings {
	s := settings.Default()
	s.Host, s.Firm, s.DataCenter = name, "tamsui", "tw-north-1"
	s.Listeners = settings.Listeners{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.Platform.Address = "127.0.0.1:1"
	s.Seeds = seeds
	s.TLS = files
	return s
}

func startHost(t *testing.T, s *settings.Settings) *Host {
	t.Helper()
	h, err := Start(context.Background(), s, Options{Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Kill)
	return h
}

// writeTLS issues a certificate for a host and writes its TLS files.
func writeTLS(t *testing.T, a *certifier.Authority, name string) settings.TLS {
	t.Helper()
	dir := t.TempDir()
	files := settings.TLS{
		Certificate: filepath.Join(dir, "host.pem"),
		Key:         filepath.Join(dir, "host-key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	pair, err := a.Issue([]string{name}, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	err = errors.Join(pair.Write(files.Certificate, files.Key), os.WriteFile(files.Authority, a.Certificate, 0o600))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func liveHosts(h *Host) int {
	return len(h.gossiper.View().Live("tw-north-1"))
}

func requireEventually(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition was not met within 20 seconds")
		}
	}
}

func TestPeerTLS(t *testing.T) {
	authority, err := certifier.NewAuthority("tamsui", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	a := startHost(t, newSettings("entry-1", writeTLS(t, authority, "entry-1")))
	seed := a.Addresses().Peers
	t.Run("hosts with certificates connect", func(t *testing.T) {
		b := startHost(t, newSettings("entry-2", writeTLS(t, authority, "entry-2"), seed))
		requireEventually(t, func() bool { return liveHosts(a) == 2 && liveHosts(b) == 2 })
	})
	t.Run("host without certificate is rejected", func(t *testing.T) {
		c := startHost(t, newSettings("entry-3", settings.TLS{}, seed))
		requireEventually(t, func() bool { return c.messenger.Stats().FailedDials > 0 })
		is := is.New(t)
		is.Equal(liveHosts(c), 1)
		is.True(strings.Contains(c.Meter().String(), `"failed-dials":`))
		is.True(strings.Contains(c.Meter().String(), `"superseded":false`))
		_, known := a.gossiper.View().ByHost("entry-3")
		is.True(!known)
	})
	t.Run("missing file fails the start", func(t *testing.T) {
		files := writeTLS(t, authority, "entry-4")
		files.Key += ".missing"
		_, err := Start(context.Background(), newSettings("entry-4", files), Options{Log: zap.NewNop()})
		is := is.New(t)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), files.Key))
	})
}
