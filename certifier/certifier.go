// Package certifier loads keys and certificates for mutual TLS, reloads them
// when their files change, and issues certificates for tests and small fleets.
//
// # Usage
//
// A host opens its files once and passes TLS configurations to its listeners
// and clients:
//
//	store, err := certifier.Open(certifier.Files{
//		Certificate: "host.pem", Key: "host-key.pem", Authorities: "authorities.pem",
//	}, logger)
//	store.Watch(timers, time.Minute)
//	messenger := messenger.New(self, messenger.Options{TLS: store.PeerConfig()}, group)
//	server := http.Server{TLSConfig: store.ServerConfig(certifier.ClientAuthOptional)}
//
// New connections use the most recently loaded files; open connections are not
// affected. If a reload fails, the previous files stay in use.
//
// An operator without a certificate authority creates one:
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

// Files holds the paths of PEM files.
type Files struct {
	// Certificate holds the host's certificate, followed by any intermediate
	// certificates.
	Certificate string
	Key         string
	// Authorities holds the CA certificates that peer certificates are
	// verified against.
	Authorities string
}

// ClientAuth is a server's policy for client certificates.
type ClientAuth uint8

// Policies for client certificates.
const (
	// ClientAuthRequired rejects clients without a certificate issued by one of
	// the authorities.
	ClientAuthRequired ClientAuth = iota
	// ClientAuthOptional accepts clients without a certificate. If a client sends
	// one, it is verified.
	ClientAuthOptional
)

// credentials holds the result of one load of the files.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	contents    [][]byte
}

// Store holds the most recent valid credentials. It is safe for concurrent use.
type Store struct {
	files   Files
	logger  *zap.Logger
	current atomic.Pointer[credentials]
}

// Open loads and validates the files. The logger may be nil.
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

// ServerConfig opens files and returns a configuration for a server that
// requires client certificates.
func ServerConfig(files Files) (*tls.Config, error) {
	s, err := Open(files, nil)
	if err != nil {
		return nil, err
	}
	return s.ServerConfig(ClientAuthRequired), nil
}

// ClientConfig opens files and returns a configuration for a client.
func ClientConfig(files Files) (*tls.Config, error) {
	s, err := Open(files, nil)
	if err != nil {
		return nil, err
	}
	return s.ClientConfig(), nil
}

// Reload loads the files again if their contents have changed, and reports
// whether they had. On error, the previous credentials stay in use.
func (s *Store) Reload() (changed bool, err error) {
	raw, err := readFiles(s.files.Certificate, s.files.Key, s.files.Authorities)
	if err != nil {
		return false, err
	}
	if old := s.current.Load(); old != nil && equalContents(old.contents, raw) {
		return false, nil
	}
	m, err := parse(s.files, raw)
	if err != nil {
		return false, err
	}
	s.current.Store(m)
	return true, nil
}

// Watch calls Reload periodically, and logs errors and changes.
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

// Expires returns the time at which the certificate expires.
func (s *Store) Expires() time.Time {
	return s.current.Load().certificate.Leaf.NotAfter
}

func readFiles(paths ...string) ([][]byte, error) {
	var raw [][]byte
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "read TLS file")
		}
		raw = append(raw, b)
	}
	return raw, nil
}

func equalContents(a, b [][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func parse(files Files, raw [][]byte) (*credentials, error) {
	pair, err := tls.X509KeyPair(raw[0], raw[1])
	if err != nil {
		return nil, eris.Wrapf(err, "load certificate %q with key %q", files.Certificate, files.Key)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(raw[2]) {
		return nil, eris.Errorf("authorities file %q contains no valid certificate", files.Authorities)
	}
	return &credentials{certificate: pair, authorities: authorities, contents: raw}, nil
}

// ServerConfig returns a configuration for a server. It always uses the current
// credentials.
func (s *Store) ServerConfig(clients ClientAuth) *tls.Config {
	auth := tls.RequireAnyClientCert
	if clients == ClientAuthOptional {
		auth = tls.RequestClientCert
	}
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       auth,
		GetCertificate:   s.serverCertificate,
		VerifyConnection: s.verifyClient,
	}
}

// ClientConfig returns a configuration for a client that verifies the server's
// name. It always uses the current certificate, but keeps the authorities that
// were loaded when it was created.
func (s *Store) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: s.clientCertificate,
		RootCAs:              s.current.Load().authorities,
	}
}

// PeerConfig returns a configuration for both ends of a connection between
// hosts. It verifies certificate chains but not names, because a host's address
// is not in its certificate. The messenger compares the certificate with the
// host name in the hello instead.
func (s *Store) PeerConfig() *tls.Config {
	server := s.ServerConfig(ClientAuthRequired)
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: s.clientCertificate,
		InsecureSkipVerify:   true, // VerifyConnection verifies the chain against the current authorities
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(&state, x509.ExtKeyUsageServerAuth)
		},
		GetCertificate:     s.serverCertificate,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return server, nil },
	}
}

func (s *Store) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &s.current.Load().certificate, nil
}

func (s *Store) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return &s.current.Load().certificate, nil
}

func (s *Store) verifyClient(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return nil // ClientAuth permits clients without a certificate
	}
	return s.verify(&state, x509.ExtKeyUsageClientAuth)
}

// verify verifies the peer's certificate chain against the current authorities.
func (s *Store) verify(state *tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
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
