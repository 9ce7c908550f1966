// Package certifier loads keys and certificates for mutual TLS, renews them
// when their files change, and makes certificates for tests and small fleets.
//
// # Usage
//
// A host opens its files once and hands configurations to its listeners and
// clients:
//
//	store, err := certifier.Open(certifier.Files{
//		Certificate: "host.pem", Key: "host-key.pem", Authorities: "authorities.pem",
//	}, logger)
//	store.Watch(timers, time.Minute)
//	messenger := messenger.New(self, messenger.Options{TLS: store.PeerConfig()}, group)
//	server := http.Server{TLSConfig: store.ServerConfig(certifier.ClientsOptional)}
//
// New connections use what was loaded last; open ones go on undisturbed. Files
// that can't be loaded leave the last good ones in use.
//
// An operator without an authority of its own makes one:
//
//	authority, err := certifier.NewAuthority("tamsui", time.Now(), validity)
//	pair, err := authority.Issue([]string{"entry-1", "10.0.0.1"}, time.Now(), validity)
//	err = pair.Write("host.pem", "host-key.pem")
package certifier

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/timer"
)

// Files are the paths of PEM files.
type Files struct {
	// Certificate has the host's certificate, then any intermediate ones.
	Certificate string
	Key         string
	// Authorities has the certificates that peers' ones must lead to.
	Authorities string
}

// Clients says what a server asks of its clients.
type Clients uint8

// What servers ask.
const (
	// ClientsRequired refuses clients without a certificate of the
	// authorities.
	ClientsRequired Clients = iota
	// ClientsOptional checks a certificate only when there is one.
	ClientsOptional
)

// material is what was loaded at one time.
type material struct {
	pair        tls.Certificate
	authorities *x509.CertPool
	raw         [][]byte
}

// Store holds the newest good contents of the files. It is safe for
// concurrent use.
type Store struct {
	files   Files
	logger  *zap.Logger
	current atomic.Pointer[material]
}

// Open loads and checks the files. The logger may be nil.
func Open(files Files, logger *zap.Logger) (*Store, error) {
	if logger == nil {
		logger = zap.NewNop()
	}
	s := &Store{files: files, logger: logger}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// ServerConfig opens files for a server whose clients need a certificate.
func ServerConfig(files Files) (*tls.Config, error) {
	s, err := Open(files, nil)
	if err != nil {
		return nil, err
	}
	return s.ServerConfig(ClientsRequired), nil
}

// ClientConfig opens files for a client.
func ClientConfig(files Files) (*tls.Config, error) {
	s, err := Open(files, nil)
	if err != nil {
		return nil, err
	}
	return s.ClientConfig(), nil
}

// Reload loads the files again if they have changed, and tells whether they
// had. After an error the last good contents stay in use.
func (s *Store) Reload() (changed bool, err error) {
	raw, err := readAll(s.files.Certificate, s.files.Key, s.files.Authorities)
	if err != nil {
		return false, err
	}
	if old := s.current.Load(); old != nil && equalAll(old.raw, raw) {
		return false, nil
	}
	m, err := parse(s.files, raw)
	if err != nil {
		return false, err
	}
	s.current.Store(m)
	return true, nil
}

// Watch reloads the files each period, and logs what comes of it.
func (s *Store) Watch(t *timer.Service, period time.Duration) *timer.Subscription {
	return t.Every(period, func(time.Time) {
		changed, err := s.Reload()
		if err != nil {
			s.logger.Error("certificate-reload-failed", zap.String("file", s.files.Certificate), zap.Error(err))
			return
		}
		if changed {
			s.logger.Info("certificate-reloaded", zap.String("file", s.files.Certificate),
				zap.Time("expires", s.Expires()))
		}
	})
}

// Expires gives the end of the certificate's validity.
func (s *Store) Expires() time.Time {
	return s.current.Load().pair.Leaf.NotAfter
}

func readAll(paths ...string) ([][]byte, error) {
	var raw [][]byte
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "TLS file")
		}
		raw = append(raw, b)
	}
	return raw, nil
}

func equalAll(a, b [][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func parse(files Files, raw [][]byte) (*material, error) {
	pair, err := tls.X509KeyPair(raw[0], raw[1])
	if err != nil {
		return nil, eris.Wrapf(err, "certificate %q with key %q", files.Certificate, files.Key)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(raw[2]) {
		return nil, eris.Errorf("file %q holds no certificate of an authority", files.Authorities)
	}
	return &material{pair: pair, authorities: authorities, raw: raw}, nil
}

// ServerConfig gives a server's configuration.
func (s *Store) ServerConfig(clients Clients) *tls.Config {
	auth := tls.RequireAnyClientCert
	if clients == ClientsOptional {
		auth = tls.RequestClientCert
	}
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       auth,
		GetCertificate:   s.serverCertificate,
		VerifyConnection: s.verifyClient,
	}
}

// ClientConfig gives a client's configuration, which checks the server's name.
// Its certificate is always the newest; its authorities stay those of now.
func (s *Store) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: s.clientCertificate,
		RootCAs:              s.current.Load().authorities,
	}
}

// PeerConfig gives a configuration for both ends of links between hosts. It
// checks the chains but no names: a host's address is not in its certificate,
// and the messenger compares the name in the hello.
func (s *Store) PeerConfig() *tls.Config {
	server := s.ServerConfig(ClientsRequired)
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: s.clientCertificate,
		InsecureSkipVerify:   true, // VerifyConnection does it, with the newest authorities
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(&state, x509.ExtKeyUsageServerAuth)
		},
		GetCertificate:     s.serverCertificate,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return server, nil },
	}
}

func (s *Store) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &s.current.Load().pair, nil
}

func (s *Store) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return &s.current.Load().pair, nil
}

func (s *Store) verifyClient(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return nil // ClientAuth allowed it
	}
	return s.verify(&state, x509.ExtKeyUsageClientAuth)
}

// verify checks that the peer's chain leads to the newest authorities.
func (s *Store) verify(state *tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         s.current.Load().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}
