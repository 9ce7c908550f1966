package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// clockSkew is how far a certificate's validity starts before it is issued, to
// tolerate clock differences between hosts.
const clockSkew = 5 * time.Minute

// File modes used by Write.
const (
	certificateMode = 0o644
	keyMode         = 0o600
)

// Pair is a certificate and its private key, both PEM-encoded.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Write writes the certificate and the key to files. Only the owner can read a
// key file that it creates.
func (p *Pair) Write(certificatePath, keyPath string) error {
	if err := os.WriteFile(certificatePath, p.Certificate, certificateMode); err != nil {
		return eris.Wrap(err, "write certificate")
	}
	if err := os.WriteFile(keyPath, p.Key, keyMode); err != nil {
		return eris.Wrap(err, "write key")
	}
	return nil
}

// Authority is a certificate authority that issues host certificates.
type Authority struct {
	Pair
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority with a new key and a self-signed
// certificate.
func NewAuthority(name string, now time.Time, validity time.Duration) (*Authority, error) {
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate authority key")
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return LoadAuthority(pair)
}

// LoadAuthority parses the certificate and key of an authority.
func LoadAuthority(pair *Pair) (*Authority, error) {
	certificate, err := parsePEM(pair.Certificate, "CERTIFICATE", x509.ParseCertificate)
	if err != nil {
		return nil, err
	}
	key, err := parsePEM(pair.Key, "EC PRIVATE KEY", x509.ParseECPrivateKey)
	if err != nil {
		return nil, err
	}
	if !certificate.IsCA {
		return nil, eris.Errorf("certificate of %q is not a CA certificate", certificate.Subject.CommonName)
	}
	if !key.PublicKey.Equal(certificate.PublicKey) {
		return nil, eris.Errorf("key does not match the certificate of %q", certificate.Subject.CommonName)
	}
	return &Authority{Pair: *pair, certificate: certificate, key: key}, nil
}

// Issue issues a certificate for a host. The first name is the host name;
// others are further DNS names and IP addresses under which clients reach it.
func (a *Authority) Issue(names []string, now time.Time, validity time.Duration) (*Pair, error) {
	if len(names) == 0 {
		return nil, eris.New("certificate requires at least one host name")
	}
	template, err := newTemplate(names[0], now, validity)
	if err != nil {
		return nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, name := range names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, name)
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrapf(err, "generate key of host %q", names[0])
	}
	return sign(template, a.certificate, key, a.key)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	if validity <= 0 {
		return nil, eris.Errorf("validity %s of the certificate for %q must be positive", validity, name)
	}
	return &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validity),
		BasicConstraintsValid: true,
	}, nil
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (*Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return nil, eris.Wrapf(err, "create certificate of %q", template.Subject.CommonName)
	}
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, eris.Wrapf(err, "encode key of %q", template.Subject.CommonName)
	}
	return &Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: rawKey}),
	}, nil
}

// parsePEM parses the first PEM block of the given type.
func parsePEM[T any](text []byte, blockType string, parse func([]byte) (T, error)) (T, error) {
	var none T
	for block, rest := pem.Decode(text); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != blockType {
			continue
		}
		value, err := parse(block.Bytes)
		return value, eris.Wrapf(err, "parse PEM block of type %q", blockType)
	}
	return none, eris.Errorf("no PEM block of type %q found", blockType)
}
