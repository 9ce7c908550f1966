package certifier_test

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/certifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/timer"
)

func newAuthority(t *testing.T) *certifier.Authority {
	t.Helper()
	a, err := certifier.NewAuthority("tamsui", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// writeFiles issues a certificate and writes the PEM files of a host.
func writeFiles(t *testing.T, dir string, a *certifier.Authority, names ...string) certifier.Files {
	t.Helper()
	pair, err := a.Issue(names, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	f := certifier.Files{
		Certificate: filepath.Join(dir, "host.pem"),
		Key:         filepath.Join(dir, "host-key.pem"),
		Authorities: filepath.Join(dir, "authorities.pem"),
	}
	if err := pair.Write(f.Certificate, f.Key); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(f.Authorities, a.Certificate, 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

func open(t *testing.T, f certifier.Files) *certifier.Store {
	t.Helper()
	s, err := certifier.Open(f, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake performs a TLS handshake over loopback. It returns the client's
// connection state and the errors of both ends.
func handshake(t *testing.T, server, client *tls.Config) (state tls.ConnectionState, serverErr, clientErr error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	group := grouper.New(t.Context())
	group.Go(func(context.Context) error {
		raw, err := ln.Accept()
		if err != nil {
			return err
		}
		c := tls.Server(raw, server)
		defer func() { _ = c.Close() }()
		serverErr = c.Handshake()
		_, _ = c.Write([]byte("x"))
		return nil
	})
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := tls.Client(raw, client)
	defer func() { _ = c.Close() }()
	if clientErr = c.Handshake(); clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1)) // with TLS 1.3, the server rejects a client after the client's handshake
	}
	state = c.ConnectionState()
	_ = group.Wait()
	return state, serverErr, clientErr
}

func TestPeers(t *testing.T) {
	a := newAuthority(t)
	local := open(t, writeFiles(t, t.TempDir(), a, "entry-1")).PeerConfig()
	peer := open(t, writeFiles(t, t.TempDir(), a, "entry-2")).PeerConfig()
	untrusted := open(t, writeFiles(t, t.TempDir(), newAuthority(t), "entry-2")).PeerConfig()
	t.Run("of the same authority are accepted", func(t *testing.T) {
		is := is.New(t)
		state, serverErr, clientErr := handshake(t, local, peer)
		is.NoErr(serverErr)
		is.NoErr(clientErr)
		is.Equal(state.PeerCertificates[0].Subject.CommonName, "entry-1")
	})
	t.Run("of another authority are rejected", func(t *testing.T) {
		is := is.New(t)
		_, _, clientErr := handshake(t, untrusted, local)
		is.True(clientErr != nil)
		_, serverErr, _ := handshake(t, local, untrusted)
		is.True(serverErr != nil)
	})
	t.Run("without a certificate are rejected", func(t *testing.T) {
		is := is.New(t)
		_, serverErr, _ := handshake(t, local, &tls.Config{InsecureSkipVerify: true})
		is.True(serverErr != nil)
	})
}

func TestClients(t *testing.T) {
	a := newAuthority(t)
	server := open(t, writeFiles(t, t.TempDir(), a, "entry-1", "127.0.0.1"))
	client := open(t, writeFiles(t, t.TempDir(), a, "caller")).ClientConfig()
	t.Run("verify the server's name", func(t *testing.T) {
		is := is.New(t)
		named := client.Clone()
		named.ServerName = "127.0.0.1"
		_, _, err := handshake(t, server.ServerConfig(certifier.ClientAuthRequired), named)
		is.NoErr(err)
		named.ServerName = "entry-2"
		_, _, err = handshake(t, server.ServerConfig(certifier.ClientAuthRequired), named)
		is.True(err != nil)
	})
	t.Run("without a certificate are accepted when it is optional", func(t *testing.T) {
		is := is.New(t)
		withoutCertificate := &tls.Config{InsecureSkipVerify: true}
		_, _, err := handshake(t, server.ServerConfig(certifier.ClientAuthOptional), withoutCertificate)
		is.NoErr(err)
	})
}

func TestReload(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	dir := t.TempDir()
	f := writeFiles(t, dir, a, "entry-1")
	s := open(t, f)
	changed, err := s.Reload()
	is.NoErr(err)
	is.True(!changed)

	writeFiles(t, dir, a, "entry-1-renewed")
	group := grouper.New(t.Context())
	defer group.Stop()
	s.Watch(timer.New(group), 5*time.Millisecond)
	client := open(t, writeFiles(t, t.TempDir(), a, "entry-2")).PeerConfig()
	servedName := func() string {
		state, _, _ := handshake(t, s.PeerConfig(), client)
		return state.PeerCertificates[0].Subject.CommonName
	}
	for deadline := time.Now().Add(10 * time.Second); servedName() != "entry-1-renewed"; {
		is.True(time.Now().Before(deadline)) // the renewed certificate is served in time
	}

	is.NoErr(os.WriteFile(f.Key, []byte("broken"), 0o600))
	_, err = s.Reload()
	is.True(err != nil)
	is.Equal(servedName(), "entry-1-renewed")
}

func TestOpenErrors(t *testing.T) {
	a := newAuthority(t)
	good := writeFiles(t, t.TempDir(), a, "entry-1")
	other := writeFiles(t, t.TempDir(), a, "entry-2")
	cases := map[string]certifier.Files{
		"missing file":               {Certificate: good.Certificate, Key: "none", Authorities: good.Authorities},
		"key of another certificate": {Certificate: good.Certificate, Key: other.Key, Authorities: good.Authorities},
		"no CA certificate":          {Certificate: good.Certificate, Key: good.Key, Authorities: good.Key},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := certifier.Open(f, nil)
			is.New(t).True(err != nil)
		})
	}
}

func TestLoadAuthority(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	loaded, err := certifier.LoadAuthority(&a.Pair)
	is.NoErr(err)
	pair, err := loaded.Issue([]string{"entry-1"}, time.Now(), time.Hour)
	is.NoErr(err)
	_, err = certifier.LoadAuthority(pair)
	is.True(err != nil) // a host certificate is not an authority
}
