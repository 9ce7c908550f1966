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

// writeFiles issues a certificate and writes all files of a host.
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

// shake performs a TLS handshake over loopback and gives both ends' errors.
func shake(t *testing.T, server, client *tls.Config) (state tls.ConnectionState, serverErr, clientErr error) {
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
		_, clientErr = c.Read(make([]byte, 1)) // a refusal comes after the client's handshake
	}
	state = c.ConnectionState()
	_ = group.Wait()
	return state, serverErr, clientErr
}

func TestPeers(t *testing.T) {
	a := newAuthority(t)
	own := open(t, writeFiles(t, t.TempDir(), a, "entry-1")).PeerConfig()
	peer := open(t, writeFiles(t, t.TempDir(), a, "entry-2")).PeerConfig()
	stranger := open(t, writeFiles(t, t.TempDir(), newAuthority(t), "entry-2")).PeerConfig()
	t.Run("of one authority meet", func(t *testing.T) {
		is := is.New(t)
		state, serverErr, clientErr := shake(t, own, peer)
		is.NoErr(serverErr)
		is.NoErr(clientErr)
		is.Equal(state.PeerCertificates[0].Subject.CommonName, "entry-1")
	})
	t.Run("of another authority are refused", func(t *testing.T) {
		is := is.New(t)
		_, _, clientErr := shake(t, stranger, own)
		is.True(clientErr != nil)
		_, serverErr, _ := shake(t, own, stranger)
		is.True(serverErr != nil)
	})
	t.Run("without a certificate are refused", func(t *testing.T) {
		is := is.New(t)
		_, serverErr, _ := shake(t, own, &tls.Config{InsecureSkipVerify: true})
		is.True(serverErr != nil)
	})
}

func TestClients(t *testing.T) {
	a := newAuthority(t)
	server := open(t, writeFiles(t, t.TempDir(), a, "entry-1", "127.0.0.1"))
	client := open(t, writeFiles(t, t.TempDir(), a, "caller")).ClientConfig()
	t.Run("check the server's name", func(t *testing.T) {
		is := is.New(t)
		named := client.Clone()
		named.ServerName = "127.0.0.1"
		_, _, err := shake(t, server.ServerConfig(certifier.ClientsRequired), named)
		is.NoErr(err)
		named.ServerName = "entry-2"
		_, _, err = shake(t, server.ServerConfig(certifier.ClientsRequired), named)
		is.True(err != nil)
	})
	t.Run("may come without a certificate when it is optional", func(t *testing.T) {
		is := is.New(t)
		bare := &tls.Config{InsecureSkipVerify: true}
		_, _, err := shake(t, server.ServerConfig(certifier.ClientsOptional), bare)
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
	serves := func() string {
		state, _, _ := shake(t, s.PeerConfig(), client)
		return state.PeerCertificates[0].Subject.CommonName
	}
	for deadline := time.Now().Add(10 * time.Second); serves() != "entry-1-renewed"; {
		is.True(time.Now().Before(deadline)) // renewed
	}

	is.NoErr(os.WriteFile(f.Key, []byte("broken"), 0o600))
	_, err = s.Reload()
	is.True(err != nil)
	is.Equal(serves(), "entry-1-renewed")
}

func TestOpenRefuses(t *testing.T) {
	a := newAuthority(t)
	good := writeFiles(t, t.TempDir(), a, "entry-1")
	other := writeFiles(t, t.TempDir(), a, "entry-2")
	cases := map[string]certifier.Files{
		"a missing file":     {Certificate: good.Certificate, Key: "none", Authorities: good.Authorities},
		"the key of another": {Certificate: good.Certificate, Key: other.Key, Authorities: good.Authorities},
		"no authority":       {Certificate: good.Certificate, Key: good.Key, Authorities: good.Key},
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
	again, err := certifier.LoadAuthority(&a.Pair)
	is.NoErr(err)
	pair, err := again.Issue([]string{"entry-1"}, time.Now(), time.Hour)
	is.NoErr(err)
	_, err = certifier.LoadAuthority(pair)
	is.True(err != nil) // a host's certificate signs nothing
}
